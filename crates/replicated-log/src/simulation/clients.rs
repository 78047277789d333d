//! The clients of a simulation.

use super::events::Event;
use super::{parse_node_name, ClientWrite, CompletedWrite, Simulation};
use crate::client::{ClientEffect, WriteResult};
use crate::message::Request;
use crate::settings::Millis;
use rand::RngExt;

/// Maximum delay of a duplicated request after the first copy, in milliseconds.
const MAX_DUPLICATE_DELAY: Millis = 2000.0;

impl Simulation {
    /// Starts a write of a client. Every write of a simulation has a unique payload.
    pub fn write(&mut self, client: usize) {
        let payload = payload(client, self.writes.len());
        let Some(started) = self.clients[client].write(self.now, payload) else {
            return;
        };
        self.writes.push(ClientWrite {
            client,
            sequence: started.sequence,
            started: self.now,
            completed: None,
        });
        self.execute_client_effects(client, started.effects);
    }

    /// Starts a write every `interval` for `duration`, with the clients taking turns.
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
                ClientEffect::Completed { sequence, result } => {
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
            write.completed = Some(CompletedWrite { at, result });
        }
    }

    /// Schedules a client's next tick. An earlier tick replaces a later one that is already
    /// scheduled.
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

/// The payload of a write: the index of its client, and its index among all writes.
pub(super) fn payload(client: usize, number: usize) -> Vec<u8> {
    postcard::to_stdvec(&(client as u64, number as u64)).unwrap_or_default()
}
