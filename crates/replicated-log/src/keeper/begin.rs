//! How a keeper gets its seat: a record that is founded, a configuration that begins, and doubt after a start with a store.

use super::*;

impl<M: Machine> Keeper<M> {
    pub(super) fn look_for_others(&mut self) {
        let names = self.names.clone();
        let own = self.id.name.clone();
        for name in names.iter().filter(|name| **name != own) {
            // Whoever has the name answers.
            let to = Id {
                name: name.clone(),
                life: 0,
            };
            self.say(&to, Body::Empty(names.clone()));
        }
    }

    /// One with an empty store is there. A record is founded only where all that are to keep it are as empty, and told so; it
    /// is never begun anew for one that has forgotten.
    pub(super) fn met_empty(&mut self, from: Id, names: Vec<String>) {
        match (&self.phase, &self.config) {
            (Phase::Empty, _) if names == self.names => {
                // Whoever says anything else has a record, or knows of one.
                let anybody = Fault::FoundAnew.is_in();
                let empty = self
                    .known
                    .iter()
                    .filter(|(id, known)| (known.empty || anybody) && names.contains(&id.name));
                let mut met: Vec<Id> = empty.map(|(id, _)| id.clone()).collect();
                // Of several lives under one name the last that was heard is the one that runs.
                met.sort_by(|a, b| self.known[b].heard.total_cmp(&self.known[a].heard));
                let mut keepers = vec![self.id.clone()];
                for id in met {
                    if keepers.iter().all(|keeper| keeper.name != id.name) {
                        keepers.push(id);
                    }
                }
                keepers.sort();
                let first = keepers.first() == Some(&self.id);
                if keepers.len() == names.len() && keepers.len() > 1 && first {
                    self.record = self.chance.random_range(1..=u64::MAX);
                    self.begin(Config { number: 1, keepers }, 0);
                }
            }
            (Phase::Empty, _) => {}
            (_, Some(config)) if config.number == 1 && config.seat(&from).is_some() => {
                let begin = Body::Begin(config.clone());
                self.say(&from, begin);
            }
            _ => self.tell_position(&from),
        }
    }

    /// Takes a seat of a configuration, from a position on whose state is in the replica. It has never voted there.
    pub(super) fn begin(&mut self, config: Config, index: u64) {
        let at = Position {
            config: config.number,
            index,
        };
        let state = self.replica.write();
        self.image = Some(Image::new(at, config.clone(), state.clone()));
        let note = Note::Begin(self.record, config.clone(), at, state);
        {
            let mut log = self.log.0.borrow_mut();
            // What was noted of the configuration before counts no more.
            log.replay(note.clone());
            log.notes = vec![note, Note::Start(self.starts)];
            if index > 0 {
                log.accept_by_state();
            }
        }
        self.applied = index;
        self.config = Some(config);
        self.unheard.clear();
        self.decided_through = 0;
        self.sit();
    }

    /// Takes part in the agreement from what the log has.
    pub(super) fn sit(&mut self) {
        let Some(config) = &self.config else { return };
        let Some(seat) = config.seat(&self.id) else {
            return;
        };
        let cluster = cluster(config);
        let server = ServerConfig {
            pid: seat,
            election_tick_timeout: self.times.election_ticks,
            resend_message_tick_timeout: self.times.resend_ticks,
            ..ServerConfig::default()
        };
        self.office = None;
        // It can refuse only a configuration of one, which is never made.
        if let Ok(paxos) = cluster.build_for_server(server, self.log.clone()) {
            self.phase = Phase::Seated(Box::new(paxos));
        }
    }

    pub(super) fn own_seen(&self) -> Seen {
        let log = self.log.0.borrow();
        Seen {
            config: self.config.as_ref().map_or(0, |config| config.number),
            promised: log.promise.unwrap_or_default(),
            accepted: (log.accepted.unwrap_or_default(), log.accepted_index()),
        }
    }

    /// What is known here of another's promises: what it said, and what follows from this log, as a leader has accepted all that
    /// is decided in its ballot.
    pub(super) fn seen_of(&self, other: &Id) -> Seen {
        let seen = self
            .known
            .get(other)
            .map(|known| known.seen)
            .unwrap_or_default();
        let own = self.own_seen();
        let led = self
            .seat_of(other)
            .is_some_and(|seat| seat == own.accepted.0.pid);
        if led && seen.config <= own.config {
            // Entries go out before their leader has written them, but not that they are decided.
            let decided = self.log.0.borrow().decided;
            let implied = Seen {
                promised: own.accepted.0,
                accepted: (own.accepted.0, decided),
                ..own
            };
            return if seen.config < own.config {
                implied
            } else {
                most(seen, implied)
            };
        }
        seen
    }

    /// Takes its seat again once all others have told what they saw; or as many as make a majority with it, if the rest does not
    /// answer for a while: without them it could do nothing, and waiting for all would stop a group that has lost one. It goes on
    /// asking the rest.
    pub(super) fn take_seat(&mut self, now: f64) {
        let (Phase::Doubt(saw), Some(config)) = (&self.phase, &self.config) else {
            return;
        };
        let waited = now - self.born >= self.times.patience;
        if saw.len() + 1 >= config.keepers.len() || (waited && saw.len() + 1 >= config.majority()) {
            self.sit();
        }
    }

    pub(super) fn was_seen(&mut self, now: f64, from: &Id, seen: Seen, effects: &mut Vec<Effect>) {
        let (own, seat, decided) = (
            self.own_seen(),
            self.seat_of(from),
            self.log.0.borrow().decided,
        );
        let Some(seat) = seat else { return };
        self.unheard.remove(from);
        // What lies within what it knows to be decided is there, in whatever ballot it was accepted.
        let accepted = seen.accepted > own.accepted && seen.accepted.1 > decided;
        let forgot = seen.config > own.config
            || (seen.config == own.config && (seen.promised > own.promised || accepted));
        if forgot {
            self.forgotten = true;
            effects.push(Effect::Forgotten);
            return;
        }
        let Phase::Doubt(saw) = &mut self.phase else {
            return;
        };
        saw.insert(seat);
        self.take_seat(now);
    }
}
