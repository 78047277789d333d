//! Budgets of memory that many connections share.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory that can be reserved, in bytes. Clones share the same memory.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    /// One permit for each byte that is not reserved.
    available: Arc<Semaphore>,
}

/// Not enough memory is available in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not enough memory")]
pub(crate) struct OutOfMemory;

impl MemoryBudget {
    /// A budget of `bytes`.
    pub(crate) fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget {
            available: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if less is available now, or if others wait for memory.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let count = u32::try_from(bytes).map_err(|_| OutOfMemory)?;
        let permit = self.available.clone().try_acquire_many_owned(count);
        Ok(Reservation {
            permit: permit.map_err(|_| OutOfMemory)?,
        })
    }

    /// Reserves `bytes` as soon as they are available. Those that wait are served in the order of their calls.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if `bytes` exceeds the largest reservation.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let count = u32::try_from(bytes).map_err(|_| OutOfMemory)?;
        let permit = self.available.clone().acquire_many_owned(count).await;
        Ok(Reservation {
            permit: permit.map_err(|_| OutOfMemory)?,
        })
    }
}

/// Reserved memory; returned to its budget on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// The reserved bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Returns all but `bytes` to the budget, if more is reserved.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        drop(self.permit.split(excess));
    }
}

/// Bytes with the memory that is reserved for them, as the owner of a [`hyper::body::Bytes`]: the memory is returned to
/// the budget when the last reference to the bytes is dropped.
pub(crate) struct ReservedBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T> ReservedBytes<T> {
    /// Binds `reservation` to `bytes`.
    pub(crate) fn new(bytes: T, reservation: Reservation) -> ReservedBytes<T> {
        ReservedBytes {
            bytes,
            _reservation: reservation,
        }
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
