//! Scripted clients, backends and discovery services: a test controls each peer of one gateway message by message.
//!
//! The gateway is the built program in a process of its own ([`GatewayProcess`]); all traffic runs over loopback
//! sockets. A scripted peer reads a request before it responds: a response that comes before its request makes an HTTP
//! client close the connection. A wait polls, with pauses, until the expected event occurs. If the event does not occur
//! within [`MAX_WAIT`], the wait fails the test with a panic.

mod connection;
mod fixture;
mod gateway_process;
mod listener;
mod memory_limit;
mod socket_table;

pub use connection::{Message, ScriptedConnection, WatchStream};
pub use fixture::{
    default_settings, endpoint, endpoint_list, request, request_with, watch_request, TestFixture,
    HEALTH_CHECK, LIST_REQUEST, LONG_TIMEOUT,
};
pub use gateway_process::{
    program_path, spawn_with_configuration, temporary_path, GatewayProcess, SpawnedProgram,
};
pub use listener::{
    accept_any_unless_answered, listener_with_full_backlog, refusing_address, FullBacklog,
    RefusingAddress, TestListener,
};
pub use memory_limit::{
    long_request, run_clients, Exchange, SmallGateway, LONGEST_BODY, MEMORY_MB, PADDING,
};
pub use socket_table::{any_established, is_connecting, ConnectionEnds};

use std::time::{Duration, Instant};

/// The longest time that a test waits for an event. An event that takes longer counts as one that never comes.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// The shortest pause between two probes.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// The longest pause between two probes.
const MAX_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a probe, as a multiple of the duration of the probe. It limits the processor time of tests that
/// wait, so that many of them at once leave the processors to the processes for which they wait.
const PAUSE_FACTOR: u32 = 4;

/// Polls `probe`, with a pause after each call, until it returns a value. `expected` describes the event for which the
/// caller waits.
///
/// # Panics
///
/// Panics with `expected` if there is no value within [`MAX_WAIT`].
pub fn wait_for<T>(expected: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let started = Instant::now();
        if let Some(found) = probe() {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {expected}"
        );
        let pause = started.elapsed() * PAUSE_FACTOR;
        std::thread::sleep(pause.clamp(MIN_PAUSE, MAX_PAUSE));
    }
}
