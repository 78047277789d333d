//! What passes through a front door, as its parts hand it to each other: a request, what goes on to a backend, how an
//! attempt ended, the one final answer.

use crate::net::runtime::budget::Budget;
use cometspool::{ClassId, CustomerId, LoadReport, Millis, Outcome, PlanId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// Longest body of a request, and of an answer that is taken in without asking for room.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes that a connection buffers at most; a longer head is answered 431.
pub(super) const CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// The id of a request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long whoever sends it waits for the answer, in seconds.
pub(super) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// The key by which repeats are known.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A client's request, read whole and found well formed.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    /// When its last byte came.
    pub received_at: Millis,
    /// Its time.
    pub budget: Budget,
    /// Its owner.
    pub customer: CustomerId,
    /// Its owner's plan.
    pub plan: PlanId,
    /// Its class.
    pub class: ClassId,
    /// Units that it takes.
    pub units: f64,
    /// Front doors in its owner's set.
    pub gateway_count: f64,
    /// Whether the client marks it as a further try.
    pub is_retry: bool,
    /// What goes on to a backend.
    pub upstream_request: UpstreamRequest,
}

/// Whoever waits for an answer.
pub(super) trait ClientConnection: std::fmt::Debug {
    /// Whether it has left, as far as the system knows by now: what is sent on after that works for nobody.
    fn is_disconnected(&self) -> bool;
}

/// What goes on to a backend, the same with every attempt.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    /// Who asked.
    pub client: Rc<dyn ClientConnection>,
    /// The id on the wire.
    pub id: Rc<str>,
    /// The id as it came.
    pub id_value: HeaderValue,
    /// The host that the client named.
    pub host: HeaderValue,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The key of a keyed request.
    pub key: Option<HeaderValue>,
    /// The content type, if the client named one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl UpstreamRequest {
    /// The request as it is written to a backend that is told what time is left.
    pub(super) fn request(&self, told: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(REQUEST_ID, self.id_value.clone());
        if let Ok(told) = HeaderValue::try_from(told) {
            headers.insert(REQUEST_TIMEOUT, told);
        }
        if let Some(key) = &self.key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(kind) = &self.content_type {
            headers.insert(hyper::header::CONTENT_TYPE, kind.clone());
        }
        request
    }
}

/// How an attempt ended and what its answer told.
#[derive(Clone, Debug)]
pub(super) struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The whole body of a good answer.
    pub body: Bytes,
    /// The customer's use, as a part of its rate.
    pub quota_usage: Option<f64>,
    /// The true units.
    pub actual_units: Option<f64>,
    /// The backend's load.
    pub load_report: LoadReport,
    /// Connections that had come up and broke under it.
    pub broken_connections: u32,
}

impl AttemptResult {
    /// An end without an answer.
    pub(super) fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: Bytes::new(),
            quota_usage: None,
            actual_units: None,
            load_report: LoadReport::default(),
            broken_connections: 0,
        }
    }
}

/// The one final answer of a request.
#[derive(Debug)]
pub(super) enum Answer {
    /// A backend's answer.
    Served(Bytes),
    /// Trying again is harmless; when, if advised.
    Rejected(Option<Millis>),
    /// Nothing promised.
    Failed,
}
