//! The handle by which the gateway's driver observes and cancels an attempt in flight.

use super::socket::ConnectionSocket;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// A handle to an attempt in flight; clones refer to the same attempt.
#[derive(Clone, Default)]
pub(crate) struct AttemptHandle {
    socket: Rc<RefCell<Option<Rc<ConnectionSocket>>>>,
    task: Rc<RefCell<Option<AbortHandle>>>,
}

impl AttemptHandle {
    /// Sets the socket of the connection that carries the attempt.
    pub(crate) fn set_connection(&self, socket: &Rc<ConnectionSocket>) {
        *self.socket.borrow_mut() = Some(socket.clone());
    }

    /// Sets the task that runs the attempt.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Whether the whole request has been written; before that, the backend cannot have executed it.
    pub(crate) fn is_fully_written(&self) -> bool {
        self.socket
            .borrow()
            .as_ref()
            .is_some_and(|socket| socket.is_fully_written())
    }

    /// Marks the request as fully written, for tests that run attempts without a socket.
    #[cfg(test)]
    pub(crate) fn mark_fully_written(&self) {
        self.set_connection(&Rc::new(ConnectionSocket::fully_written()));
    }

    /// Abandons the attempt: closes its connection before returning, and aborts its task.
    pub(crate) fn abandon(&self) {
        if let Some(socket) = self.socket.borrow_mut().take() {
            socket.close();
        }
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}
