//! Runs the policy engine for an external simulator. The adapter reads event frames on standard input and writes one
//! action frame for each of them on standard output.
//!
//! Each instance that the simulator creates has a [`PolicyEngine`](cometspool::PolicyEngine) of its own. The adapter
//! only translates between the simulator's records and the engine's events and actions; it makes no decisions.

#![forbid(unsafe_code)]

mod codec;
mod instances;
mod translate;

use codec::{MalformedFrame, Reply};
use instances::Instances;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Length of the payload length field that precedes each frame, bytes.
const HEADER_LENGTH: u64 = 4;

/// Error that stops the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// Reading standard input or writing standard output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ended inside a frame's length field.
    #[error("truncated frame at offset {offset} of its header")]
    TruncatedHeader { offset: usize },
    /// The input ended inside a frame's payload.
    #[error("truncated frame at offset {offset} of {length}")]
    TruncatedPayload { offset: usize, length: u32 },
    /// A frame could not be decoded.
    #[error(transparent)]
    Malformed(#[from] MalformedFrame),
}

fn main() -> ExitCode {
    instances::install_panic_hook();
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cometspool-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads event frames until the input ends and answers each with one action frame.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut payload = Vec::new();
    while read_frame(input, &mut payload)? {
        let reply = handle_frame(&mut instances, &payload)?;
        output.write_all(&reply.into_frame())?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the payload of the next frame into `payload`; returns `false` at the end of the input.
fn read_frame(input: &mut impl Read, payload: &mut Vec<u8>) -> Result<bool, AdapterError> {
    let Some(length) = read_frame_length(input)? else {
        return Ok(false);
    };
    payload.clear();
    let offset = input.take(u64::from(length)).read_to_end(payload)?;
    if offset < length as usize {
        return Err(AdapterError::TruncatedPayload { offset, length });
    }
    Ok(true)
}

/// Reads the payload length of the next frame, bytes; returns `None` at the end of the input.
fn read_frame_length(input: &mut impl Read) -> Result<Option<u32>, AdapterError> {
    let mut header = Vec::with_capacity(HEADER_LENGTH as usize);
    input.take(HEADER_LENGTH).read_to_end(&mut header)?;
    match <[u8; 4]>::try_from(header.as_slice()) {
        Ok(bytes) => Ok(Some(u32::from_le_bytes(bytes))),
        Err(_) if header.is_empty() => Ok(None),
        Err(_) => Err(AdapterError::TruncatedHeader {
            offset: header.len(),
        }),
    }
}

/// Handles the records of a frame in order and collects the resulting actions in the reply.
fn handle_frame(instances: &mut Instances, payload: &[u8]) -> Result<Reply, MalformedFrame> {
    let batch = codec::decode(payload)?;
    let mut reply = Reply::default();
    let mut actions = Vec::new();
    for addressed in batch.records {
        let instance = addressed.instance;
        let result = instances.handle(batch.now, instance, addressed.record, &mut actions);
        if let Err(error) = result {
            reply.instance_failed(instance, &error.to_string());
        }
        for action in actions.drain(..) {
            translate::encode_action(&mut reply, instance, action);
        }
    }
    Ok(reply)
}
