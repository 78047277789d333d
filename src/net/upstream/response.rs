//! The responses of backends, read within limits of memory, and what their status and headers say.
//!
//! A response with a length or in chunks is complete with its last byte. One without either ends
//! with its connection (RFC 9112, section 6.3): it is complete if that is closed in order, and
//! truncated if it is reset.

use crate::net::messages::{AttemptResult, MAX_BODY_BYTES};
use cometspool::settings::{self, Metric, ParsedSettings};
use cometspool::{LoadReport, Outcome};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Longest body that is accepted, in bytes. Some backends send far more than the agreed 64 KiB, and
/// their responses are worth forwarding; a longer one than this counts as no response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// One part in this many of the memory may be taken by long responses together, from the first byte
/// read to the last one written.
const MEMORY_DIVISOR: usize = 4;
/// A reported quota usage above this, in percent, is ignored.
const MAX_USAGE_PERCENT: f64 = 100_000.0;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Why a response could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseError {
    /// Its status is informational, such as 101, after which the connection speaks another
    /// protocol.
    #[error("informational status {0}")]
    Informational(StatusCode),
    /// Its body is longer than [`MAX_RESPONSE_BYTES`].
    #[error("the body is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// Other long responses take the memory that its body needs.
    #[error("no memory for the body")]
    OutOfMemory,
    /// The connection broke before the end of the body.
    #[error("the connection broke before the end of the body")]
    Truncated(#[from] hyper::Error),
}

/// The memory that long responses may still take, in bytes.
#[derive(Clone)]
struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(AtomicUsize::new(bytes)))
    }

    /// An empty reservation.
    fn reservation(&self) -> Reservation {
        Reservation {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

/// Memory reserved for one long response; dropped, it returns to the budget.
struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Reservation {
    /// Reserves `bytes` in all.
    fn grow_to(&mut self, bytes: usize) -> Result<(), ResponseError> {
        let missing = bytes.saturating_sub(self.bytes);
        let available = &self.budget.0;
        let remaining = available
            .load(Ordering::Relaxed)
            .checked_sub(missing)
            .ok_or(ResponseError::OutOfMemory)?;
        available.store(remaining, Ordering::Relaxed);
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// A long body with the memory reserved for it, which is returned with the last reference to the
/// body.
struct ReservedBody {
    body: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A complete response.
pub(crate) struct ReceivedResponse {
    /// What it says.
    pub result: AttemptResult,
    /// Whether its end shows in itself, so that the connection may carry another request.
    pub is_delimited: bool,
}

/// Reads the responses of backends within the memory for them.
pub(crate) struct ResponseReader {
    /// The names of the metrics in load reports.
    metric_names: Vec<String>,
    /// What each of these metrics is.
    metrics: Vec<Metric>,
    /// Most units that a request may have by the settings.
    max_units: f64,
    budget: MemoryBudget,
}

impl ResponseReader {
    /// A reader by these settings for a gateway with `memory` bytes in all.
    pub(crate) fn new(settings: &ParsedSettings, memory: usize) -> ResponseReader {
        ResponseReader {
            metric_names: settings.names.metrics.clone(),
            metrics: settings.report_metrics.clone(),
            max_units: settings.settings.max_units,
            budget: MemoryBudget::new(memory / MEMORY_DIVISOR),
        }
    }

    /// Reads a response to its end.
    ///
    /// # Errors
    ///
    /// If the response is informational, is too long, or its connection breaks before its end; see
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
        let body = read_body(&self.budget, body).await?;
        Ok(ReceivedResponse {
            result: self.interpret(head.status, headers, body),
            is_delimited,
        })
    }

    /// What the status and the headers of a complete response say. Only a good response keeps its
    /// body.
    fn interpret(&self, status: StatusCode, headers: &HeaderMap, body: Bytes) -> AttemptResult {
        let outcome = outcome_of(status, headers);
        let body = if outcome == Outcome::Ok {
            body
        } else {
            Bytes::new()
        };
        let usage_percent = first_number(headers, &API_USAGE, MAX_USAGE_PERCENT);
        let load_report = header_text(headers, &SERVER_LOAD)
            .map(|text| self.parse_load_report(text))
            .unwrap_or_default();
        AttemptResult {
            outcome,
            body,
            quota_usage: usage_percent.map(|percent| percent / 100.0),
            actual_units: first_number(headers, &API_CHARGE, self.max_units),
            load_report,
            broken_connections: 0,
        }
    }

    /// Parses a load report of the form `name=value, …`. Unknown names and values that are no
    /// numbers are skipped.
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

/// Reads a body to its end, within the limits for one response and for all.
async fn read_body(budget: &MemoryBudget, body: Incoming) -> Result<Bytes, ResponseError> {
    match body.size_hint().exact() {
        Some(length) if length > MAX_RESPONSE_BYTES as u64 => Err(ResponseError::TooLong),
        Some(length) if length <= MAX_BODY_BYTES as u64 => Ok(body.collect().await?.to_bytes()),
        length => read_long_body(budget, body, length).await,
    }
}

/// Reads a body that is long or of unknown length, with memory reserved as it grows.
async fn read_long_body(
    budget: &MemoryBudget,
    mut body: Incoming,
    length: Option<u64>,
) -> Result<Bytes, ResponseError> {
    let mut reservation = budget.reservation();
    // A known length is reserved at once, so that a body that has been begun can be read to its
    // end.
    reservation.grow_to(length.unwrap_or(0) as usize)?;
    let mut received = Vec::with_capacity(reservation.bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let grown = received.len() + data.len();
        if grown > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLong);
        }
        if length.is_none() && grown > MAX_BODY_BYTES {
            reservation.grow_to(grown.next_power_of_two())?;
        }
        received.extend_from_slice(&data);
    }
    if reservation.bytes == 0 {
        return Ok(Bytes::from(received));
    }
    Ok(Bytes::from_owner(ReservedBody {
        body: received,
        _reservation: reservation,
    }))
}

/// The outcome by the status: 200 is good, and 503 or 504 with `not-started: 1` says that the
/// request never ran.
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

/// The first value of a header, if it is text, without the space around it.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// The first value of a header that is a number from 0 to `max`. Other values are skipped; none
/// makes a response bad.
fn first_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Option<f64> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .find(|number| number.is_finite() && (0.0..=max).contains(number))
}

#[cfg(test)]
mod tests;
