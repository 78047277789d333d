//! The simulator's wire format: frames of little-endian records without padding.
//!
//! A frame to the adapter has its payload's length (u32), the time (f64, ms) and event records; a frame from it has
//! its payload's length, the number of action records (u32) and these. Each record starts with its code (u16) and the
//! instance (u32) that it is for.

use std::fmt;

/// Codes of event records.
mod event_code {
    pub(super) const CREATE: u16 = 256;
    pub(super) const ENDPOINT_LIST: u16 = 257;
    pub(super) const REQUEST: u16 = 258;
    pub(super) const STREAM_STARTED: u16 = 259;
    pub(super) const ATTEMPT_COMPLETED: u16 = 260;
    pub(super) const CLIENT_DISCONNECTED: u16 = 261;
    pub(super) const TIMER_FIRED: u16 = 262;
    pub(super) const HEALTH_CHECK_COMPLETED: u16 = 263;
    pub(super) const PEER_MESSAGE: u16 = 264;
    pub(super) const RETIRE: u16 = 265;
    pub(super) const COUNTER_REPLY: u16 = 266;
}

/// Codes of action records.
mod action_code {
    pub(super) const SEND: u16 = 320;
    pub(super) const REJECT: u16 = 321;
    pub(super) const FAIL: u16 = 322;
    pub(super) const CANCEL_ATTEMPT: u16 = 323;
    pub(super) const SET_TIMER: u16 = 324;
    pub(super) const CHECK_HEALTH: u16 = 325;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u16 = 326;
    pub(super) const LOG: u16 = 328;
    pub(super) const INSTANCE_FAILED: u16 = 329;
    pub(super) const SUBSCRIBE: u16 = 330;
    pub(super) const FETCH_LIST: u16 = 331;
}

/// Bit of a request's flags that marks a retry of the client.
const RETRY_FLAG: u8 = 2;

/// A frame that cannot be decoded: where, and what was found there.
#[derive(Debug, PartialEq)]
pub(crate) struct MalformedFrame {
    /// Offset in the frame's payload, bytes.
    pub offset: usize,
    /// Code of the record at fault, if it was read.
    pub code: Option<u16>,
    /// What is wrong.
    pub problem: &'static str,
}

impl fmt::Display for MalformedFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed frame at offset {}", self.offset)?;
        if let Some(code) = self.code {
            write!(f, ", code {code}")?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for MalformedFrame {}

/// One entry of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListEntry {
    pub zone: u8,
    /// Time of the last start, ms; 0 if it was long ago.
    pub started_at: f64,
    pub backend: u32,
    pub cell: u16,
    /// 2 ready, 1 draining, else removed.
    pub availability: u8,
    /// Capacity relative to the other backends.
    pub weight: f32,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IncomingRequest {
    pub id: u32,
    pub gateway_count: f32,
    pub customer: u64,
    /// ms.
    pub deadline: f64,
    pub plan: u32,
    pub units: f32,
    pub class: u8,
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletedAttempt {
    pub request: u32,
    pub attempt: u16,
    pub backend: u32,
    /// Code of the outcome.
    pub outcome: u16,
    /// Time since it was sent, ms.
    pub elapsed: f64,
    pub request_closed: bool,
    /// The customer's usage in percent of its rate plus 1; 0 if it is not reported.
    pub quota_usage: u16,
    /// Units that the request took; 0 if they are not reported.
    pub actual_units: u16,
    /// The load report, in the order of the configured metrics.
    pub metrics: Vec<f32>,
}

/// The end of a health check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletedHealthCheck {
    /// ms.
    pub elapsed: f64,
    pub backend: u32,
    /// Code of the outcome.
    pub outcome: u16,
    /// The load report, in the order of the configured metrics.
    pub metrics: Vec<f32>,
}

/// What an event record says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// Start the instance.
    Create {
        seed: u64,
        settings: String,
    },
    /// End the instance.
    Retire,
    EndpointList {
        /// 0 changes, 1 full, 2 cached, else failed.
        kind: u8,
        entries: Vec<ListEntry>,
    },
    Request(IncomingRequest),
    StreamStarted {
        request: u32,
    },
    AttemptCompleted(CompletedAttempt),
    ClientDisconnected {
        request: u32,
    },
    TimerFired {
        timer: u64,
    },
    HealthCheckCompleted(CompletedHealthCheck),
    /// Messages of peers and replies of the counter service, which the policy does not use.
    Unused,
}

