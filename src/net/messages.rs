//! The messages that the parts of the gateway exchange: the client's request, what is forwarded to a backend, the result of
//! an attempt, and the final answer.

use crate::net::runtime::budget::Budget;
use cometspool::{ClassId, CustomerId, LoadReport, Millis, Outcome, PlanId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// Longest body of a request, and longest body of a response that is read without reserving memory for it, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;

/// The id of a request, the same on every attempt.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the sender waits for the response, in seconds.
pub(super) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// The key by which backends recognize a repeated request.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A client's request, read completely and validated.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    /// When its last byte arrived, on the gateway's clock.
    pub received_at: Millis,
    /// Its time budget.
    pub budget: Budget,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Its class.
    pub class: ClassId,
    /// Units that it takes from the customer's quota.
    pub units: f64,
    /// Gateways that serve the customer; a whole number.
    pub gateway_count: f64,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// What is forwarded to a backend.
    pub upstream_request: UpstreamRequest,
}

/// The connection of the client that waits for an answer.
pub(super) trait ClientConnection: std::fmt::Debug {
    /// Whether the client has disconnected, as far as the system knows now. A request forwarded after that would be work
    /// that nobody waits for.
    fn is_disconnected(&self) -> bool;
}

/// What is forwarded to a backend, the same on every attempt.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    /// The client that waits for the answer.
    pub client: Rc<dyn ClientConnection>,
    /// The request id.
    pub id: Rc<str>,
    /// The request id as the client sent it.
    pub id_value: HeaderValue,
    /// The `Host` that the client sent.
    pub host: HeaderValue,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The idempotency key, if the class of the request requires one.
    pub key: Option<HeaderValue>,
    /// The content type, if the client sent a valid one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl UpstreamRequest {
    /// The HTTP request for a backend, with `timeout_seconds` as the time that it has.
    pub(super) fn request(&self, timeout_seconds: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(REQUEST_ID, self.id_value.clone());
        if let Ok(timeout) = HeaderValue::try_from(timeout_seconds) {
            headers.insert(REQUEST_TIMEOUT, timeout);
        }
        if let Some(key) = &self.key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(content_type) = &self.content_type {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        request
    }
}

/// How an attempt ended, and what its response reported.
#[derive(Clone, Debug)]
pub(super) struct AttemptResult {
    /// What the policy engine learns of the attempt.
    pub outcome: Outcome,
    /// The complete body of a successful response; empty otherwise.
    pub body: Bytes,
    /// The customer's usage as a fraction of its rate limit, if the response reports it.
    pub quota_usage: Option<f64>,
    /// The units that the request really took, if the response reports them.
    pub actual_units: Option<f64>,
    /// The backend's load report; empty if the response has none.
    pub load_report: LoadReport,
    /// Established connections that broke under the attempt.
    pub broken_connections: u32,
}

impl AttemptResult {
    /// The result of an attempt without a response.
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

/// The final answer of a request, of which each request gets exactly one.
#[derive(Debug)]
pub(super) enum Answer {
    /// A backend's response body; 200.
    Served(Bytes),
    /// Not served, and a retry is harmless; 429, with the milliseconds to wait before one, if known.
    Rejected(Option<Millis>),
    /// Not served, and a retry may run the request a second time; 502.
    Failed,
}
