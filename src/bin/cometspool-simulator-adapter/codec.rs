//! Codec for the simulator's wire format: length-prefixed frames of little-endian records without padding.
//!
//! The simulator sends event frames: the payload length in bytes (u32), the simulated time in ms (f64), then event
//! records. The adapter answers each of them with an action frame: the payload length in bytes (u32), the number of
//! action records (u32), then the action records. Every record starts with its record code (u16) and the number of the
//! policy instance that it addresses (u32).

use std::fmt;

/// Record codes of events, which the simulator sends.
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

/// Record codes of actions, which the adapter sends.
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

/// Bit mask of a request's flags: the client has sent the request before and retries it.
const RETRY_FLAG: u8 = 2;

/// Decoding error of a frame received from the simulator.
#[derive(Debug, PartialEq)]
pub(crate) struct MalformedFrame {
    /// Position in the frame's payload at which decoding stopped, bytes.
    pub offset: usize,
    /// Code of the malformed record; `None` if decoding failed before the code was read.
    pub code: Option<u16>,
    /// Description of the error for the log.
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

/// One backend of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListEntry {
    pub zone: u8,
    /// Simulated time of the backend's last start, ms; 0 if the backend started too long ago to be in slow start.
    pub started_at: f64,
    pub backend: u32,
    pub cell: u16,
    /// Availability code: 2 is ready, 1 is draining, any other value is removed.
    pub availability: u8,
    /// Capacity of the backend relative to the other backends.
    pub weight: f32,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IncomingRequest {
    pub id: u32,
    /// Number of gateways that the customer's requests are spread over.
    pub gateway_count: f32,
    pub customer: u64,
    /// Simulated time at which the client stops waiting, ms.
    pub deadline: f64,
    /// Index of the customer's plan in the settings.
    pub plan: u32,
    /// Quota units that the request takes.
    pub units: f32,
    /// Index of the request's class in the settings.
    pub class: u8,
    pub is_retry: bool,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletedAttempt {
    /// Id of the request that the attempt belongs to.
    pub request: u32,
    /// Number of the attempt within its request.
    pub attempt: u16,
    pub backend: u32,
    /// Outcome code, which `translate` maps to [`cometspool::Outcome`].
    pub outcome: u16,
    /// Time since the attempt was sent, ms.
    pub elapsed: f64,
    /// Whether the request already has its final response.
    pub request_closed: bool,
    /// The customer's usage in percent of its rate, plus 1; 0 if the response does not report the usage.
    pub quota_usage: u16,
    /// Quota units that the request actually took; 0 if the response does not report them.
    pub actual_units: u16,
    /// Values of the load report, in the order of the configured metrics.
    pub metrics: Vec<f32>,
}

/// Result of a health check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletedHealthCheck {
    /// Time since the health check was sent, ms.
    pub elapsed: f64,
    pub backend: u32,
    /// Outcome code, which `translate` maps to [`cometspool::Outcome`].
    pub outcome: u16,
    /// Values of the load report, in the order of the configured metrics.
    pub metrics: Vec<f32>,
}

/// Body of an event record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// Creates the policy instance.
    Create {
        /// Seed of the policy's random number generator.
        seed: u64,
        /// Settings of the policy, as lines of `key=value`.
        settings: String,
    },
    /// Removes the policy instance.
    Retire,
    EndpointList {
        /// Kind of list: 0 is changes, 1 is full, 2 is cached, any other value is a failed fetch.
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
    /// A message of a peer or a reply of the counter service. The policy uses neither.
    Unused,
}

/// An event record and the policy instance that it addresses.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AddressedRecord {
    /// Number that the simulator gave to the instance.
    pub instance: u32,
    pub record: Record,
}

/// A decoded event frame.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Batch {
    /// Simulated time of all records of the frame, ms.
    pub now: f64,
    /// Records in the order in which they have to be handled.
    pub records: Vec<AddressedRecord>,
}

/// Cursor that reads the fields of a payload in order.
struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// Code of the record that is being read, for error messages; `None` between two records.
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

