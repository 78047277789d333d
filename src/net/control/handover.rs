//! The hand-over file: the request records that a process leaves for its successor under the same gateway name. A
//! record holds the deadline of a request and whether the request may have run. The successor grants a retried request
//! no more than the remaining time, and does not run it a second time. Disabled unless the configuration names a file
//! under `handover`.
//!
//! Records are appended when requests arrive and before they are sent, so that they survive a killed process. They are
//! not synced to disk, so they do not survive a crash of the machine. When the file has grown, it is compacted: the
//! records that are still relevant are written to a new file that replaces the old one. A process replays the file when
//! it starts. Each line is validated like any input, and a torn or implausible line is skipped.

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

/// How long after the deadline of a request its record is kept, in milliseconds. Clients that retry do so immediately.
const RETENTION: Millis = 5000.0;
/// File size from which the file is compacted, in bytes.
const COMPACTION_BYTES: u64 = 1 << 20;
/// Maximum number of records of this process in memory. Twice as many are replayed.
const MAX_RECORDS: usize = 16_384;
/// How long after a failed write the next one is attempted, in milliseconds.
const WRITE_RETRY_DELAY: Millis = 1000.0;

/// Reasons why the hand-over file cannot be used at start-up. Each message is one line that begins with the
/// configuration key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandoverError {
    /// The file exists, but cannot be read.
    #[error("handover: cannot read {}: {source}", path.display())]
    Unreadable {
        /// The path of the hand-over file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file cannot be written.
    #[error("handover: cannot write {}: {source}", path.display())]
    Unwritable {
        /// The path of the hand-over file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Records by request id.
type Records = HashMap<Rc<str>, RequestRecord>;

/// The hand-over file and its records, which are also held in memory.
pub(crate) struct Handover {
    path: PathBuf,
    /// `None` while writing is suspended after a failure. A new file is then attempted from `retry_at` on.
    file: Option<File>,
    retry_at: Millis,
    /// Size of the file, in bytes.
    file_bytes: u64,
    clock: Clock,
    /// Records of the previous process.
    previous: Records,
    /// Records of this process.
    current: Records,
}

impl Handover {
    /// Replays the file that the previous process left, if there is one, and compacts it. A record whose deadline is
    /// more than `max_ahead` milliseconds in the future is skipped.
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

    /// The record that the previous process left of the request `id`.
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

    /// Records that an attempt of a non-repeatable request is about to be sent, so that the request may have run from
    /// now on. Written once for each request; `deadline` is in Unix milliseconds.
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

    /// Stores a record in memory and writes it to the file. If writing is suspended, tries to resume it.
    fn record(&mut self, id: &Rc<str>, record: RequestRecord) {
        let now = self.clock.now();
        self.current.insert(id.clone(), record);
        if self.file.is_some() {
            self.write(id, record, now);
        } else {
            self.resume_writing(now);
        }
    }

    /// Appends a record to the file, or compacts the file if it is due, which writes the record as well.
    fn write(&mut self, id: &str, record: RequestRecord, now: Millis) {
        let must_compact = self.file_bytes >= COMPACTION_BYTES || self.current.len() > MAX_RECORDS;
        let result = if must_compact {
            self.compact()
        } else {
            self.append(id, record)
        };
        if let Err(error) = result {
            // Logged once for each outage.
            tracing::warn!(path = %self.path.display(), %error, "hand-over suspended");
            self.suspend_writing(now);
        }
    }

    /// Tries to write all records to a new file, at most once per [`WRITE_RETRY_DELAY`].
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

    /// Suspends writing for [`WRITE_RETRY_DELAY`].
    ///
    /// The gateway continues to serve, and the records in memory stay valid. A successor that starts in the meantime
    /// may miss the latest records. They are written once the file is writable again.
    fn suspend_writing(&mut self, now: Millis) {
        self.file = None;
        self.retry_at = now + WRITE_RETRY_DELAY;
    }

    /// Evicts the records of requests whose deadline was more than [`RETENTION`] ago. If this process still has more
    /// than [`MAX_RECORDS`], evicts those of requests that have not run. Without its record, such a request may be
    /// granted its full time again, but cannot run twice.
    fn evict_expired(&mut self, now: Millis) {
        let is_relevant = |record: &RequestRecord| record.deadline > now - RETENTION;
        self.previous.retain(|_, record| is_relevant(record));
        self.current.retain(|_, record| is_relevant(record));
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

    /// Writes the records that are still relevant to a new file, which replaces the old one.
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

/// Parses the records of a file. If a request has several records, the earliest deadline applies, and the request may
/// have run if any record says so. The lines are read from the end, so that the oldest records are dropped if there are
/// too many.
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
