//! The log: events on standard error, one a line.

use std::io;

/// How the events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Time, level, message and fields as plain text.
    Text,
    /// A JSON object with the same content, as tools of a fleet read it.
    Json,
}

/// Starts the log of this process. A subscriber that is set already stays: a program that embeds this one gets the events.
pub(crate) fn init(format: LogFormat) {
    let subscriber = tracing_subscriber::fmt()
        .with_target(false)
        .with_writer(io::stderr);
    let result = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().flatten_event(true).try_init(),
    };
    // The only error is that another subscriber is set.
    drop(result);
}
