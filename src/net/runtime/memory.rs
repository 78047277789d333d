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

    /// A reservation of no bytes, which can grow.
    pub(crate) fn empty_reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            permit: None,
        }
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if less is available now, or if others wait for memory.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let mut reservation = self.empty_reservation();
        reservation.grow_by(bytes)?;
        Ok(reservation)
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
            budget: self.clone(),
            permit: Some(permit.map_err(|_| OutOfMemory)?),
        })
    }
}

/// Reserved memory; returned to its budget on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    /// `None` while nothing is reserved.
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// The reserved bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Grows the reservation to `bytes` in total, if it is smaller.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if less is available. The reservation then stays as it is.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.grow_by(bytes.saturating_sub(self.bytes()))
    }

    /// Splits off `bytes`; `None` if less is reserved.
    pub(crate) fn split(&mut self, bytes: usize) -> Option<Reservation> {
        Some(Reservation {
            budget: self.budget.clone(),
            permit: Some(self.permit.as_mut()?.split(bytes)?),
        })
    }

    fn grow_by(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes == 0 {
            return Ok(());
        }
        let count = u32::try_from(bytes).map_err(|_| OutOfMemory)?;
        let available = self.budget.available.clone();
        let permit = available
            .try_acquire_many_owned(count)
            .map_err(|_| OutOfMemory)?;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        Ok(())
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
