//! The interface between the policy and its driver. The policy is created from [`Settings`]; from then on the driver
//! reports each [`Event`] and carries out the [`Action`]s that the policy returns.
//!
//! All times are [`Millis`] on the driver's clock; the policy reads no clock.

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
pub(crate) use request::clamp_finite;
pub use request::{AttemptCompleted, LoadReport, Outcome, Request};
pub use settings::{
    Ceiling, Class, DeduplicationScope, DiscoveryMode, Idempotency, LoadReportMode, Plan, Settings,
};