/// An event record, with the instance that it is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AddressedRecord {
    pub instance: u32,
    pub record: Record,
}

/// A decoded frame: its time and its event records in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Batch {
    /// ms.
    pub now: f64,
    pub records: Vec<AddressedRecord>,
}

/// Reads the fields of a payload in order.
struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// Code of the record that is being read.
    code: Option<u16>,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], MalformedFrame> {
        let end = self
            .offset
            .checked_add(count)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(self.malformed("the record overruns its frame"));
        };
        let taken = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, MalformedFrame> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, MalformedFrame> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, MalformedFrame> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, MalformedFrame> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, MalformedFrame> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn f64(&mut self) -> Result<f64, MalformedFrame> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    fn metrics(&mut self) -> Result<Vec<f32>, MalformedFrame> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn malformed(&self, problem: &'static str) -> MalformedFrame {
        MalformedFrame {
            offset: self.offset,
            code: self.code,
            problem,
        }
    }
}

/// Decodes the payload of a frame.
pub(crate) fn decode(payload: &[u8]) -> Result<Batch, MalformedFrame> {
    let mut reader = Reader {
        bytes: payload,
        offset: 0,
        code: None,
    };
    let now = reader.f64()?;
    let mut records = Vec::new();
    while reader.offset < payload.len() {
        reader.code = None;
        let code = reader.u16()?;
        reader.code = Some(code);
        let instance = reader.u32()?;
        let record = decode_record(&mut reader, code)?;
        records.push(AddressedRecord { instance, record });
    }
    Ok(Batch { now, records })
}

fn decode_record(reader: &mut Reader<'_>, code: u16) -> Result<Record, MalformedFrame> {
    match code {
        event_code::CREATE => decode_create(reader),
        event_code::ENDPOINT_LIST => decode_endpoint_list(reader),
        event_code::REQUEST => decode_request(reader),
        event_code::STREAM_STARTED => decode_stream_started(reader),
        event_code::ATTEMPT_COMPLETED => decode_attempt_completed(reader),
        event_code::CLIENT_DISCONNECTED => Ok(Record::ClientDisconnected {
            request: reader.u32()?,
        }),
        event_code::TIMER_FIRED => Ok(Record::TimerFired {
            timer: reader.u64()?,
        }),
        event_code::HEALTH_CHECK_COMPLETED => decode_health_check_completed(reader),
        event_code::PEER_MESSAGE => decode_peer_message(reader),
        event_code::RETIRE => Ok(Record::Retire),
        event_code::COUNTER_REPLY => decode_counter_reply(reader),
        _ => Err(reader.malformed("unknown event code")),
    }
}

fn decode_create(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    let seed = reader.u64()?;
    let length = reader.u32()? as usize;
    let settings = std::str::from_utf8(reader.take(length)?)
        .map_err(|_| reader.malformed("the settings are not text"))?;
    Ok(Record::Create {
        seed,
        settings: settings.to_owned(),
    })
}

fn decode_endpoint_list(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    let kind = reader.u8()?;
    reader.u32()?; // the list's version
    let count = reader.u32()?;
    let entries = (0..count)
        .map(|_| decode_list_entry(reader))
        .collect::<Result<_, _>>()?;
    Ok(Record::EndpointList { kind, entries })
}

fn decode_list_entry(reader: &mut Reader<'_>) -> Result<ListEntry, MalformedFrame> {
    let zone = reader.u8()?;
    let started_at = reader.f64()?;
    let backend = reader.u32()?;
    let cell = reader.u16()?;
    reader.u8()?; // kind of machine
    Ok(ListEntry {
        zone,
        started_at,
        backend,
        cell,
        availability: reader.u8()?,
        weight: reader.f32()?,
    })
}

fn decode_request(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    let id = reader.u32()?;
    let gateway_count = reader.f32()?;
    reader.f32()?; // number of the first gateway of the set
    Ok(Record::Request(IncomingRequest {
        id,
        gateway_count,
        customer: reader.u64()?,
        deadline: reader.f64()?,
        plan: reader.u32()?,
        units: reader.f32()?,
        class: reader.u8()?,
        is_retry: reader.u8()? & RETRY_FLAG != 0,
    }))
}

fn decode_stream_started(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    let request = reader.u32()?;
    reader.take(8 + 2 + 4)?; // elapsed time, attempt, backend
    Ok(Record::StreamStarted { request })
}

