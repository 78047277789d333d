//! The policy of an admission gateway for a service sold by plan: which requests to admit, which backend each is
//! forwarded to, and when to retry.
//!
//! The policy is sans I/O. Its driver owns the sockets, connections, timers and the clock. The driver creates one
//! [`PolicyEngine`] from [`Settings`] and a seed, reports every [`Event`] with its time, and executes each [`Action`]
//! that the engine returns. The policy reads no clock, does no I/O and shares no state, so the same events always
//! produce the same actions.
//!
//! Requests are admitted by recent average rate limiters, with a [`Cewma`] and a penalty box for each customer. The
//! modules of the policy are private; the documentation of each module describes its responsibility. [`settings`]
//! parses the text format in which a deployment writes its settings.
//!
//! ```
//! use cometspool::*;
//!
//! let settings = Settings {
//!     classes: vec![Class { latency_objective: 500.0, deadline: 2000.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut engine = PolicyEngine::new(settings, 7);
//! let mut actions = Vec::new();
//! let backend = BackendEntry {
//!     id: BackendId(1),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     started_at: None,
//!     weight: 1.0,
//! };
//! engine.handle(0.0, Event::EndpointsChanged(ListKind::Cached, vec![backend]), &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     customer: CustomerId(42),
//!     plan: PlanId(0),
//!     class: ClassId(0),
//!     units: 1.0,
//!     deadline: 2000.0,
//!     gateway_count: 1.0,
//!     is_retry: false,
//!     queued_for: 0.0,
//! };
//! engine.handle(5.0, Event::RequestArrived(request), &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { request, backend, .. } => assert_eq!((request.0, backend.0), (1, 1)),
//!         Action::SetTimer { at, .. } => assert!(at <= 2000.0),
//!         other => panic!("unexpected action: {other:?}"),
//!     }
//! }
//! ```

#![forbid(unsafe_code)]

pub mod connection_pool;
mod measure;
mod policy;
mod policy_api;
pub mod settings;

pub use measure::Cewma;
pub use policy::PolicyEngine;
pub use policy_api::*;
