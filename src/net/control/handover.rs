//! The hand-over file: what a process that starts has to know of the one before it under the same name. It holds how much
//! time the requests of that process had left, and which of them may have run. Off unless the configuration names a file
//! under `handover`.
//!
//! Records are appended as requests arrive and are sent, so that they outlast a process that is killed. They are not
//! synced to disk, so they do not outlast the machine. The file is compacted when it grows: what still matters is written
//! to a new file that replaces it. A process that starts replays the file; each line is checked like any input, and one
//! that is torn or implausible is skipped.

mod record;

use crate::net::runtime::clock::Clock;
use cometspool::Millis;
use record::RecordLine;
pub(crate) use record::RequestRecord;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;

/// For how long after its deadline a request still matters: a client that resends does so at once.
const RETENTION: Millis = 5000.0;
/// Bytes after which the file is compacted.
const COMPACTION_BYTES: u64 = 1 << 20;
/// The most records of this process in memory; twice as many are replayed.
const MAX_RECORDS: usize = 16_384;
/// After a write that failed, how long until the next one is tried.
const WRITE_RETRY_DELAY: Millis = 1000.0;

/// Why the hand-over file cannot be used at the start; one line that begins with the key of the configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandoverError {
    /// It exists and cannot be read.
    #[error("handover: {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// It cannot be written.
    #[error("handover: {}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
}

/// Records by the id of their request.
type Records = HashMap<Rc<str>, RequestRecord>;

/// The file, and the records that it holds.
pub(crate) struct Handover {
    path: PathBuf,
    /// None while the file cannot be written; then a new one is tried at `retry_at`.
    file: Option<File>,
    retry_at: Millis,
    /// Bytes in the file.
    file_bytes: u64,
    clock: Clock,
    /// Of the process before this one.
    previous: Records,
    /// Of this process.
    current: Records,
}

impl Handover {
    /// Replays the file that the process before left, if there is one, and compacts it. A record whose deadline lies more
    /// than `max_ahead` ahead, in ms, is skipped.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub(crate) fn open(
        path: PathBuf,
        clock: Clock,
        max_ahead: Millis,
    ) -> Result<Handover, HandoverError> {
        let now = clock.now();
        let text = match std::fs::read(&path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(source) => return Err(HandoverError::Unreadable { path, source }),
        };
        let mut handover = Handover {
            path,
            file: None,
            retry_at: now,
            file_bytes: 0,
            clock,
            previous: replay(&text, now, max_ahead),
            current: Records::new(),
        };
        match handover.compact() {
            Ok(()) => Ok(handover),
            Err(source) => Err(HandoverError::Unwritable {
                path: handover.path,
                source,
            }),
        }
    }

    /// What the process before this one left of the request `id`.
    pub(crate) fn previous_record(&self, id: &str) -> Option<RequestRecord> {
        self.previous.get(id).copied()
    }

    /// Records that a request was accepted; `deadline` is in Unix milliseconds.
    pub(crate) fn record_accepted(&mut self, id: &Rc<str>, deadline: Millis) {
        let record = RequestRecord {
            deadline,
            may_have_run: false,
        };
        self.record(id, record);
    }

    /// Records that an attempt of a request that must not be repeated is about to be sent: it may have run from here on.
    /// Written once for each request; `deadline` is in Unix milliseconds.
    pub(crate) fn record_sent(&mut self, id: &Rc<str>, deadline: Millis) {
        if self.current.get(id).is_some_and(|known| known.may_have_run) {
            return;
        }
        let record = RequestRecord {
            deadline,
            may_have_run: true,
        };
        self.record(id, record);
    }

    /// Keeps a record in memory and writes it, or tries to resume writing.
    fn record(&mut self, id: &Rc<str>, record: RequestRecord) {
        let now = self.clock.now();
        self.current.insert(id.clone(), record);
        if self.file.is_some() {
            self.write(id, record, now);
        } else {
            self.resume_writing(now);
        }
    }

    /// Appends a record, or compacts the file with it where that is due.
    fn write(&mut self, id: &str, record: RequestRecord, now: Millis) {
        let must_compact = self.file_bytes >= COMPACTION_BYTES || self.current.len() > MAX_RECORDS;
        let result = if must_compact {
            self.compact()
        } else {
            self.append(id, record)
        };
        if let Err(error) = result {
            // Logged once for an outage.
            tracing::warn!(path = %self.path.display(), %error, "hand-over suspended");
            self.suspend_writing(now);
        }
    }

    /// Writes all records to a new file, at most once in [`WRITE_RETRY_DELAY`].
    fn resume_writing(&mut self, now: Millis) {
        if self.current.len() > MAX_RECORDS {
            self.evict_expired(now);
        }
        if now < self.retry_at {
            return;
        }
        match self.compact() {
            Ok(()) => tracing::info!(path = %self.path.display(), "hand-over resumed"),
            Err(_) => self.suspend_writing(now),
        }
    }

    /// Stops writing for [`WRITE_RETRY_DELAY`].
    ///
    /// The gateway continues to serve, and the records in memory stay valid. A process that starts meanwhile may miss the
    /// last ones; they are written once the file can be.
    fn suspend_writing(&mut self, now: Millis) {
        self.file = None;
        self.retry_at = now + WRITE_RETRY_DELAY;
    }

    /// Drops the records of requests that ended over [`RETENTION`] ago. If this process still has too many, it drops those
    /// of requests that have not run: without its record such a request may be granted its full time again, and nothing
    /// worse.
    fn evict_expired(&mut self, now: Millis) {
        let matters = |record: &RequestRecord| record.deadline > now - RETENTION;
        self.previous.retain(|_, record| matters(record));
        self.current.retain(|_, record| matters(record));
        if self.current.len() > MAX_RECORDS {
            self.current.retain(|_, record| record.may_have_run);
        }
    }

    fn append(&mut self, id: &str, record: RequestRecord) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let line = record.to_line(id);
        self.file_bytes += line.len() as u64;
        file.write_all(line.as_bytes())
    }

    /// Writes what still matters to a new file that replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        self.evict_expired(self.clock.now());
        let replacement = self.path.with_extension("new");
        let mut text = String::new();
        for (id, record) in self.previous.iter().chain(&self.current) {
            text.push_str(&record.to_line(id));
        }
        std::fs::write(&replacement, &text)?;
        std::fs::rename(&replacement, &self.path)?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.file_bytes = text.len() as u64;
        Ok(())
    }
}

/// The records of a file's text. Of several for one request the earliest deadline and the worst state count. The last lines
/// are read first, so that of more than fit the oldest are left out.
fn replay(text: &str, now: Millis, max_ahead: Millis) -> Records {
    let is_plausible = |line: &RecordLine<'_>| {
        let deadline = line.record.deadline;
        deadline > now - RETENTION && deadline <= now + max_ahead
    };
    let lines = text
        .lines()
        .rev()
        .filter_map(RecordLine::parse)
        .filter(is_plausible)
        .take(2 * MAX_RECORDS);
    let mut records = Records::new();
    for line in lines {
        let merged = records.entry(line.id.into()).or_insert(line.record);
        merged.may_have_run |= line.record.may_have_run;
        merged.deadline = merged.deadline.min(line.record.deadline);
    }
    records
}

#[cfg(test)]
mod tests;
