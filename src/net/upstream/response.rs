//! Reads the responses of backends within memory limits and interprets their status and headers.
//!
//! A response with a `Content-Length` or in chunks is complete with its last byte. A response with
//! neither ends when its connection closes (RFC 9112, section 6.3): it is complete if the connection
//! is closed in order, and truncated if the connection is reset.

use crate::net::messages::{AttemptResult, MAX_BODY_BYTES};
use crate::net::runtime::capacity::{MemoryShares, MAX_UNRESERVED_BYTES};
use crate::net::runtime::memory::{MemoryBudget, OutOfMemory, Reservation, ReservedBytes};
use cometspool::settings::{self, Metric, ParsedSettings};
use cometspool::{LoadReport, Outcome};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};

/// The longest response body that is accepted, in bytes. Some backends send far more than the agreed
/// 64 KiB, and their responses are still worth forwarding. A response with a longer body counts as
/// no response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The highest reported quota usage that is accepted, in percent; a higher value is ignored.
const MAX_USAGE_PERCENT: f64 = 100_000.0;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Why a response could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseError {
    /// The status is informational, such as 101, after which the connection switches to another
    /// protocol.
    #[error("response has the informational status {0}")]
    Informational(StatusCode),
    /// The body is longer than [`MAX_RESPONSE_BYTES`].
    #[error("response body exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The memory for long responses does not suffice for the body.
    #[error("not enough memory for the response body")]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection broke before the end of the body.
    #[error("connection broke before the end of the response body")]
    Truncated(#[from] hyper::Error),
}

/// A complete response.
pub(crate) struct ReceivedResponse {
    /// The result of the attempt, as the response states it.
    pub result: AttemptResult,
    /// Whether the response has a `Content-Length` or is chunked, so that its connection stays open
    /// after it and may carry another request.
    pub is_delimited: bool,
}

/// Reads the responses of backends within the memory budget.
pub(crate) struct ResponseReader {
    /// The names of the metrics in load reports.
    metric_names: Vec<String>,
    /// The metric for each of these names, in the same order.
    metrics: Vec<Metric>,
    /// The highest number of units that a request may be charged by the settings.
    max_units: f64,
    memory: ResponseMemory,
}

/// The memory of responses, from before they are read until they are written to their clients.
struct ResponseMemory {
    /// For responses up to [`MAX_BODY_BYTES`].
    agreed: MemoryBudget,
    /// For longer ones.
    long: MemoryBudget,
}

impl ResponseMemory {
    /// Reserves memory for a response of `length` bytes that is longer than [`MAX_UNRESERVED_BYTES`].
    ///
    /// A response up to [`MAX_BODY_BYTES`] waits for memory and holds none meanwhile. A longer one fails if there is not
    /// enough now, so that responses that do not end hold up no other.
    async fn reserve(&self, length: usize) -> Result<Reservation, OutOfMemory> {
        if length <= MAX_BODY_BYTES {
            self.agreed.reserve(length).await
        } else {
            self.long.try_reserve(length)
        }
    }
}

impl ResponseReader {
    /// Creates a reader with these settings for a gateway whose memory limit is `memory_bytes`.
    pub(crate) fn new(settings: &ParsedSettings, memory_bytes: usize) -> ResponseReader {
        let shares = MemoryShares::of(memory_bytes);
        ResponseReader {
            metric_names: settings.names.metrics.clone(),
            metrics: settings.report_metrics.clone(),
            max_units: settings.settings.max_units,
            memory: ResponseMemory {
                agreed: MemoryBudget::new(shares.responses),
                long: MemoryBudget::new(shares.long_responses),
            },
        }
    }

    /// The memory of long responses, from which that of their heads is reserved as well.
    pub(crate) fn long_response_budget(&self) -> MemoryBudget {
        self.memory.long.clone()
    }

    /// Reads a response to its end.
    ///
    /// # Errors
    ///
    /// If the response is informational, too long for its limits or truncated; see
    /// [`ResponseError`].
    pub(crate) async fn read(
        &self,
        response: Response<Incoming>,
    ) -> Result<ReceivedResponse, ResponseError> {
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(ResponseError::Informational(head.status));
        }
        let headers = &head.headers;
        let is_delimited =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let mut result = self.interpret(head.status, headers);
        // The headers refer to the read buffer, which must not be held while the body is read.
        drop(head);
        let body = read_body(&self.memory, body).await?;
        // The body is kept only if the response is successful.
        if result.outcome == Outcome::Ok {
            result.body = body;
        }
        Ok(ReceivedResponse {
            result,
            is_delimited,
        })
    }

    /// Interprets the status and the headers of a response.
    fn interpret(&self, status: StatusCode, headers: &HeaderMap) -> AttemptResult {
        let outcome = outcome_of(status, headers);
        let usage_percent = first_number(headers, &API_USAGE, MAX_USAGE_PERCENT);
        let load_report = header_text(headers, &SERVER_LOAD)
            .map(|text| self.parse_load_report(text))
            .unwrap_or_default();
        AttemptResult {
            outcome,
            body: Bytes::new(),
            quota_usage: usage_percent.map(|percent| percent / 100.0),
            actual_units: first_number(headers, &API_CHARGE, self.max_units),
            load_report,
            broken_connections: 0,
        }
    }

    /// Parses a load report of the form `name=value, …`. Fields with an unknown name or a value that
    /// is not a number are skipped.
    fn parse_load_report(&self, text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        for field in text.split(',') {
            let Some((name, value)) = field.trim().split_once('=') else {
                continue;
            };
            let index = self.metric_names.iter().position(|known| known == name);
            if let (Some(index), Ok(value)) = (index, value.parse::<f32>()) {
                settings::set_metric(&mut report, self.metrics[index], value);
            }
        }
        report
    }
}

