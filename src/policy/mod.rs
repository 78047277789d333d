//! The decisions of a gateway, a file for each subject. `admission` holds customers to their quotas, `guards`
//! keep what the rules and the backends' room ask beyond, `backends` is what is known of each, `load_balancing` picks
//! one, `retry` tells how long and how often one is tried. Here events go to the parts that they concern.

mod admission;
mod backends;
mod guards;
mod load_balancing;
mod retry;

use crate::measure::uniform;
use crate::policy_api::*;
use admission::{Quotas, Seen};
use backends::{Fleet, Flight};
use guards::Opening;
use load_balancing::{Ask, Choice, Subset};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use retry::{Attempts, Live, Reach, Try};
use std::sync::Arc;

const PATIENCE: f64 = 1.5; // times the expected answer that a client must have: half take longer
const LIST_ALARM: TimerId = TimerId(u64::MAX); // asks again for the list of backends

/// Why a request is refused, and how long the reason will last if that is known.
type Refused = (RejectReason, Option<Millis>);

/// What all parts go by: the settings and, of these, the shortest aim and the number of gateways.
struct Terms {
    set: Settings,
    aim: Millis,
    gateways: f64,
}

/// The decisions of one gateway.
pub struct PolicyEngine {
    terms: Arc<Terms>,
    rng: Pcg32,
    born: Option<Millis>,
    quotas: Quotas,
    opening: Opening,
    fleet: Fleet,
    subset: Subset,
    attempts: Attempts,
    stop: Option<Millis>, // when a planned stop has all answered, once there is one
}

impl PolicyEngine {
    /// A gateway with these settings; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Self {
        let gateways = f64::from(set.gateways.max(1));
        let terms = Arc::new(Terms {
            aim: set.shortest_latency_objective(),
            set,
            gateways,
        });
        PolicyEngine {
            rng: Pcg32::seed_from_u64(seed),
            born: None,
            quotas: Quotas::new(terms.clone()),
            opening: Opening::new(terms.clone()),
            fleet: Fleet::new(terms.clone()),
            subset: Subset::new(terms.clone()),
            attempts: Attempts::new(terms.clone()),
            stop: None,
            terms,
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        match event {
            Event::EndpointsChanged(kind, entries) => self.listed(now, kind, &entries, actions),
            Event::RequestArrived(request) => self.arrived(now, request, actions),
            Event::StreamStarted(id) => {
                self.attempts
                    .live
                    .entry(id)
                    .and_modify(|live| live.started = true);
            }
            Event::AttemptCompleted(settled) => self.settled(now, &settled, actions),
            Event::ClientDisconnected(id) => self.abandon(id, actions),
            Event::TimerFired(LIST_ALARM) => actions.push(Action::Subscribe),
            Event::TimerFired(TimerId(name)) => match (name >> 32, RequestId(name as u32)) {
                (0, id) => self.out_of_time(now, id, actions),
                (attempt, id) => self.copy(now, id, attempt as u32 - 1, actions),
            },
            Event::ShutdownStarted(end) => self.stop = Some(end),
            Event::FleetSizeChanged(doors) => {
                self.fleet.doors = self.terms.gateways.max(doors.into());
            }
            Event::HealthCheckCompleted { .. } => {} // none are sent: load is judged by this gateway's own attempts
        }
        actions.append(&mut self.subset.warm);
    }

    /// How many customers the gateway holds an entry of.
    pub fn tracked_customers(&self) -> usize {
        self.quotas.customers.len()
    }

    fn arrived(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(request) = request.bounded(now, &self.terms.set) else {
            actions.push(Action::Reject {
                request: id,
                retry_after: None,
                reason: RejectReason::UnknownPlanOrClass,
            });
            return;
        };
        if let Some(end) = self.stop {
            actions
                .push(self.refusal(id, (RejectReason::ShuttingDown, Some((end - now).max(0.0)))));
            return;
        }
        self.quotas.evict(now);
        let live = Live::new(request, now);
        match self.admit(now, &live) {
            Ok(choice) => {
                self.attempts.earn_retries();
                let at = self.slow_mark(&live).min(self.attempts.cut(&live));
                actions.push(Action::SetTimer {
                    at,
                    timer: TimerId(u64::from(id.0)),
                });
                self.attempts.live.insert(id, live);
                self.send(now, id, choice, actions);
            }
            Err(why) => actions.push(self.refusal(id, why)),
        }
    }

