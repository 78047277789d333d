//! What passes between the policy and its driver: settings at the start, then events in and actions out.
//!
//! All times are [`Millis`] on the clock of the caller; the policy never reads a clock of its own.

mod action;
mod endpoint;
mod event;
mod ids;
mod request;
mod settings;

pub use action::{Action, DeliveryMode, RejectReason};
pub use endpoint::{Availability, BackendEntry, ListKind};
pub use event::Event;
pub use ids::{BackendId, CellId, ClassId, CustomerId, Millis, PlanId, RequestId, TimerId, ZoneId};
pub(crate) use request::in_range;
pub use request::{AttemptCompleted, LoadReport, Outcome, Request};
pub use settings::{
    Ceiling, Class, DeduplicationScope, DiscoveryMode, Idempotency, LoadReportMode, Plan, Settings,
};
