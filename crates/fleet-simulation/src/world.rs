//! The fleet as it is played: its state, and how a day of it begins and ends.

mod attempts;
mod backends;
mod clients;
mod dispatch;
mod doors;
mod faults;
mod figures;
mod links;
mod network;
mod schedule;

use crate::chance::Chance;
use crate::crowd::Crowd;
use crate::pooling::Pool;
use crate::scenario::Spec;
use crate::tally::Tally;
use attempts::Call;
use backends::Backend;
use clients::ClientRequest;
use cometspool::{Availability, BackendId, Event, ListKind, Millis, PolicyEngine};
use doors::{door_settings, FrontDoor};
use links::Link;
use schedule::{Scheduled, SimEvent};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The fleet at one time of its day.
pub struct World {
    spec: Spec,
    now: Millis,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    doors: Vec<FrontDoor>,
    backends: Vec<Backend>,
    by_id: BTreeMap<BackendId, usize>,
    requests: Vec<ClientRequest>,
    calls: Vec<Call>,
    cut: BTreeMap<u32, bool>,
    chance: Chance,
    links: Vec<Link>,
    tally: Tally,
    crowd: Option<Crowd>,
}

/// Plays a day and tells what it gave.
pub fn play(spec: Spec) -> Tally {
    let mut world = World::new(spec);
    while let Some(Reverse(due)) = world.queue.pop() {
        world.now = due.at;
        world.dispatch(due.event);
    }
    world.into_tally()
}

impl World {
    fn new(spec: Spec) -> World {
        let mut chance = Chance::new(spec.seed);
        let gateways = spec.settings.gateways;
        let doors = (0..gateways)
            .map(|me| {
                let zone = me % spec.zones;
                let settings = door_settings(&spec, me, zone);
                let seed = u64::from(chance.word());
                FrontDoor {
                    gateway: PolicyEngine::new(settings, seed),
                    zone,
                    pool: Pool::new(gateways, seed),
                }
            })
            .collect();
        let mut world = World {
            now: 0.0,
            order: 0,
            queue: BinaryHeap::new(),
            doors,
            backends: Vec::new(),
            by_id: BTreeMap::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            cut: BTreeMap::new(),
            chance,
            links: Vec::new(),
            tally: Tally::default(),
            crowd: None,
            spec,
        };
        for spec in world.spec.backends.clone() {
            world.add_backend(spec);
        }
        let list: Vec<_> = (0..world.backends.len())
            .filter(|i| world.backends[*i].spec.listed)
            .collect();
        let list: Vec<_> = list
            .into_iter()
            .map(|i| world.entry(i, Availability::Ready))
            .collect();
        for door in 0..world.doors.len() {
            let mut actions = Vec::new();
            world.doors[door].gateway.handle(
                0.0,
                Event::EndpointsChanged(ListKind::Cached, list.clone()),
                &mut actions,
            );
            world.carry_out(door, actions);
            let first = world.chance.exponential(1000.0 / world.spec.rate);
            if world.spec.table.is_some() {
                let at = 500.0 * world.chance.even();
                world.schedule(at, SimEvent::Tidy(door));
            }
            if world.spec.crowd.is_none() {
                world.schedule(first, SimEvent::Arrive(door));
            }
        }
        if let Some(spec) = world.spec.crowd.clone() {
            let doors = world.doors.len();
            let crowd = Crowd::new(spec, &world.spec.settings.plans, doors, &mut world.chance);
            let customers = crowd.all.len();
            world.crowd = Some(crowd);
            (0..customers).for_each(|customer| world.ask_next(customer));
        }
        for fault in 0..world.spec.faults.len() {
            world.schedule(world.spec.faults[fault].0, SimEvent::Fault(fault));
        }
        world
    }
}
