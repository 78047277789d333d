//! How a keeper that lags, or has no seat, gets what it lacks, and gives others what they lack.

use super::*;

impl<M: Machine> Keeper<M> {
    pub(super) fn fetch_from(&mut self, now: f64, from: &Id) {
        if self.fetching.from.is_none() {
            self.fetching.from = Some((from.clone(), now));
            self.fetching.next = now;
        }
    }

    /// Asks for what is missing, a piece at a time.
    pub(super) fn fetch(&mut self, now: f64) {
        if let Some((_, since)) = &self.fetching.from {
            if now - since > self.times.patience {
                // Somebody else may be there: what has come so far stays.
                self.fetching.from = None;
            }
        }
        let learns = matches!(self.phase, Phase::Learner);
        if self.fetching.from.is_none() && learns && now >= self.fetching.next {
            let others = self.others();
            let place = self.chance.random_range(0..others.len().max(1));
            match others.get(place) {
                Some(other) => self.fetching.from = Some((other.clone(), now)),
                None => {
                    self.fetching.next = now + self.times.patience / 2.0;
                    self.look_for_others();
                }
            }
        }
        let Some((from, _)) = self
            .fetching
            .from
            .clone()
            .filter(|_| now >= self.fetching.next)
        else {
            return;
        };
        let body = match &self.fetching.incoming {
            Some(incoming) => Body::Want(incoming.at, incoming.bytes.len() as u64),
            None => Body::Fetch(self.config.is_some().then(|| self.position())),
        };
        self.fetching.next = now + self.times.patience / 2.0;
        self.say(&from, body);
    }

    pub(super) fn answer_fetch(&mut self, from: &Id, position: Option<Position>) {
        let Some(config) = &self.config else { return };
        let log = self.log.0.borrow();
        let here = matches!(self.phase, Phase::Seated(_)) && log.cut <= self.applied;
        let answer = match (position, &self.before) {
            (Some(at), _)
                if here
                    && at.config == config.number
                    && (log.cut..=self.applied).contains(&at.index) =>
            {
                let entries = self.some_of(log.decided_from(at.index));
                Some(Body::Tail(at, entries, None))
            }
            (Some(at), Some(before)) if at.config == before.config && at.index >= before.from => {
                let rest = before
                    .entries
                    .get((at.index - before.from) as usize..)
                    .unwrap_or_default();
                let entries = self.some_of(rest);
                let next = (entries.len() == rest.len()).then(|| before.next.clone());
                Some(Body::Tail(at, entries, next))
            }
            _ => self.image.as_ref().map(Image::offer),
        };
        drop(log);
        if let Some(answer) = answer {
            self.say(from, answer);
        }
    }

    /// As many entries from the front as one answer takes.
    pub(super) fn some_of(&self, entries: &[Entry]) -> Vec<Entry> {
        let mut room = self.times.piece;
        let fits = |entry: &&Entry| {
            let size = match entry {
                Entry::Write(command) => command.bytes.len() + 32,
                _ => 32,
            };
            let fits = room >= size;
            room = room.saturating_sub(size);
            fits
        };
        let count = entries.iter().take_while(fits).count();
        // One that is larger than all room still goes, alone.
        entries[..count.max(1).min(entries.len())].to_vec()
    }

    /// Takes in entries that are decided.
    pub(super) fn tail(
        &mut self,
        now: f64,
        from: Id,
        at: Position,
        entries: Vec<Entry>,
        next: Option<Config>,
    ) {
        let elsewhere = at != self.position() && !Fault::TailAnywhere.is_in();
        if elsewhere || matches!(self.phase, Phase::Empty | Phase::Doubt(_)) {
            return;
        }
        self.fetching = Fetching {
            next: now + self.times.patience / 2.0,
            ..Fetching::default()
        };
        let more = !entries.is_empty();
        for entry in &entries {
            self.replica.apply(entry);
            self.applied += 1;
        }
        if matches!(self.phase, Phase::Seated(_)) && more {
            self.log.0.borrow_mut().learn(at.index, entries);
            if next.is_none() {
                // The agreement goes on from there, with what this one accepted beyond.
                self.sit();
            }
        }
        match next {
            Some(next) => self.go_on(next),
            // Whoever had some may have more.
            None if more => (self.fetching.from, self.fetching.next) = (Some((from, now)), now),
            None => {}
        }
    }

    /// Puts the state of a snapshot in the place of its own.
    pub(super) fn install(
        &mut self,
        at: Position,
        config: Config,
        replica: Replica<M>,
        state: Vec<u8>,
    ) {
        let own = self.position();
        let same = self
            .config
            .as_ref()
            .is_some_and(|own| own.number == at.config);
        if self.config.is_some() && at <= own {
            return;
        }
        let seated = config.seat(&self.id).is_some();
        if seated && matches!(self.phase, Phase::Doubt(_)) {
            // It first has to hear what was seen of it.
            return;
        }
        self.replica = replica;
        self.applied = at.index;
        match &self.phase {
            // It keeps its seat and its promises; of its log what the state does not have.
            Phase::Seated(_) if same => {
                {
                    let mut log = self.log.0.borrow_mut();
                    log.notes.clear();
                    if at.index > log.length() {
                        log.accept_by_state();
                    }
                    log.cut_off(at.index);
                    log.decided = log.decided.max(at.index);
                }
                self.image = Some(Image::new(at, config, state));
                self.rewrite();
                self.sit();
            }
            _ if seated => self.begin(config, at.index),
            _ => self.follow(at, config, state),
        }
    }

    /// Goes on without a seat, from a state at a position.
    fn follow(&mut self, at: Position, config: Config, state: Vec<u8>) {
        self.image = Some(Image::new(at, config.clone(), state));
        self.config = Some(config);
        self.phase = Phase::Learner;
    }

    /// The configuration is over, and all of it is in the replica.
    pub(super) fn go_on(&mut self, next: Config) {
        {
            let log = self.log.0.borrow();
            if let Some(config) = self
                .config
                .as_ref()
                .filter(|_| matches!(self.phase, Phase::Seated(_)))
            {
                let (config, from) = (config.number, log.cut);
                let mut entries = log.entries.clone();
                if Fault::ForgetTail.is_in() {
                    entries.pop();
                }
                self.before = Some(Before {
                    config,
                    from,
                    entries,
                    next: next.clone(),
                });
            }
        }
        if next.seat(&self.id).is_some() {
            self.begin(next, 0);
        } else {
            self.applied = 0;
            self.follow(
                Position {
                    config: next.number,
                    index: 0,
                },
                next,
                self.replica.write(),
            );
            self.log.0.borrow_mut().notes.clear();
        }
    }
}
