//! Time and identifiers. Each kind of identifier has its own type, so that the compiler finds one that is passed in
//! place of another.

/// A point in time or a duration, in milliseconds on the caller's monotonic clock.
pub type Millis = f64;

/// A request, as numbered by the driver. No id is reused within one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A backend, as numbered by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// A customer: the owner of one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// Index of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a plan in [`Settings::plans`](crate::Settings::plans).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// An availability zone, as numbered by the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell: a group of backends that share one store of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A timer, as numbered by the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
