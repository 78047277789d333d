//! Backends that follow a script in place of sockets, and record what was sent to them.

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

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptedAttempt {
    /// How long it takes, in milliseconds.
    pub duration: Millis,
    /// Whether it is fully written as soon as it begins; else it never is.
    pub is_fully_written: bool,
    /// How it ends.
    pub outcome: Outcome,
}

impl ScriptedAttempt {
    /// An attempt that outlasts any request.
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
        // One in five hangs for longer than any request has.
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

/// One attempt as the script saw it.
#[derive(Clone, Debug)]
pub(super) struct RecordedAttempt {
    /// The id of its request on the wire.
    pub request: Rc<str>,
    /// Where it went.
    pub backend: BackendId,
    /// The time that it was given.
    pub deadline: AttemptDeadline,
    /// When it began.
    pub began_at: Millis,
    /// When it ended, however it did.
    pub ended_at: Option<Millis>,
    /// Whether its end proves that it did not run.
    pub never_ran: bool,
}

/// The script of attempts to come, and the record of those that have begun.
#[derive(Default)]
pub(super) struct ScriptedBackends {
    /// Attempts in the order in which they began.
    pub attempts: Vec<RecordedAttempt>,
    script: VecDeque<ScriptedAttempt>,
    rng: Option<Pcg32>,
}

impl ScriptedBackends {
    /// Attempts go as scripted, in order; those beyond the script succeed.
    pub(super) fn scripted(script: &[ScriptedAttempt]) -> Rc<RefCell<ScriptedBackends>> {
        Rc::new(RefCell::new(ScriptedBackends {
            script: script.iter().copied().collect(),
            ..ScriptedBackends::default()
        }))
    }

    /// Attempts go as drawn from `seed`.
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

/// Records that an attempt's task is over, however it ends.
struct AttemptRecorder {
    backends: Rc<RefCell<ScriptedBackends>>,
    clock: Clock,
    /// The attempt's place in the record.
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
            self.handle.pretend_fully_written();
        }
        advance(scripted.duration).await;
        let is_proof = matches!(scripted.outcome, Outcome::Rejected | Outcome::ConnectFailed);
        self.backends.borrow_mut().attempts[self.index].never_ran |= is_proof;
        AttemptResult::without_response(scripted.outcome)
    }
}

/// Carries out attempts as `backends` says, and records them there.
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
