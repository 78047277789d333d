//! What everybody did and saw, in one order, by one steady clock of the machine.
//!
//! An event is one JSON line: when (`at_us`, microseconds of the system's monotonic clock, the same in every process of
//! the machine), who, what, and whatever else belongs to it. Checkers read a history and know nothing of how it came
//! about: the rig's and a simulation's look alike.

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;

/// Microseconds of the system's monotonic clock.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("every Linux has this clock");
    now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1000
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it was seen, µs of the monotonic clock.
    pub at_us: u64,
    /// Who did or saw it: `rig`, a process, or a stand-in by name.
    pub who: String,
    /// What it is; the rest of the fields hang on it.
    pub what: String,
    /// The rest.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

impl Event {
    /// A text among the rest of the fields.
    pub fn text(&self, key: &str) -> &str {
        self.more
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A whole number among the rest.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.more.get(key).and_then(Value::as_u64)
    }
}

#[derive(Debug, Default)]
struct Inner {
    events: Vec<Event>,
    file: Option<BufWriter<File>>,
}

/// A history that grows, and that is also written to a file if it has one.
#[derive(Debug, Default)]
pub struct History(Mutex<Inner>);

impl History {
    /// One that is also written to this file.
    pub fn to(path: &Path) -> io::Result<History> {
        let file = Some(BufWriter::new(File::create(path)?));
        Ok(History(Mutex::new(Inner {
            events: Vec::new(),
            file,
        })))
    }

    /// Notes what happened just now; `more` is an object, or null.
    pub fn note(&self, who: &str, what: &str, more: Value) {
        let more = match more {
            Value::Object(map) => map,
            Value::Null => Map::new(),
            other => Map::from_iter([("value".to_owned(), other)]),
        };
        // The time is taken under the lock, so that times never go back along the history.
        let mut inner = self.0.lock().expect("no panic");
        let event = Event {
            at_us: now_us(),
            who: who.to_owned(),
            what: what.to_owned(),
            more,
        };
        if let Some(file) = &mut inner.file {
            if let Err(error) = serde_json::to_writer(&mut *file, &event)
                .map_err(io::Error::from)
                .and_then(|()| file.write_all(b"\n"))
            {
                eprintln!("history: {error}: no more of it is written");
                inner.file = None;
            }
        }
        inner.events.push(event);
    }

    /// What `look` finds in the events so far.
    pub fn read<T>(&self, look: impl FnOnce(&[Event]) -> T) -> T {
        look(&self.0.lock().expect("no panic").events)
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.read(<[Event]>::to_vec)
    }

    /// Writes through to the file what is still buffered.
    pub fn flush(&self) {
        if let Some(file) = &mut self.0.lock().expect("no panic").file {
            // What can't be written was told when it failed first, or is told by its reader.
            let _ = file.flush();
        }
    }
}

/// Reads a history that was written; a line that is none is an error with its number.
pub fn read(text: &str) -> Result<Vec<Event>, String> {
    let line = |(number, line)| {
        serde_json::from_str(line).map_err(|error| format!("line {}: {error}", number + 1))
    };
    text.lines().enumerate().map(line).collect()
}
