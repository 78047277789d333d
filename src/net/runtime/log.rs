//! The log of the process: one event per line on standard error.

use std::io;

/// The output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Time, level, message and fields as plain text.
    Text,
    /// A JSON object with the same content, for the tools of a fleet.
    Json,
}

/// Initializes the log of this process. An existing subscriber is kept, so that a program that embeds the gateway
/// receives its events.
pub(crate) fn init(format: LogFormat) {
    let subscriber = tracing_subscriber::fmt()
        .with_target(false)
        .with_writer(io::stderr);
    let result = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().flatten_event(true).try_init(),
    };
    // The only possible error is that a subscriber is already set, which is intended.
    drop(result);
}
