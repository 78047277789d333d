//! One record of the hand-over file, and the line that holds it.
//!
//! A line is `1 <deadline> <state> <id>` and a line feed: the number of the format, the deadline in whole Unix
//! milliseconds, `ran` or `taken`, and the request's id, which holds no space. A file has no header.

use cometspool::Millis;

/// The number of the format that is written, and the only one that is read.
const FORMAT: &str = "1";
/// The state of a request that may have run.
const RAN: &str = "ran";
/// The state of a request that was accepted and has not run.
const TAKEN: &str = "taken";

/// What is known of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    /// When its client stops waiting, in Unix milliseconds.
    pub deadline: Millis,
    /// Whether an attempt of it that must not be repeated may have run.
    pub may_have_run: bool,
}

impl RequestRecord {
    /// The line of the request `id`, with its line feed.
    pub(super) fn to_line(self, id: &str) -> String {
        let state = if self.may_have_run { RAN } else { TAKEN };
        format!("{FORMAT} {:.0} {state} {id}\n", self.deadline)
    }
}

/// A line that was read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RecordLine<'a> {
    /// The request's id.
    pub(super) id: &'a str,
    /// What is known of the request.
    pub(super) record: RequestRecord,
}

impl<'a> RecordLine<'a> {
    /// Parses a line without its line feed; none if it was torn or is not of this format.
    pub(super) fn parse(line: &'a str) -> Option<RecordLine<'a>> {
        let mut words = line.split(' ');
        let format = words.next()?;
        let deadline: Millis = words.next()?.parse().ok()?;
        let may_have_run = match words.next()? {
            RAN => true,
            TAKEN => false,
            _ => return None,
        };
        let id = words.next()?;
        let has_more = words.next().is_some();
        if format != FORMAT || !deadline.is_finite() || id.is_empty() || has_more {
            return None;
        }
        Some(RecordLine {
            id,
            record: RequestRecord {
                deadline,
                may_have_run,
            },
        })
    }
}
