//! Front doors that act together. Off unless the configuration has a `fleet` section: then nothing here exists, no socket, no
//! task, no call. `docs/FLEET.md` has the layers and what each promises.

mod frame;
mod hints;
mod outbox;
mod way;

use super::clock::Clock;
use super::fleet_section::FleetSection;
use frame::FrameKind;
use hints::{Hints, Start};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use way::Way;

/// Has the events of the parts that act together written to standard error, each as a line of JSON: the rig and operators'
/// tools read them.
fn keep_log() {
    let lines =
        tracing_subscriber::fmt().json().flatten_event(true).with_target(false).with_writer(std::io::stderr);
    // Whoever embeds this may have set another one: then that is written to.
    let _ = lines.try_init();
}

/// The fleet as its front door knows it.
pub struct Fleet {
    section: FleetSection,
    way: Rc<Way>,
    hints: Option<Rc<Hints>>,
    load: Box<dyn Fn() -> u16>,
}

impl Fleet {
    /// Listens for the others and begins to look for them. `told` is the fleet's size by the settings; `seed` is new with
    /// each start; `load` tells how busy it is, in parts of a thousand; `sized` is told how many
    /// front doors there seem to be.
    pub async fn start(
        section: FleetSection,
        clock: Clock,
        told: u32,
        seed: u64,
        load: Box<dyn Fn() -> u16>,
        sized: Box<dyn Fn(u32)>,
    ) -> Result<Rc<Fleet>, String> {
        keep_log();
        let no_listener = |error| format!("fleet.listen: {}: {error}", section.listen);
        let listener = TcpListener::bind(section.listen).await.map_err(no_listener)?;
        let socket = UdpSocket::bind(section.listen).await.map_err(no_listener)?;
        // A start draws its life from its seed and from when it was: no two starts share both.
        let life = seed.rotate_left(32) ^ clock.now().to_bits();
        let start = Start { told, life, seed };
        let way = Way::new(section.clone(), life);
        let hints =
            section.membership.then(|| Hints::new(&section, socket, way.clone(), clock, start, sized));
        let fleet = Rc::new(Fleet { section, way: way.clone(), hints, load });
        let takes = fleet.clone();
        way.take(Rc::new(move |from, frame| {
            if let (Some(hints), Some(FrameKind::Compare)) = (&takes.hints, frame.kind) {
                hints.compared(from, frame.body());
            }
        }));
        tokio::task::spawn_local(way.accept(listener));
        if let Some(hints) = &fleet.hints {
            tokio::task::spawn_local(hints.clone().run());
        }
        tokio::task::spawn_local(fleet.clone().tell());
        Ok(fleet)
    }

    /// Tells its counters from time to time, for as long as the front door runs.
    async fn tell(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(self.section.tell_ms)).await;
            if let Some(hints) = &self.hints {
                hints.tell_load((self.load)());
            }
            tracing::info!(what = "fleet", name = self.section.own.as_str(), status = %self.status());
        }
    }

    fn status(&self) -> Value {
        let (dialled, accepted) = self.way.links();
        let members = self.hints.as_ref().map(|hints| hints.status());
        json!({"dialled": dialled, "accepted": accepted, "way": *self.way.counts.borrow(), "members": members})
    }

    /// Tells the others that this one goes: a planned stop begins.
    pub fn leave(&self) {
        if let Some(hints) = &self.hints {
            hints.leave();
        }
    }
}
