//! Tracks how much of a request has been written to a socket, from the bytes that the HTTP library
//! writes.

use std::io::IoSlice;

/// The empty line that ends the head of a request.
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

/// How far the request on a connection has been written.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestProgress {
    /// Whether any byte of the request has been written.
    has_started: bool,
    /// How many leading bytes of [`HEAD_TERMINATOR`] the written part of the head ends with.
    terminator_matched: usize,
    head_complete: bool,
    body_remaining: usize,
}

impl RequestProgress {
    /// The progress of a request with a body of `body_len` bytes before any byte is written.
    pub(super) fn new(body_len: usize) -> RequestProgress {
        RequestProgress {
            body_remaining: body_len,
            ..RequestProgress::default()
        }
    }

    /// The progress of a fully written request, for tests that run attempts without a socket.
    #[cfg(test)]
    pub(super) fn complete() -> RequestProgress {
        RequestProgress {
            head_complete: true,
            ..RequestProgress::default()
        }
    }

    /// Records that these bytes, the next of the request, have been written.
    pub(super) fn record(&mut self, bytes: &[u8]) {
        self.has_started |= !bytes.is_empty();
        for (index, byte) in bytes.iter().enumerate() {
            if self.head_complete {
                let body_len = bytes.len() - index;
                self.body_remaining = self.body_remaining.saturating_sub(body_len);
                return;
            }
            self.terminator_matched = match *byte {
                byte if byte == HEAD_TERMINATOR[self.terminator_matched] => {
                    self.terminator_matched + 1
                }
                b'\r' => 1,
                _ => 0,
            };
            self.head_complete = self.terminator_matched == HEAD_TERMINATOR.len();
        }
    }

    /// Whether any byte of the request has been written.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Whether the whole request has been written.
    pub(super) fn is_complete(&self) -> bool {
        self.head_complete && self.body_remaining == 0
    }

    /// Whether writing these buffers next would complete the request.
    pub(super) fn would_complete(&self, bufs: &[IoSlice<'_>]) -> bool {
        let mut progress = self.clone();
        for buf in bufs {
            progress.record(buf);
        }
        progress.is_complete()
    }
}