fn decode_attempt_completed(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    Ok(Record::AttemptCompleted(CompletedAttempt {
        request: reader.u32()?,
        attempt: reader.u16()?,
        backend: reader.u32()?,
        outcome: reader.u16()?,
        elapsed: reader.f64()?,
        request_closed: reader.u8()? != 0,
        quota_usage: reader.u16()?,
        actual_units: reader.u16()?,
        metrics: reader.metrics()?,
    }))
}

fn decode_health_check_completed(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    Ok(Record::HealthCheckCompleted(CompletedHealthCheck {
        elapsed: reader.f64()?,
        backend: reader.u32()?,
        outcome: reader.u16()?,
        metrics: reader.metrics()?,
    }))
}

fn decode_peer_message(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    reader.u32()?; // the sender
    let length = reader.u16()? as usize;
    reader.take(length)?;
    Ok(Record::Unused)
}

fn decode_counter_reply(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    reader.take(8 + 8 + 4 + 2)?;
    Ok(Record::Unused)
}

/// A frame of action records under construction.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn start(&mut self, code: u16, instance: u32) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        self.body.extend(instance.to_le_bytes());
        &mut self.body
    }

    /// Start an attempt; a timeout of 0 means none.
    pub(crate) fn send(&mut self, instance: u32, request: u32, backend: u32, timeout: f64) {
        let body = self.start(action_code::SEND, instance);
        body.extend(request.to_le_bytes());
        body.extend(backend.to_le_bytes());
        body.extend(timeout.to_le_bytes());
    }

    /// Reject a request; a `retry_after` of 0 means none.
    pub(crate) fn reject(&mut self, instance: u32, request: u32, retry_after: f64) {
        let body = self.start(action_code::REJECT, instance);
        body.extend(request.to_le_bytes());
        body.extend(retry_after.to_le_bytes());
    }

    /// Fail a request.
    pub(crate) fn fail(&mut self, instance: u32, request: u32) {
        self.start(action_code::FAIL, instance)
            .extend(request.to_le_bytes());
    }

    /// Cancel an attempt.
    pub(crate) fn cancel_attempt(&mut self, instance: u32, request: u32, attempt: u16) {
        let body = self.start(action_code::CANCEL_ATTEMPT, instance);
        body.extend(request.to_le_bytes());
        body.extend(attempt.to_le_bytes());
    }

    /// Set a timer.
    pub(crate) fn set_timer(&mut self, instance: u32, at: f64, timer: u64) {
        let body = self.start(action_code::SET_TIMER, instance);
        body.extend(at.to_le_bytes());
        body.extend(timer.to_le_bytes());
    }

    /// Check the health of a backend.
    pub(crate) fn check_health(&mut self, instance: u32, backend: u32) {
        self.start(action_code::CHECK_HEALTH, instance)
            .extend(backend.to_le_bytes());
    }

    /// Close the idle connections to a backend.
    pub(crate) fn close_idle_connections(&mut self, instance: u32, backend: u32) {
        self.start(action_code::CLOSE_IDLE_CONNECTIONS, instance)
            .extend(backend.to_le_bytes());
    }

    /// Subscribe to the endpoint list.
    pub(crate) fn subscribe(&mut self, instance: u32) {
        self.start(action_code::SUBSCRIBE, instance).push(1);
    }

    /// Poll the endpoint list.
    pub(crate) fn fetch_list(&mut self, instance: u32) {
        self.start(action_code::FETCH_LIST, instance);
    }

    /// Log a line.
    pub(crate) fn log(&mut self, instance: u32, text: &str) {
        self.text(action_code::LOG, instance, text);
    }

    /// Report that the instance failed and is gone.
    pub(crate) fn instance_failed(&mut self, instance: u32, text: &str) {
        self.text(action_code::INSTANCE_FAILED, instance, text);
    }

    /// A record of text, truncated at a character boundary to what its length field holds.
    fn text(&mut self, code: u16, instance: u32, text: &str) {
        let mut length = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        let body = self.start(code, instance);
        body.extend((length as u16).to_le_bytes());
        body.extend(&text.as_bytes()[..length]);
    }

    /// The whole frame, header included.
    pub(crate) fn into_frame(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend((4 + self.body.len() as u32).to_le_bytes());
        frame.extend(self.count.to_le_bytes());
        frame.extend(self.body);
        frame
    }
}

#[cfg(test)]
mod tests;
