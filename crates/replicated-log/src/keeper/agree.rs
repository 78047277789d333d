//! The agreement: what is handed to the library and what is mended on the way, and what a leader does beside it.

use super::*;

impl<M: Machine> Keeper<M> {
    pub(super) fn agree(&mut self, from: &Id, config: u32, mut message: Message<Entry>) {
        let (Some(own), Some(seat)) = (self.config.as_ref(), self.seat_of(from)) else {
            return;
        };
        let (own, own_seat) = (own.number, self.seat_of(&self.id));
        if config != own || message.get_sender() != seat || Some(message.get_receiver()) != own_seat
        {
            return;
        }
        self.witness(from, &message);
        let (cut, length, decided, accepted, ended) = {
            let log = self.log.0.borrow();
            (
                log.cut,
                log.length(),
                log.decided,
                log.accepted,
                log.stop.is_some(),
            )
        };
        let Phase::Seated(paxos) = &mut self.phase else {
            return;
        };
        if let Message::SequencePaxos(message) = &message {
            // What is cut off cannot be sent as entries: whoever lacks it fetches first, and then says this again.
            let lacks = match &message.msg {
                PaxosMsg::Promise(promise) => (promise.decided_idx as u64) < cut,
                PaxosMsg::Prepare(prepare) => (prepare.decided_idx as u64) < cut,
                _ => false,
            };
            if lacks && !Fault::SendBeyondCut.is_in() {
                self.tell_position(from);
                return;
            }
        }
        if let Message::SequencePaxos(PaxosMessage {
            msg: PaxosMsg::Promise(promise),
            ..
        }) = &mut message
        {
            // One that promises after the majority did, and accepted last in the ballot that the majority's longest log is of,
            // would be sent entries from where that log ended. Its state may have been fetched and reach further, and this log
            // be cut off beyond: it is sent what comes after its decided entries, as one of any other ballot is.
            let ballot = paxos.get_promise();
            let led =
                paxos.get_current_leader() == Some((paxos.get_pid(), true)) && promise.n == ballot;
            if led && promise.n_accepted != ballot {
                promise.n_accepted = Ballot::with(0, 0, 2, 0);
            }
        }
        if let Message::SequencePaxos(PaxosMessage {
            msg: PaxosMsg::AcceptSync(sync),
            ..
        }) = &mut message
        {
            // The library counts an accepted end as an entry, and then begins one after it, so that the end is counted twice and
            // what was accepted seems one longer than it is (0.2.4, `send_accsync`): it could never be decided.
            if sync.log_sync.suffix.is_empty() {
                sync.log_sync.sync_idx = sync.log_sync.sync_idx.min(length as usize);
            }
            // What was fetched meanwhile is not written again; an answer to what this one no longer lacks is of no use.
            let known = (decided.min(length) as usize).saturating_sub(sync.log_sync.sync_idx);
            if known > sync.log_sync.suffix.len() {
                return;
            }
            sync.log_sync.suffix.drain(..known);
            sync.log_sync.sync_idx += known;
        }
        // The library passes over an end that it has accepted and is told again, so an answer that was lost is never made good
        // (0.2.4, `handle_accept_stopsign` and its sequence numbers). To begin anew with the leader says it again.
        let again = matches!(&message, Message::SequencePaxos(message)
            if matches!(&message.msg, PaxosMsg::AcceptStopSign(stop) if ended && accepted == Some(stop.n)));
        if again {
            paxos.reconnected(seat);
        } else {
            paxos.handle_incoming(message);
        }
    }

    /// Keeps what a message tells of its sender's promises.
    pub(super) fn witness(&mut self, from: &Id, message: &Message<Entry>) {
        let Message::SequencePaxos(message) = message else {
            return;
        };
        let config = self.config.as_ref().map_or(0, |config| config.number);
        let (promised, accepted) = match &message.msg {
            PaxosMsg::Promise(promise) => {
                (promise.n, (promise.n_accepted, promise.accepted_idx as u64))
            }
            PaxosMsg::Prepare(prepare) => {
                (prepare.n, (prepare.n_accepted, prepare.accepted_idx as u64))
            }
            PaxosMsg::Accepted(accepted) => {
                (accepted.n, (accepted.n, accepted.accepted_idx as u64))
            }
            PaxosMsg::NotAccepted(not) => (not.n, Default::default()),
            _ => return,
        };
        self.note_seen(
            from,
            Seen {
                config,
                promised,
                accepted,
            },
        );
    }

