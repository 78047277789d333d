//! Splits the bytes of a response body into JSON objects. Sans I/O: bytes in, events out.

/// The largest object that is accepted, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Bytes that are no sequence of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FramingError {
    /// Neither white space nor an opening brace stands between two objects.
    #[error("unreadable line: no object begins with byte {0}")]
    UnexpectedByte(u8),
    /// An object of over [`MAX_OBJECT_BYTES`].
    #[error("an object of over {MAX_OBJECT_BYTES} bytes")]
    ObjectTooLarge,
}

/// What a byte completes.
#[derive(Debug, PartialEq)]
pub(super) enum FrameEvent {
    /// Nothing: more bytes are needed.
    Incomplete,
    /// A line's end between two objects: the agent is alive.
    Heartbeat,
    /// The bytes of a complete object.
    Object(Vec<u8>),
}

/// Finds where each object ends, whether it stands on one line or is indented over many.
///
/// It counts braces and brackets outside of strings and does not check the JSON in between: that is for the parser of the
/// object.
#[derive(Default)]
pub(super) struct ObjectFramer {
    /// The object so far; empty between two objects.
    buffer: Vec<u8>,
    /// Braces and brackets that are open.
    depth: usize,
    in_string: bool,
    /// Whether the byte before is a backslash that escapes the next one.
    is_escaped: bool,
}

impl ObjectFramer {
    /// Whether no object has begun that is not complete.
    pub(super) fn is_between_objects(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next byte of the body.
    ///
    /// # Errors
    /// The body is not a sequence of objects; nothing can be read from it any more.
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
            // Cannot underflow: the first byte of an object opens it, and the object ends at depth 0.
            (false, b'}' | b']') => self.depth -= 1,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
