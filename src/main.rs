//! Entry point of the gateway: runs the gateway until it shuts down and maps a start-up error to the exit code.

#![forbid(unsafe_code)]

mod net;

use net::runtime::stall::WakeRecorder;
use net::StartError;
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometspool: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the gateway on a single-threaded runtime. A gateway has one core, and a single thread needs no locks on the
/// path of a request.
fn serve() -> Result<(), StartError> {
    let wake_recorder = WakeRecorder::new();
    let recorder = wake_recorder.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .on_thread_unpark(move || recorder.record_wake())
        .enable_io()
        .enable_time()
        .build()
        .map_err(StartError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, net::run(wake_recorder))
}
