//! What a backend's answer proves and tells, read within bounds of memory.
//!
//! An answer that tells its length, or comes in chunks, is whole with its last byte. One without either ends with its
//! connection (RFC 9112, 6.3): it is whole where that is closed in order, and cut where it is reset.

use crate::net::messages::{AttemptResult, MAX_BODY_BYTES};
use cometspool::settings::{self, Metric, ParsedSettings};
use cometspool::{LoadReport, Outcome};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Longest body of an answer at all. Backends are met that send far more than the agreed 64 KiB, and their good
/// answers are worth passing on; one that is said to be longer than this is none.
const LONGEST_ANSWER: usize = 1 << 20;
/// Part of the memory that long answers may take together, from the first byte read to the last one written.
const BUDGET_PART: usize = 4;
/// A use over this many percent of a rate is no figure to go by.
const MOST_USAGE: f64 = 100_000.0;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// The memory that long answers may still take.
#[derive(Clone)]
struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Nothing set aside yet.
    fn reservation(&self) -> Reservation {
        Reservation {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

/// Memory set aside for one long answer, given back when it is dropped.
struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Reservation {
    /// Sets aside `bytes` in all; whether there was memory for them.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let available = &self.budget.0;
        let Some(left) = available.load(Ordering::Relaxed).checked_sub(missing) else {
            return false;
        };
        available.store(left, Ordering::Relaxed);
        self.bytes += missing;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// A long answer with the memory set aside for it, which is given back with the last reference to it.
struct ReservedBody {
    body: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// An answer that came whole.
pub(crate) struct ReceivedResponse {
    /// What it proves and tells.
    pub result: AttemptResult,
    /// Whether its end shows in itself, so that its connection may carry another request.
    pub delimited: bool,
}

/// How answers are read.
pub(crate) struct ResponseReader {
    /// Names of their values.
    pub names: Vec<String>,
    /// What the values are.
    pub metrics: Vec<Metric>,
    /// Most units of a request, by the settings.
    pub max_units: f64,
    budget: MemoryBudget,
}

impl ResponseReader {
    /// Reads as the settings tell, within `memory` bytes for all.
    pub(crate) fn new(told: &ParsedSettings, memory: usize) -> ResponseReader {
        ResponseReader {
            names: told.names.metrics.clone(),
            metrics: told.report_metrics.clone(),
            max_units: told.settings.max_units,
            budget: MemoryBudget::new(memory / BUDGET_PART),
        }
    }

    fn report(&self, text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in text
            .split(',')
            .filter_map(|field| field.trim().split_once('='))
        {
            let place = self.names.iter().position(|known| known == name);
            if let (Some(place), Ok(value)) = (place, value.parse::<f32>()) {
                settings::set_metric(&mut report, self.metrics[place], value);
            }
        }
        report
    }
}

/// Reads a whole answer; `None` if its connection breaks before the end, or if it is longer than there is memory for. After
/// 101 the connection speaks something else: that is no answer.
pub(crate) async fn read(
    reading: &ResponseReader,
    answer: Response<Incoming>,
) -> Option<ReceivedResponse> {
    let (head, body) = answer.into_parts();
    if head.status.is_informational() {
        return None;
    }
    let delimited =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    let body = read_body(&reading.budget, body).await?;
    let outcome = outcome(head.status, &head.headers);
    let ended = AttemptResult {
        outcome,
        body: if outcome == Outcome::Ok {
            body
        } else {
            Bytes::new()
        },
        quota_usage: number(&head.headers, &API_USAGE, MOST_USAGE).map(|percent| percent / 100.0),
        actual_units: number(&head.headers, &API_CHARGE, reading.max_units),
        load_report: text(&head.headers, &SERVER_LOAD)
            .map(|text| reading.report(text))
            .unwrap_or_default(),
        broken_connections: 0,
    };
    Some(ReceivedResponse {
        result: ended,
        delimited,
    })
}

/// Reads a body to its end, within the bounds on one answer and on all.
async fn read_body(budget: &MemoryBudget, body: Incoming) -> Option<Bytes> {
    match body.size_hint().exact() {
        Some(length) if length > LONGEST_ANSWER as u64 => None,
        Some(length) if length <= MAX_BODY_BYTES as u64 => {
            Some(body.collect().await.ok()?.to_bytes())
        }
        length => read_long_body(budget, body, length).await,
    }
}

/// Reads a body that is long or whose length is not known before its end, with memory set aside as it grows.
async fn read_long_body(
    budget: &MemoryBudget,
    mut body: Incoming,
    length: Option<u64>,
) -> Option<Bytes> {
    let mut reservation = budget.reservation();
    // A known length is set aside at once: what has been begun can be finished.
    if !reservation.grow_to(length.unwrap_or(0) as usize) {
        return None;
    }
    let mut held = Vec::with_capacity(reservation.bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let grown = held.len() + data.len();
        let needed = if grown > MAX_BODY_BYTES {
            grown.next_power_of_two()
        } else {
            0
        };
        let fits = grown <= LONGEST_ANSWER && (length.is_some() || reservation.grow_to(needed));
        if !fits {
            return None;
        }
        held.extend_from_slice(&data);
    }
    Some(if reservation.bytes == 0 {
        Bytes::from(held)
    } else {
        Bytes::from_owner(ReservedBody {
            body: held,
            _reservation: reservation,
        })
    })
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unavailable = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    match status {
        StatusCode::OK => Outcome::Ok,
        _ if unavailable && text(headers, &NOT_STARTED) == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// The first figure under this name that can be read and makes sense. One that does not spoils no answer.
fn number(headers: &HeaderMap, name: &HeaderName, most: f64) -> Option<f64> {
    let mut values = headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    values.find(|number: &f64| number.is_finite() && (0.0..=most).contains(number))
}

#[cfg(test)]
mod tests;