    pub(super) fn note_seen(&mut self, of: &Id, seen: Seen) {
        if let Some(known) = self.known.get_mut(of) {
            known.seen = if seen.config > known.seen.config {
                seen
            } else {
                most(known.seen, seen)
            };
        }
    }

    /// What a leader does beside the agreement: takes office in the log, moves its time on, replaces who is lost.
    pub(super) fn lead(&mut self, now: f64) {
        if !self.leads() {
            self.office = None;
            return;
        }
        let waits = self.in_hand() >= self.times.in_hand;
        let Phase::Seated(paxos) = &mut self.phase else {
            return;
        };
        let office = Office::of(&paxos.get_promise());
        // A change that is under way refuses entries: then there is nothing to do here but to wait.
        if self.asked != office {
            if paxos.append(Entry::Office(office)).is_ok() {
                self.asked = office;
            }
        } else if let Some((held, since)) = &mut self.office {
            let passed = (now - *since).floor();
            if *held == office && passed >= self.times.passed && !waits {
                *since += passed;
                // If it does not come to be decided, time stands still that long: whatever hangs on it ends late.
                let _ = paxos.append(Entry::Passed(office, passed as u64));
            }
        }
        if self.ticks.is_multiple_of(self.times.election_ticks) {
            self.replace(now);
        }
    }

    /// Gives the seat of one that is lost to one that stands by and is caught up. One change at a time: the log takes no
    /// second one before the first is done.
    pub(super) fn replace(&mut self, now: f64) {
        let at = self.position();
        let (Some(config), Phase::Seated(paxos)) = (&self.config, &mut self.phase) else {
            return;
        };
        let near = |position: &Position| {
            position.config == at.config && position.index + self.times.tail / 2 >= at.index
        };
        let recent = |known: &Known| now - known.heard < 2.0 * self.times.patience;
        let ready: Vec<&Id> = self
            .known
            .iter()
            .filter(|(id, known)| config.seat(id).is_none() && recent(known))
            .filter(|(_, known)| known.stands_by.as_ref().is_some_and(near))
            .map(|(id, _)| id)
            .collect();
        if ready.is_empty() {
            return;
        }
        let silent = |id: &&Id| {
            **id != self.id
                && self
                    .known
                    .get(id)
                    .is_none_or(|known| now - known.heard > self.times.replace)
        };
        // Somebody else under its name: the one that had the seat has forgotten, or is on another machine.
        let successor = |id: &Id| ready.iter().find(|other| other.name == id.name).copied();
        let renamed = config
            .keepers
            .iter()
            .filter(|id| **id != self.id)
            .find_map(|id| Some((id, successor(id)?)));
        let change = renamed.or_else(|| {
            let lost = config.keepers.iter().find(silent)?;
            let zone = |id: &Id| self.zones.get(&id.name);
            let rest = || config.keepers.iter().filter(|id| *id != lost);
            let free = |id: &&&Id| rest().all(|other| other.name != id.name);
            let apart = |id: &Id| rest().all(|other| zone(other) != zone(id));
            ready
                .iter()
                .filter(free)
                .max_by_key(|id| apart(id))
                .map(|id| (lost, *id))
        });
        let Some((lost, new)) = change else { return };
        let swap = |id: &Id| if id == lost { new.clone() } else { id.clone() };
        // A majority of those that are to be must be there, or the change would end what still goes.
        let there = |id: &&Id| **id == self.id || self.known.get(id).is_some_and(recent);
        if config
            .keepers
            .iter()
            .map(swap)
            .filter(|id| there(&id))
            .count()
            < config.majority()
        {
            return;
        }
        let next = Config {
            number: config.number + 1,
            keepers: config.keepers.iter().map(swap).collect(),
        };
        if let Ok(told) = postcard::to_stdvec(&next) {
            // One that is under way already refuses another.
            let _ = paxos.reconfigure(cluster(&next), Some(told));
        }
    }
}
