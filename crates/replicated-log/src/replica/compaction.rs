//! Log compaction: a snapshot of the state replaces the oldest entries.

use super::{Phase, Replica};
use crate::identity::Position;
use crate::log::{Checkpoint, LogRecord};
use crate::state_machine::StateMachine;
use crate::transfer::Snapshot;

impl<M: StateMachine> Replica<M> {
    /// Compacts the log if it has reached `Limits::log_entries`.
    pub(super) fn compact(&mut self) {
        let (first_index, end_index) = {
            let log = self.log.borrow();
            (log.first_index, log.end_index())
        };
        let limits = &self.settings.limits;
        let compact_to = self.applied.saturating_sub(limits.retained_entries);
        let (Phase::Voter(paxos), Some(configuration)) = (&mut self.phase, &self.configuration)
        else {
            return;
        };
        if end_index - first_index < limits.log_entries || compact_to <= first_index {
            return;
        }
        // The library rejects compaction only of undecided entries, and these are decided.
        if paxos.snapshot(Some(compact_to as usize), true).is_err() {
            return;
        }
        let position = Position {
            configuration: configuration.number,
            index: self.applied,
        };
        let state = self.state.snapshot();
        self.snapshot = Some(Snapshot::new(position, configuration.clone(), state));
        self.rewrite_store();
    }

    /// Queues records that rewrite the store with the latest snapshot and the current log.
    pub(super) fn rewrite_store(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let checkpoint = LogRecord::Checkpoint(Checkpoint {
            log_id: self.log_id,
            configuration: snapshot.configuration.clone(),
            position: snapshot.position,
            state: snapshot.bytes.to_vec(),
        });
        let mut log = self.log.borrow_mut();
        let mut records = vec![checkpoint, LogRecord::Started(self.start_count)];
        records.extend(log.to_records());
        log.unwritten = records;
    }
}