    /// Lets a request in and names its backend, or tells how long the reason to refuse it will last.
    fn admit(&mut self, now: Millis, live: &Live) -> Result<Choice, Refused> {
        let request = &live.request;
        self.opening.observe_pressure(now, self.fleet.least_wait());
        let seen = Seen {
            age: now - self.born.unwrap_or(now),
            pressure: self.opening.pressure.max(1.0 - self.opening.open),
            opening: self.opening.open,
            per_unit: self.fleet.common_pace() / 1000.0,
            luck: uniform(&mut self.rng),
        };
        self.quotas.admit(now, request, &seen)?;
        self.subset.asked(now, request.units);
        let choice = self
            .choose(now, live)
            .ok_or((RejectReason::NoCapacity, None))?;
        // A client that leaves before an answer can be expected would come again after work done for nothing.
        let expected = choice.wait + choice.pace * request.units;
        let late = PATIENCE * expected > request.deadline - now || !self.attempts.fits(now, live);
        if choice.wait > guards::WAIT_LIMIT * self.terms.aim || late {
            return Err((RejectReason::NoCapacity, None));
        }
        self.quotas.take(now, request);
        Ok(choice)
    }

    fn choose(&mut self, now: Millis, live: &Live) -> Option<Choice> {
        let reach = self.attempts.reach(now, live);
        self.subset.choose(
            &Ask {
                now,
                live,
                reach,
                fleet: &self.fleet,
            },
            &mut self.rng,
        )
    }

    fn refusal(&self, request: RequestId, (why, wait): Refused) -> Action {
        let advised = wait.filter(|_| self.terms.set.retry_after);
        let retry_after = advised.map(|wait| wait.clamp(0.0, self.terms.set.max_retry_after));
        Action::Reject {
            request,
            retry_after,
            reason: why,
        }
    }

    /// When an answer is slow. It is observed at once: a time-out is news when queues have long filled.
    fn slow_mark(&self, live: &Live) -> Millis {
        // A larger request than usual has more time.
        let size = (live.request.units / self.quotas.usual.max(0.01)).max(1.0);
        live.arrived
            + (guards::SLOW_AIMS * size).min(1.0)
                * self.terms.set.classes[live.request.class.0].latency_objective
    }

    fn send(&mut self, now: Millis, id: RequestId, to: Choice, actions: &mut Vec<Action>) {
        let (Some(live), Some(at)) = (self.attempts.live.get(&id), self.fleet.find(to.backend))
        else {
            return;
        };
        let units = live.request.units.max(0.01);
        let load = self.fleet.all[at].load_out() + units;
        let expected = self.fleet.pace(&self.fleet.all[at]) * load;
        let left = self.attempts.cut(live) - now;
        let patience = self
            .attempts
            .patience(now, live, expected, self.opening.calm());
        // A second copy costs less than giving up: the first may still answer.
        let copy = self.terms.set.hedging && patience < left;
        let limit = if copy { left } else { patience.min(left) }.max(self.terms.set.tick);
        if copy && live.out.is_empty() {
            let alarm = TimerId(u64::from(live.sends + 1) << 32 | u64::from(id.0));
            actions.push(Action::SetTimer {
                at: now + patience,
                timer: alarm,
            });
        }
        let (delivery, begin_before) = (
            self.attempts.delivery(now, live),
            self.attempts.key_expires(live),
        );
        let flight = Flight {
            at: now,
            class: live.request.class,
            load,
            units,
        };
        self.quotas
            .customers
            .entry(live.request.customer)
            .and_modify(|customer| customer.cap.open += 1);
        self.fleet.all[at].sent(now, id, flight, to.even_rate, &self.terms.set);
        let BackendEntry { zone, cell, .. } = self.fleet.all[at].entry;
        self.attempts.live.entry(id).and_modify(|live| {
            live.out.push(Try {
                attempt: live.sends,
                to: to.backend,
                at: now,
                zone,
                cell,
            });
            live.sends += 1;
        });
        let (backend, limit) = (to.backend, Some(limit));
        actions.push(Action::Send {
            request: id,
            backend,
            timeout: limit,
            begin_before,
            delivery,
        });
    }

