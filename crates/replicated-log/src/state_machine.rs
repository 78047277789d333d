//! The interface of the state machine that users of the log provide.

/// The error for a snapshot whose bytes cannot be decoded to a state.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("snapshot cannot be decoded")]
pub struct RestoreError(#[from] postcard::Error);

/// The users' state machine. It must be deterministic: the same commands at the same times of the
/// log lead to the same state on every replica.
pub trait StateMachine: Default {
    /// Applies a command at `now_ms`, the log's time in milliseconds, and returns the answer for
    /// its client.
    fn apply(&mut self, now_ms: u64, command: &[u8]) -> Vec<u8>;

    /// Handles the advance of the log's time to `now_ms` milliseconds.
    fn advance_time(&mut self, now_ms: u64);

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Decodes a state that [`StateMachine::snapshot`] has encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot of this state machine.
    fn restore(bytes: &[u8]) -> Result<Self, RestoreError>;
}
