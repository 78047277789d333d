//! Tests of the driver with the real policy and without sockets: a script determines how attempts go, and the clock is
//! paused, so that it advances only when no task can run.

mod deadlines;
mod endpoints;
mod fixture;
mod hedging;
mod schedules;
mod scripted_backends;