    fn settled(&mut self, now: Millis, settled: &AttemptCompleted, actions: &mut Vec<Action>) {
        let id = settled.request;
        let Some(live) = self.attempts.live.get_mut(&id) else {
            return;
        };
        let ended = |out: &Try| out.attempt == settled.attempt && out.to == settled.backend;
        let Some(ended) = live
            .out
            .iter()
            .position(ended)
            .map(|place| live.out.remove(place))
        else {
            return;
        };
        if !settled.outcome.never_ran() {
            live.ran = live.ran.filter(|ran| ran.at <= ended.at).or(Some(ended));
        }
        let live = live.clone();
        let served = settled.outcome == Outcome::Ok;
        if served {
            self.attempts
                .observe_service(live.request.class, settled.elapsed.max(0.0));
        }
        if served && !live.slow {
            let mark = self.slow_mark(&live) - live.arrived;
            self.opening.observe_answer(
                now,
                (guards::SLOW_AIMS * (now - live.arrived) / mark).min(1.0),
            );
        }
        if settled.broken_connections > 0 {
            self.attempts.broke_at = now;
        }
        actions.extend(self.fleet.learn(now, &live.request, settled, &mut self.rng));
        self.quotas.settle(now, &live.request, settled);
        if settled.request_closed || live.answered || served {
            // A copy that is still out works for nobody.
            if live.out.is_empty() || !live.answered {
                self.abandon(id, actions);
            }
            return;
        }
        // Another copy that is out has all of the time that both had.
        if !live.out.is_empty() {
            return;
        }
        if !live.started && self.attempts.may_send_again(now, &live) {
            if let Some(choice) = self.choose(now, &live) {
                self.attempts.retries -= 1.0;
                self.send(now, id, choice, actions);
                return;
            }
        }
        actions.push(self.last_word(now, &live));
        self.attempts.live.remove(&id);
    }

    /// Sends a second copy beside an attempt that has hung for too long, within the same time.
    fn copy(&mut self, now: Millis, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(live) = self.attempts.waiting(id) else {
            return;
        };
        let alone = live.out.len() == 1 && live.out[0].attempt == attempt;
        if !alone || !self.opening.calm() || !self.attempts.may_send_again(now, live) {
            return;
        }
        let live = live.clone();
        if let Some(choice) = self.choose(now, &live) {
            self.attempts.retries -= 1.0;
            self.send(now, id, choice, actions);
        }
    }

    /// The final answer for a request that will not be served: a refusal only where repeating is harmless.
    fn last_word(&self, now: Millis, live: &Live) -> Action {
        if self.attempts.reach(now, live) == Reach::Anywhere {
            self.refusal(live.request.id, (RejectReason::AttemptsFailed, None))
        } else {
            Action::Fail(live.request.id)
        }
    }

    fn out_of_time(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.attempts.waiting(id) else {
            return;
        };
        let cut = self.attempts.cut(live);
        if now >= cut || live.slow {
            actions.push(self.last_word(now, live));
            self.abandon(id, actions);
            return;
        }
        actions.push(Action::SetTimer {
            at: cut,
            timer: TimerId(u64::from(id.0)),
        });
        // What hangs is no sign of queues: a fallen opening would refuse what the backends have room for.
        if !live
            .out
            .first()
            .is_some_and(|out| self.fleet.hung(now, out.to, id))
        {
            self.opening.observe_answer(now, 1.0);
        }
        self.attempts
            .live
            .entry(id)
            .and_modify(|live| live.slow = true);
    }

    /// Ends a request, calling off an attempt that is still out.
    fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.attempts.live.get_mut(&id) else {
            return;
        };
        live.answered = true;
        if live.out.is_empty() {
            self.attempts.live.remove(&id);
        } else if self.terms.set.cancellation && !live.started {
            actions.extend(live.out.iter().map(|out| Action::CancelAttempt {
                request: id,
                attempt: out.attempt,
            }));
        }
    }

    fn listed(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: &[BackendEntry],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            _ if self.terms.set.discovery == DiscoveryMode::Pushed => {}
            ListKind::Cached => actions.push(Action::Subscribe),
            ListKind::Failed => {
                let pause = self.terms.set.poll_interval / 8.0 * (0.5 + uniform(&mut self.rng));
                actions.push(Action::SetTimer {
                    at: now + pause,
                    timer: LIST_ALARM,
                });
            }
            ListKind::Full | ListKind::Changes => {}
        }
        let whole = matches!(kind, ListKind::Full | ListKind::Cached);
        self.fleet.listed(now, whole, entries, &mut self.rng);
    }
}
