//! One record of the hand-over file and its line format.
//!
//! A line is `1 <deadline> <state> <id>` followed by a line feed: the format version, the deadline in whole Unix
//! milliseconds, the state `ran` or `taken`, and the request id, which contains no space. The file has no header.

use cometspool::Millis;

/// The format version that is written, and the only one that is read.
const FORMAT_VERSION: &str = "1";
/// The state of a request that may have run.
const STATE_MAY_HAVE_RUN: &str = "ran";
/// The state of a request that was accepted, but has not run.
const STATE_ACCEPTED: &str = "taken";

/// The record of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    /// When the client of the request stops waiting, in Unix milliseconds.
    pub deadline: Millis,
    /// Whether an attempt may have run that must not be repeated.
    pub may_have_run: bool,
}

impl RequestRecord {
    /// The line for the request `id`, with the line feed.
    pub(super) fn to_line(self, id: &str) -> String {
        let state = if self.may_have_run {
            STATE_MAY_HAVE_RUN
        } else {
            STATE_ACCEPTED
        };
        format!("{FORMAT_VERSION} {:.0} {state} {id}\n", self.deadline)
    }
}

/// A parsed line of the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RecordLine<'a> {
    /// The id of the request.
    pub(super) id: &'a str,
    /// The record of the request.
    pub(super) record: RequestRecord,
}

impl<'a> RecordLine<'a> {
    /// Parses a line without its line feed. `None` if the line is torn or has another format.
    pub(super) fn parse(line: &'a str) -> Option<RecordLine<'a>> {
        let mut words = line.split(' ');
        let format = words.next()?;
        let deadline: Millis = words.next()?.parse().ok()?;
        let may_have_run = match words.next()? {
            STATE_MAY_HAVE_RUN => true,
            STATE_ACCEPTED => false,
            _ => return None,
        };
        let id = words.next()?;
        let has_more = words.next().is_some();
        if format != FORMAT_VERSION || !deadline.is_finite() || id.is_empty() || has_more {
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
