//! How far the answer of an attempt has come. One that is arriving is not cut off by a time-out that is meant for backends
//! that do not answer.

use cometspool::Millis;
use std::cell::{Cell, RefCell};

/// Told once, when an answer proves not to come all at once.
type OnBegun = Box<dyn FnOnce()>;

/// The arrival of an attempt's answer, as its reader notes it.
#[derive(Default)]
pub struct Arrival {
    last: Cell<Option<Millis>>,
    on_begun: RefCell<Option<OnBegun>>,
}

impl Arrival {
    /// Names who is told when an answer has begun and has not come whole at once.
    pub fn on_begun(&self, on_begun: OnBegun) {
        *self.on_begun.borrow_mut() = Some(on_begun);
    }

    /// Bytes of the answer came.
    pub fn note(&self, now: Millis) {
        self.last.set(Some(now));
    }

    /// The answer has begun and goes on arriving.
    pub fn begun(&self) {
        let on_begun = self.on_begun.borrow_mut().take();
        if let Some(on_begun) = on_begun {
            on_begun();
        }
    }

    /// When bytes of the answer came last; nothing before its head.
    pub fn last(&self) -> Option<Millis> {
        self.last.get()
    }
}
