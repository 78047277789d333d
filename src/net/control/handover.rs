//! What a front door that starts has to know of the one that ended under its name: what time its requests had left, and
//! which of them may have run. Off unless the configuration names a file under `handover`.
//!
//! Lines are appended as things happen, so that they outlast a process that is killed; they are not written through to
//! a disk, so they do not outlast the machine. What is read back is judged like any input: a line that is torn or makes
//! no sense is passed over.

use crate::net::runtime::clock::Clock;
use cometspool::Millis;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;

/// How long after its end a request is still told to a successor: a client that resends does so at once.
const KEPT: Millis = 5000.0;
/// Bytes after which the file is written anew, with what still matters.
const COMPACT: u64 = 1 << 20;
/// Requests that are kept at most, the file's and this process's own.
const MOST: usize = 16_384;
/// After a write that failed, a new file is tried no sooner than this.
const RETRY: Millis = 1000.0;

/// What is known of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    /// When its client stops waiting.
    pub deadline: Millis,
    /// Whether an attempt of it that must not be repeated may have run.
    pub may_have_run: bool,
}

/// The file, and the requests that it tells of.
pub(crate) struct Handover {
    path: PathBuf,
    /// None while the disk takes nothing; then a new one is tried at `again`.
    file: Option<File>,
    again: Millis,
    written: u64,
    clock: Clock,
    /// Of the process before this one.
    before: HashMap<Rc<str>, RequestRecord>,
    /// Of this one.
    own: HashMap<Rc<str>, RequestRecord>,
}

impl Handover {
    /// Reads what a predecessor left and begins the file anew. No time of a request may lie more than `most` ahead.
    pub(crate) fn open(path: PathBuf, clock: Clock, most: Millis) -> io::Result<Handover> {
        let now = clock.now();
        let text = match std::fs::read(&path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let sane =
            |known: &RequestRecord| known.deadline > now - KEPT && known.deadline <= now + most;
        let mut before: HashMap<Rc<str>, RequestRecord> = HashMap::new();
        // The last lines count: of what is over the bound, the oldest is left out.
        for (id, known) in text
            .lines()
            .rev()
            .filter_map(read)
            .filter(|(_, known)| sane(known))
            .take(2 * MOST)
        {
            let entry = before.entry(id.into()).or_insert(known);
            entry.may_have_run |= known.may_have_run;
            entry.deadline = entry.deadline.min(known.deadline);
        }
        let mut handover = Handover {
            path,
            file: None,
            again: now,
            written: 0,
            clock,
            before,
            own: HashMap::new(),
        };
        handover.compact()?;
        Ok(handover)
    }

    /// What the process before this one left of a request.
    pub(crate) fn previous_record(&self, id: &str) -> Option<RequestRecord> {
        self.before.get(id).copied()
    }

    /// A request has been taken.
    pub(crate) fn record_accepted(&mut self, id: &Rc<str>, end: Millis) {
        self.note(
            id,
            RequestRecord {
                deadline: end,
                may_have_run: false,
            },
        );
    }

    /// An attempt of a request that must not be repeated goes out: from here on it may have run.
    pub(crate) fn record_sent(&mut self, id: &Rc<str>, end: Millis) {
        if self.own.get(id).is_none_or(|known| !known.may_have_run) {
            self.note(
                id,
                RequestRecord {
                    deadline: end,
                    may_have_run: true,
                },
            );
        }
    }

    fn note(&mut self, id: &Rc<str>, known: RequestRecord) {
        let (now, whole) = (self.clock.now(), self.file.is_some());
        self.own.insert(id.clone(), known);
        if self.own.len() > MOST && !whole {
            self.forget(now);
        }
        if !whole && now < self.again {
            return;
        }
        let wrote = match !whole || self.written >= COMPACT || self.own.len() > MOST {
            true => self.compact(),
            false => self.append(id, known),
        };
        match (wrote, whole) {
            (Ok(()), true) => {}
            (Ok(()), false) => eprintln!("handover: {}: handed over again", self.path.display()),
            (Err(error), whole) => {
                // A front door goes on serving. What is in memory still holds; a successor may miss what came last, and
                // finds it once the disk takes it again.
                if whole {
                    eprintln!(
                        "handover: {}: {error}: nothing more is handed over for now",
                        self.path.display()
                    );
                }
                (self.file, self.again) = (None, now + RETRY);
            }
        }
    }

    /// Drops what no longer matters, and of more than fits all that may be run again.
    fn forget(&mut self, now: Millis) {
        self.before.retain(|_, known| known.deadline > now - KEPT);
        self.own.retain(|_, known| known.deadline > now - KEPT);
        if self.own.len() > MOST {
            // Of the rest nothing is promised.
            self.own.retain(|_, known| known.may_have_run);
        }
    }

    fn append(&mut self, id: &str, known: RequestRecord) -> io::Result<()> {
        let line = line(id, known);
        self.written += line.len() as u64;
        match &mut self.file {
            Some(file) => file.write_all(line.as_bytes()),
            None => Ok(()),
        }
    }

    /// Writes what still matters to a new file and puts it in the place of the old one.
    fn compact(&mut self) -> io::Result<()> {
        self.forget(self.clock.now());
        let fresh = self.path.with_extension("new");
        let mut text = String::new();
        for (id, known) in self.before.iter().chain(&self.own) {
            text.push_str(&line(id, *known));
        }
        std::fs::write(&fresh, &text)?;
        std::fs::rename(&fresh, &self.path)?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.written = text.len() as u64;
        Ok(())
    }
}

fn line(id: &str, known: RequestRecord) -> String {
    format!(
        "1 {:.0} {} {id}\n",
        known.deadline,
        if known.may_have_run { "ran" } else { "taken" }
    )
}

fn read(line: &str) -> Option<(&str, RequestRecord)> {
    let mut words = line.split(' ');
    let (version, end, state, id) = (words.next()?, words.next()?, words.next()?, words.next()?);
    let ran = match state {
        "ran" => true,
        "taken" => false,
        _ => return None,
    };
    let end: f64 = end.parse().ok().filter(|end: &f64| end.is_finite())?;
    let sound = version == "1" && !id.is_empty() && words.next().is_none();
    sound.then_some((
        id,
        RequestRecord {
            deadline: end,
            may_have_run: ran,
        },
    ))
}

#[cfg(test)]
mod tests;
