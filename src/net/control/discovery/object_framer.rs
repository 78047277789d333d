//! Splits the bytes of a response body into JSON objects. Sans I/O: the caller pushes bytes and gets events.

/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Reasons why the bytes of a body are not a sequence of JSON objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FramingError {
    /// A byte between two objects is neither white space nor an opening brace; holds the byte.
    #[error("expected an opening brace or white space between objects, got byte {0}")]
    UnexpectedByte(u8),
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("expected objects of at most {MAX_OBJECT_BYTES} bytes, got a longer one")]
    ObjectTooLarge,
}

/// The event that a byte completes.
#[derive(Debug, PartialEq)]
pub(super) enum FrameEvent {
    /// None: more bytes are needed.
    Incomplete,
    /// A line feed between two objects, which shows that the agent is alive.
    Heartbeat,
    /// A complete object; holds its bytes.
    Object(Vec<u8>),
}

/// Finds the end of each object, whether the object is on one line or pretty-printed over several lines.
///
/// The framer counts braces and brackets outside of strings. It does not validate the JSON in between; the parser of
/// the object does.
#[derive(Default)]
pub(super) struct ObjectFramer {
    /// The bytes of the current object so far; empty between two objects.
    buffer: Vec<u8>,
    /// Number of open braces and brackets.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte is a backslash that escapes the next byte.
    is_escaped: bool,
}

impl ObjectFramer {
    /// Whether no object is in progress.
    pub(super) fn is_between_objects(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Processes the next byte of the body.
    ///
    /// # Errors
    /// The body is not a sequence of JSON objects. The framer cannot be used after an error.
    pub(super) fn push(&mut self, byte: u8) -> Result<FrameEvent, FramingError> {
        if self.is_between_objects() {
            match byte {
                b'\n' => return Ok(FrameEvent::Heartbeat),
                _ if byte.is_ascii_whitespace() => return Ok(FrameEvent::Incomplete),
                b'{' => {}
                _ => return Err(FramingError::UnexpectedByte(byte)),
            }
        }
        if self.buffer.len() >= MAX_OBJECT_BYTES {
            return Err(FramingError::ObjectTooLarge);
        }
        self.buffer.push(byte);
        self.track_depth(byte);
        if self.depth > 0 {
            return Ok(FrameEvent::Incomplete);
        }
        Ok(FrameEvent::Object(std::mem::take(&mut self.buffer)))
    }

    fn track_depth(&mut self, byte: u8) {
        match (self.in_string, byte) {
            (true, _) if self.is_escaped => self.is_escaped = false,
            (true, b'\\') => self.is_escaped = true,
            (_, b'"') => self.in_string = !self.in_string,
            (false, b'{' | b'[') => self.depth += 1,
            // Cannot underflow: the first byte of an object raises the depth to 1, and the object ends at depth 0.
            (false, b'}' | b']') => self.depth -= 1,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
