//! What goes out: notes to the disk, words that wait for it, and what is decided into the replica.

use super::*;

impl<M: Machine> Keeper<M> {
    pub(super) fn say(&mut self, to: &Id, body: Body) {
        let config = self.config.as_ref().map_or(0, |config| config.number);
        self.held
            .push((self.writes, Held::Send(to.clone(), config, body)));
    }

    /// Tells somebody who is not as far, or has no seat, how far the record is here.
    pub(super) fn tell_position(&mut self, to: &Id) {
        let at = self.position();
        self.say(to, Body::Outside(at));
    }

    /// Notes go to the disk, what is decided into the replica, and what rests on writes that are through goes out.
    pub(super) fn settle(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if self.forgotten {
            return;
        }
        self.note(effects);
        self.gather();
        while self.apply(now) {
            self.note(effects);
            self.gather();
        }
        self.compact();
        self.note(effects);
        if self.synced >= self.writes {
            self.decided_through = self.log.0.borrow().decided;
        }
        let all = Fault::SayBeforeWritten.is_in();
        let due = |(number, _): &(u64, Held)| *number <= self.synced || all;
        let (ready, held): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(due);
        self.held = held;
        ready
            .into_iter()
            .for_each(|(_, held)| self.release(held, effects));
    }

    pub(super) fn note(&mut self, effects: &mut Vec<Effect>) {
        let mut log = self.log.0.borrow_mut();
        // How much is decided is learnt again from others: nothing waits for it, and it goes with what is written next.
        if log
            .notes
            .iter()
            .all(|note| matches!(note, Note::Decided(_)))
        {
            let last = log.notes.pop();
            log.notes.clear();
            log.notes.extend(last);
            return;
        }
        let notes = std::mem::take(&mut log.notes);
        drop(log);
        if self.durable {
            self.writes += 1;
            // A store that begins anew is written anew.
            let anew = notes.iter().any(|note| matches!(note, Note::Begin(..)));
            let write = if anew {
                Effect::Rewrite(self.writes, notes)
            } else {
                Effect::Write(self.writes, notes)
            };
            effects.push(write);
        }
    }

    /// Takes the library's messages. They are held until what they rest on is written.
    pub(super) fn gather(&mut self) {
        let Phase::Seated(paxos) = &mut self.phase else {
            return;
        };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let Some(config) = &self.config else { return };
        for message in messages {
            let Some(to) = config.at(message.get_receiver()) else {
                continue;
            };
            let waits = |(number, held): &(u64, Held)| {
                *number > self.synced && matches!(held, Held::Send(id, ..) if id == to)
            };
            // New entries go out while this disk still writes them, so that all disks write at once: a leader may lose what it has
            // only proposed. What it counts itself in for is told once it is written.
            let early = match &message {
                Message::SequencePaxos(PaxosMessage {
                    msg: PaxosMsg::AcceptDecide(accept),
                    ..
                }) => accept.decided_idx as u64 <= self.decided_through,
                _ => false,
            };
            // Who is there and would lead promises nothing.
            let free =
                matches!(message, Message::BLE(_)) || (early && !self.held.iter().any(waits));
            let number = if free { self.synced } else { self.writes };
            self.held.push((
                number.min(self.writes),
                Held::Send(to.clone(), config.number, Body::Paxos(message)),
            ));
        }
    }

    /// Carries out what has been decided; tells whether a new configuration began with it.
    pub(super) fn apply(&mut self, now: f64) -> bool {
        if !matches!(self.phase, Phase::Seated(_)) {
            return false;
        }
        let (entries, stop) = {
            let log = self.log.0.borrow();
            let entries = match self.leads() && Fault::AnswerBeforeMajority.is_in() {
                true => log.entries[self.applied.saturating_sub(log.cut) as usize..].to_vec(),
                false => log.decided_from(self.applied).to_vec(),
            };
            (entries, log.stopped().cloned())
        };
        for entry in entries {
            let done = self.replica.apply(&entry);
            self.applied += 1;
            let (key, answer) = match done {
                Done::Opened(drawn, session) => ((OPENING, drawn), Answer::Opened(drawn, session)),
                Done::Written(session, number, outcome) => {
                    ((session, number), Answer::Written(session, number, outcome))
                }
                Done::Office(office) => {
                    let own = self.leads() && self.asked == office;
                    self.office = own.then_some((office, now));
                    continue;
                }
                Done::Nothing => continue,
            };
            for client in self.waiting.remove(&key).unwrap_or_default() {
                self.held
                    .push((self.writes, Held::Answer(client, answer.clone())));
            }
        }
        let next = stop.and_then(|stop| postcard::from_bytes::<Config>(&stop.metadata?).ok());
        match next {
            Some(next) => {
                self.waiting.clear();
                self.go_on(next);
                true
            }
            None => false,
        }
    }

    /// Cuts the log off where it is long, with the state in the place of what goes.
    pub(super) fn compact(&mut self) {
        let (cut, length) = {
            let log = self.log.0.borrow();
            (log.cut, log.length())
        };
        let to = self.applied.saturating_sub(self.times.tail);
        let (Phase::Seated(paxos), Some(config)) = (&mut self.phase, &self.config) else {
            return;
        };
        if length - cut < self.times.log_entries || to <= cut {
            return;
        }
        // It refuses only what is not decided, and this is.
        if paxos.snapshot(Some(to as usize), true).is_err() {
            return;
        }
        let at = Position {
            config: config.number,
            index: self.applied,
        };
        self.image = Some(Image::new(at, config.clone(), self.replica.write()));
        self.rewrite();
    }

    /// Notes the state and the log as a store that is written anew.
    pub(super) fn rewrite(&mut self) {
        let Some(image) = &self.image else { return };
        let mut log = self.log.0.borrow_mut();
        let begin = Note::Begin(
            self.record,
            image.config.clone(),
            image.at,
            image.bytes.to_vec(),
        );
        log.notes = vec![begin, Note::Start(self.starts)];
        let whole = log.whole();
        log.notes.extend(whole);
    }

    pub(super) fn release(&mut self, held: Held, effects: &mut Vec<Effect>) {
        match held {
            Held::Answer(client, answer) => effects.push(Effect::Answer(client, answer)),
            Held::Send(to, config, body) => {
                self.said += 1;
                let horizon = self.log.0.borrow().cut;
                let envelope = Envelope {
                    record: self.record,
                    config,
                    from: self.id.clone(),
                    number: (self.starts, self.said),
                    horizon,
                    body,
                };
                effects.push(Effect::Send(to.name, Box::new(envelope)));
            }
        }
    }
}
