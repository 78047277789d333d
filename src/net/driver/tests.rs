//! Tests of the driver, with the policy that serves and without sockets: attempts are carried out by a script, on a
//! clock that stands still while any task can run.

mod deadlines;
mod endpoints;
mod fixture;
mod hedging;
mod schedules;
mod scripted_backends;
