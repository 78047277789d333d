//! The interface of the state that users keep in the log.

/// A snapshot whose bytes do not describe a state.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("snapshot cannot be decoded")]
pub struct RestoreError(#[from] postcard::Error);

/// The users' state. It must be deterministic: the same writes at the same times lead to the same
/// state on every replica.
pub trait StateMachine: Default {
    /// Applies a command at `now_ms`, the log's time in milliseconds, and returns the answer for
    /// its client.
    fn apply(&mut self, now_ms: u64, command: &[u8]) -> Vec<u8>;

    /// The log's time has advanced to `now_ms` milliseconds.
    fn advance_time(&mut self, now_ms: u64);

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// The state that such bytes describe.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot of this state machine.
    fn restore(bytes: &[u8]) -> Result<Self, RestoreError>;
}
