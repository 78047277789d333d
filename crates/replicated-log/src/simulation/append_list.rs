//! The state machine that the simulation uses.

use crate::state_machine::{RestoreError, StateMachine};

/// An append-only list. Each write appends its bytes, and its answer is the index of the new item
/// (little-endian, 8 bytes).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppendList(pub Vec<Vec<u8>>);

impl StateMachine for AppendList {
    fn apply(&mut self, _: u64, command: &[u8]) -> Vec<u8> {
        let index = self.0.len() as u64;
        self.0.push(command.to_vec());
        index.to_le_bytes().to_vec()
    }

    fn advance_time(&mut self, _: u64) {}

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.0).unwrap_or_default()
    }

    fn restore(bytes: &[u8]) -> Result<AppendList, RestoreError> {
        Ok(AppendList(postcard::from_bytes(bytes)?))
    }
}
