//! The clients of a simulation.

use super::events::Event;
use super::{parse_node_name, ClientWrite, EndedWrite, Simulation};
use crate::client::{ClientEffect, WriteResult};
use crate::message::Request;
use crate::settings::Millis;
use rand::RngExt;

/// How much later than the first a duplicate of a request may arrive.
const MAX_DUPLICATE_DELAY: Millis = 2000.0;

impl Simulation {
    /// Lets a client start a write. No two writes of a simulation have the same bytes.
    pub fn write(&mut self, client: usize) {
        let payload = payload(client, self.writes.len());
        let Some(started) = self.clients[client].write(self.now, payload) else {
            return;
        };
        self.writes.push(ClientWrite {
            client,
            sequence: started.sequence,
            started: self.now,
            ended: None,
        });
        self.execute_client_effects(client, started.effects);
    }

    /// Lets the clients write in turn, once each `interval`, for a time.
    pub fn write_for(&mut self, duration: Millis, interval: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.write(self.writes.len() % self.clients.len());
            self.run_until(self.now + interval);
        }
    }

    pub(super) fn tick_client(&mut self, client: usize) {
        if self.now < self.client_ticks[client] {
            return;
        }
        let effects = self.clients[client].tick(self.now);
        self.execute_client_effects(client, effects);
    }

    pub(super) fn execute_client_effects(&mut self, client: usize, effects: Vec<ClientEffect>) {
        for effect in effects {
            match effect {
                ClientEffect::Send { replica, request } => {
                    self.send_request(client, &replica, request);
                }
                ClientEffect::Ended { sequence, result } => {
                    self.complete_write(client, sequence, result);
                }
            }
        }
        self.schedule_client_tick(client);
    }

    fn send_request(&mut self, client: usize, replica: &str, request: Request) {
        let Some(node) = parse_node_name(replica).filter(|node| *node < self.nodes.len()) else {
            return;
        };
        let at = self.now + self.sample_delay();
        if self.sample_bool(self.link_conditions.loss) {
            return;
        }
        if self.sample_bool(self.link_conditions.duplication) {
            let duplicate_at = at + self.rng.random_range(0.0..MAX_DUPLICATE_DELAY);
            let duplicate = Event::Request {
                client,
                request: request.clone(),
            };
            self.schedule(duplicate_at, node, duplicate);
        }
        self.schedule(at, node, Event::Request { client, request });
    }

    fn complete_write(&mut self, client: usize, sequence: u64, result: WriteResult) {
        let at = self.now;
        let write = self
            .writes
            .iter_mut()
            .find(|write| write.client == client && write.sequence == sequence);
        if let Some(write) = write {
            write.ended = Some(EndedWrite { at, result });
        }
    }

    /// Schedules a client's next tick. One is scheduled at a time: an earlier one replaces a later
    /// one.
    fn schedule_client_tick(&mut self, client: usize) {
        let Some(next) = self.clients[client].next_tick() else {
            return;
        };
        let at = next.max(self.now + 1.0);
        let scheduled = self.client_ticks[client];
        if scheduled <= self.now || at < scheduled {
            self.client_ticks[client] = at;
            self.schedule(at, 0, Event::ClientTick { client });
        }
    }
}

/// The bytes of a write: its client and its place among all writes.
pub(super) fn payload(client: usize, number: usize) -> Vec<u8> {
    postcard::to_stdvec(&(client as u64, number as u64)).unwrap_or_default()
}