/// Decodes the payload of an event frame.
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
    reader.u32()?; // version of the list, not used
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
    reader.u8()?; // machine type, not used
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
    reader.f32()?; // index of the customer's first gateway, not used
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
    reader.take(8 + 2 + 4)?; // elapsed time, attempt and backend, not used
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
    reader.u32()?; // instance that sent the message, not used
    let length = reader.u16()? as usize;
    reader.take(length)?;
    Ok(Record::Unused)
}

fn decode_counter_reply(reader: &mut Reader<'_>) -> Result<Record, MalformedFrame> {
    reader.take(8 + 8 + 4 + 2)?;
    Ok(Record::Unused)
}

/// Builder of an action frame.
#[derive(Default)]
pub(crate) struct Reply {
    /// Number of action records in `body`.
    count: u32,
    /// Encoded action records.
    body: Vec<u8>,
}

impl Reply {
    /// Appends the header of a record and returns the buffer for the record's fields.
    fn start(&mut self, code: u16, instance: u32) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        self.body.extend(instance.to_le_bytes());
        &mut self.body
    }

    /// Appends an action that sends an attempt. `timeout` is in ms; 0 means that the attempt has no timeout.
    pub(crate) fn send(&mut self, instance: u32, request: u32, backend: u32, timeout: f64) {
        let body = self.start(action_code::SEND, instance);
        body.extend(request.to_le_bytes());
        body.extend(backend.to_le_bytes());
        body.extend(timeout.to_le_bytes());
    }

    /// Appends an action that rejects a request. `retry_after` is in ms; 0 means that the client gets no Retry-After.
    pub(crate) fn reject(&mut self, instance: u32, request: u32, retry_after: f64) {
        let body = self.start(action_code::REJECT, instance);
        body.extend(request.to_le_bytes());
        body.extend(retry_after.to_le_bytes());
    }

    /// Appends an action that fails a request.
    pub(crate) fn fail(&mut self, instance: u32, request: u32) {
        self.start(action_code::FAIL, instance)
            .extend(request.to_le_bytes());
    }

    /// Appends an action that cancels an attempt, given by its number within the request.
    pub(crate) fn cancel_attempt(&mut self, instance: u32, request: u32, attempt: u16) {
        let body = self.start(action_code::CANCEL_ATTEMPT, instance);
        body.extend(request.to_le_bytes());
        body.extend(attempt.to_le_bytes());
    }

    /// Appends an action that sets a timer for the simulated time `at`, ms.
    pub(crate) fn set_timer(&mut self, instance: u32, at: f64, timer: u64) {
        let body = self.start(action_code::SET_TIMER, instance);
        body.extend(at.to_le_bytes());
        body.extend(timer.to_le_bytes());
    }

    /// Appends an action that sends a health check to a backend.
    pub(crate) fn check_health(&mut self, instance: u32, backend: u32) {
        self.start(action_code::CHECK_HEALTH, instance)
            .extend(backend.to_le_bytes());
    }

    /// Appends an action that closes the idle connections to a backend.
    pub(crate) fn close_idle_connections(&mut self, instance: u32, backend: u32) {
        self.start(action_code::CLOSE_IDLE_CONNECTIONS, instance)
            .extend(backend.to_le_bytes());
    }

    /// Appends an action that subscribes to changes of the endpoint list.
    pub(crate) fn subscribe(&mut self, instance: u32) {
        self.start(action_code::SUBSCRIBE, instance).push(1);
    }

    /// Appends an action that fetches the endpoint list once.
    pub(crate) fn fetch_list(&mut self, instance: u32) {
        self.start(action_code::FETCH_LIST, instance);
    }

    /// Appends an action that writes a line to the simulator's log.
    pub(crate) fn log(&mut self, instance: u32, text: &str) {
        self.text(action_code::LOG, instance, text);
    }

    /// Appends a report that the instance failed and was removed; `text` is the reason.
    pub(crate) fn instance_failed(&mut self, instance: u32, text: &str) {
        self.text(action_code::INSTANCE_FAILED, instance, text);
    }

    /// Appends a record with a text. The length field has 16 bits, so a longer text is truncated to at most 65535 bytes
    /// at a character boundary.
    fn text(&mut self, code: u16, instance: u32, text: &str) {
        let mut length = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        let body = self.start(code, instance);
        body.extend((length as u16).to_le_bytes());
        body.extend(&text.as_bytes()[..length]);
    }

    /// Returns the encoded frame, including the payload length and the record count.
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