/// Reads a body to its end, within the limit for one response and the memory of all responses.
///
/// The body is copied piece by piece: each piece that the HTTP library returns refers to the whole read buffer that it
/// arrived in, so that the pieces of a body that arrives slowly would hold far more memory than the body.
async fn read_body(memory: &ResponseMemory, mut body: Incoming) -> Result<Bytes, ResponseError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_RESPONSE_BYTES as u64) {
        return Err(ResponseError::TooLong);
    }
    let mut received = ReservedBuffer::default();
    // If the length is known, all memory is reserved up front, so that reading cannot fail half-way for lack of memory.
    received
        .grow_to(memory, length.unwrap_or(0) as usize)
        .await?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        received.append(memory, &data).await?;
    }
    Ok(received.into_bytes())
}

/// A body that is being read, with the memory that is reserved for its whole capacity.
#[derive(Default)]
struct ReservedBuffer {
    bytes: Vec<u8>,
    /// `None` while the capacity is at most [`MAX_UNRESERVED_BYTES`].
    reservation: Option<Reservation>,
}

impl ReservedBuffer {
    /// Appends a piece of the body. Memory is reserved before the buffer grows.
    async fn append(&mut self, memory: &ResponseMemory, data: &[u8]) -> Result<(), ResponseError> {
        let length = self.bytes.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLong);
        }
        if length > self.bytes.capacity() {
            self.grow_to(memory, next_capacity(length)).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Grows the capacity. The old and the new buffer are reserved together until the old one has been copied.
    async fn grow_to(
        &mut self,
        memory: &ResponseMemory,
        capacity: usize,
    ) -> Result<(), OutOfMemory> {
        let reservation = if capacity > MAX_UNRESERVED_BYTES {
            Some(memory.reserve(capacity).await?)
        } else {
            None
        };
        let mut grown = Vec::with_capacity(capacity);
        grown.append(&mut self.bytes);
        self.bytes = grown;
        self.reservation = reservation;
        Ok(())
    }

    /// The body with the memory that it takes; the rest is returned.
    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        let Some(mut reservation) = self.reservation else {
            return Bytes::from(self.bytes);
        };
        reservation.shrink_to(self.bytes.len());
        Bytes::from_owner(ReservedBytes::new(self.bytes, reservation))
    }
}

/// The capacity of the buffer for a body of unknown length of which `length` bytes have arrived. A body up to
/// [`MAX_BODY_BYTES`] gets all of that at once: it waits for memory only while it holds none.
fn next_capacity(length: usize) -> usize {
    if length <= MAX_UNRESERVED_BYTES {
        MAX_UNRESERVED_BYTES
    } else if length <= MAX_BODY_BYTES {
        MAX_BODY_BYTES
    } else {
        length.next_power_of_two()
    }
}

/// Derives the outcome from the status: 200 is a success, and 503 or 504 with `not-started: 1` means
/// that the backend rejected the request without running it. Anything else is an error.
fn outcome_of(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_unavailable = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    match status {
        StatusCode::OK => Outcome::Ok,
        _ if is_unavailable && header_text(headers, &NOT_STARTED) == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Returns the first value of a header without surrounding whitespace, if the value is text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// Returns the first value of a header that is a number from 0 to `max`. Other values are skipped
/// and do not invalidate the response.
fn first_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Option<f64> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .find(|number| number.is_finite() && (0.0..=max).contains(number))
}

#[cfg(test)]
mod tests;
