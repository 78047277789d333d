//! Backends that follow a script instead of using sockets, and record the attempts sent to them.

use super::fixture::advance;
use crate::net::driver::attempts::{AttemptExecutor, AttemptFuture};
use crate::net::messages::{AttemptResult, UpstreamRequest};
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use crate::net::upstream::pool_driver::AttemptHandle;
use cometspool::{BackendId, DeliveryMode, Millis, Outcome};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// How a scripted attempt goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptedAttempt {
    /// How long the attempt takes, in milliseconds.
    pub duration: Millis,
    /// Whether the request is fully written as soon as the attempt begins; otherwise it never is.
    pub is_fully_written: bool,
    /// How the attempt ends.
    pub outcome: Outcome,
}

impl ScriptedAttempt {
    /// An attempt that takes longer than any request may.
    pub(super) const HANGS: ScriptedAttempt = ScriptedAttempt {
        duration: 1e5,
        is_fully_written: true,
        outcome: Outcome::Ok,
    };

    /// An attempt that succeeds after 10 ms.
    pub(super) const SUCCEEDS: ScriptedAttempt = ScriptedAttempt {
        duration: 10.0,
        is_fully_written: true,
        outcome: Outcome::Ok,
    };

    fn random(rng: &mut Pcg32) -> ScriptedAttempt {
        let mut draw = |n: u32| rng.next_u32() % n;
        let outcome = match draw(10) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            _ => Outcome::Ok,
        };
        // One in five takes longer than any request may.
        let duration = if draw(5) == 0 {
            ScriptedAttempt::HANGS.duration
        } else {
            f64::from(1 + draw(900))
        };
        ScriptedAttempt {
            duration,
            is_fully_written: outcome != Outcome::ConnectFailed && draw(8) > 0,
            outcome,
        }
    }
}

/// The record of one attempt.
#[derive(Clone, Debug)]
pub(super) struct RecordedAttempt {
    /// The wire id of the attempt's request.
    pub request: Rc<str>,
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// The deadline that the driver set for the attempt.
    pub deadline: AttemptDeadline,
    /// When the attempt began, on the gateway's clock.
    pub began_at: Millis,
    /// When the attempt ended in any way, on the gateway's clock; `None` while it is in flight.
    pub ended_at: Option<Millis>,
    /// Whether the way in which the attempt ended proves that the request did not run.
    pub never_ran: bool,
}

/// The script of future attempts, and the record of those that have begun.
#[derive(Default)]
pub(super) struct ScriptedBackends {
    /// Attempts in the order in which they began.
    pub attempts: Vec<RecordedAttempt>,
    script: VecDeque<ScriptedAttempt>,
    rng: Option<Pcg32>,
}

impl ScriptedBackends {
    /// Backends whose attempts go as scripted, in order; attempts beyond the end of the script succeed.
    pub(super) fn scripted(script: &[ScriptedAttempt]) -> Rc<RefCell<ScriptedBackends>> {
        Rc::new(RefCell::new(ScriptedBackends {
            script: script.iter().copied().collect(),
            ..ScriptedBackends::default()
        }))
    }

    /// Backends whose attempts are drawn at random from `seed`.
    pub(super) fn random(seed: u64) -> Rc<RefCell<ScriptedBackends>> {
        Rc::new(RefCell::new(ScriptedBackends {
            rng: Some(Pcg32::seed_from_u64(seed)),
            ..ScriptedBackends::default()
        }))
    }

    fn next_attempt(&mut self) -> ScriptedAttempt {
        if let Some(scripted) = self.script.pop_front() {
            return scripted;
        }
        match &mut self.rng {
            Some(rng) => ScriptedAttempt::random(rng),
            None => ScriptedAttempt::SUCCEEDS,
        }
    }
}

/// Records when an attempt's task ends, whether it completes or is aborted.
struct AttemptRecorder {
    backends: Rc<RefCell<ScriptedBackends>>,
    clock: Clock,
    /// The index of the attempt in the record.
    index: usize,
    handle: AttemptHandle,
}

impl Drop for AttemptRecorder {
    fn drop(&mut self) {
        let attempt = &mut self.backends.borrow_mut().attempts[self.index];
        attempt.ended_at = Some(self.clock.now());
        attempt.never_ran |= !self.handle.is_fully_written();
    }
}

impl AttemptRecorder {
    async fn run(self, scripted: ScriptedAttempt) -> AttemptResult {
        if scripted.is_fully_written {
            self.handle.mark_fully_written();
        }
        advance(scripted.duration).await;
        let proves_never_ran =
            matches!(scripted.outcome, Outcome::Rejected | Outcome::ConnectFailed);
        self.backends.borrow_mut().attempts[self.index].never_ran |= proves_never_ran;
        AttemptResult::without_response(scripted.outcome)
    }
}

/// Creates an executor that runs attempts as scripted in `backends` and records them there.
pub(super) fn scripted_executor(
    backends: Rc<RefCell<ScriptedBackends>>,
    clock: Clock,
) -> Box<AttemptExecutor> {
    let execute = move |backend: BackendId,
                        upstream_request: Rc<UpstreamRequest>,
                        deadline: AttemptDeadline,
                        _: DeliveryMode,
                        handle: AttemptHandle| {
        let mut record = backends.borrow_mut();
        let scripted = record.next_attempt();
        let index = record.attempts.len();
        record.attempts.push(RecordedAttempt {
            request: upstream_request.id.clone(),
            backend,
            deadline,
            began_at: clock.now(),
            ended_at: None,
            never_ran: false,
        });
        let recorder = AttemptRecorder {
            backends: backends.clone(),
            clock,
            index,
            handle,
        };
        Box::pin(recorder.run(scripted)) as AttemptFuture
    };
    Box::new(execute)
}
