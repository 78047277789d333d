//! The history of a run: what all participants did and observed, in the order in which it was recorded.
//!
//! An event is one JSON line: when it was observed (`at_us`, microseconds of the system's monotonic clock, which all
//! processes of the machine share), who observed it (`who`), the kind of event (`what`), and further fields that depend
//! on the kind. Histories of clusters and of simulations have the same form, so that the same checkers apply to both.

use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};

/// The source of events that the cluster itself records: starts, signals, faults.
pub const CLUSTER: &str = "rig";
/// The source of events that the scripted clients record.
pub const CLIENTS: &str = "clients";

/// Microseconds of the system's monotonic clock.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("every Linux has this clock");
    now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1000
}

/// An event of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When the event was observed, µs of the monotonic clock.
    pub at_us: u64,
    /// Who observed the event: [`CLUSTER`], [`CLIENTS`], or the name of a process or stub service.
    #[serde(rename = "who")]
    pub source: String,
    /// The kind of the event, on which the other fields depend.
    #[serde(rename = "what")]
    pub kind: String,
    /// The other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Event {
    /// The value of a field as text; empty if the field is missing or holds no text.
    pub fn text(&self, key: &str) -> &str {
        self.fields
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Whether the event is a line of a process's log with this message, as plain text or as JSON.
    pub fn is_log_line(&self, message: &str) -> bool {
        self.text("message") == message || self.text("text").contains(message)
    }

    /// The value of a field as an unsigned integer; `None` if the field is missing or holds something else.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key).and_then(Value::as_u64)
    }
}

/// Why a stored history cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// A line is not a JSON object of an event.
    #[error("line {line}: {source}")]
    Line {
        /// The number of the line, from 1 on.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

#[derive(Debug, Default)]
struct HistoryState {
    events: Vec<Event>,
    /// `None` if no file was given, or after a failed write.
    file: Option<BufWriter<File>>,
}

/// Records events in memory, and also in a file if one is given.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<HistoryState>,
}

impl History {
    /// A history that is also written to this file, as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns the error of a file that cannot be created.
    pub fn with_file(path: &Path) -> io::Result<History> {
        let file = BufWriter::new(File::create(path)?);
        Ok(History {
            state: Mutex::new(HistoryState {
                events: Vec::new(),
                file: Some(file),
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HistoryState> {
        self.state
            .lock()
            .expect("no panic while the history is locked")
    }

    /// Records an event that happened just now. `fields` is an object, or null for no fields.
    pub fn record(&self, source: &str, kind: &str, fields: Value) {
        let fields = match fields {
            Value::Object(map) => map,
            Value::Null => Map::new(),
            other => Map::from_iter([("value".to_owned(), other)]),
        };
        // The clock is read under the lock, so that times never decrease along the history.
        let mut state = self.lock();
        let event = Event {
            at_us: now_us(),
            source: source.to_owned(),
            kind: kind.to_owned(),
            fields,
        };
        if let Some(file) = &mut state.file {
            if let Err(error) = write_line(file, &event) {
                eprintln!("cannot write the history file: {error}; it gets no further events");
                state.file = None;
            }
        }
        state.events.push(event);
    }

    /// Returns the result of `query` on the events so far, under the lock of the history.
    pub fn read<T>(&self, query: impl FnOnce(&[Event]) -> T) -> T {
        query(&self.lock().events)
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.read(<[Event]>::to_vec)
    }

    /// Writes the buffered events to the file.
    pub fn flush(&self) {
        if let Some(file) = &mut self.lock().file {
            // An earlier failed write has been reported. If only this flush fails, no report is made: the reader of the
            // file finds it incomplete.
            let _ = file.flush();
        }
    }
}

fn write_line(file: &mut BufWriter<File>, event: &Event) -> io::Result<()> {
    serde_json::to_writer(&mut *file, event)?;
    file.write_all(b"\n")
}

/// Reads a stored history.
///
/// # Errors
///
/// Returns the first line that is not an event, with its number.
pub fn read(text: &str) -> Result<Vec<Event>, HistoryError> {
    text.lines()
        .enumerate()
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| HistoryError::Line {
                line: index + 1,
                source,
            })
        })
        .collect()
}
