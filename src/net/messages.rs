//! The messages that the parts of the gateway exchange: the client's request, the request forwarded to a backend, the
//! result of an attempt, and the final answer.

use crate::net::runtime::budget::Budget;
use cometspool::{ClassId, CustomerId, LoadReport, Millis, Outcome, PlanId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// Maximum length of a request body, and maximum length of a response body that is read without reserving memory for
/// it, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Header with the request id, which is the same on every attempt.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Header that tells how long the sender waits for the response, in seconds.
pub(super) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// Header with the idempotency key, by which backends recognize a repeated request.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A client's request, read completely and validated.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    /// When the last byte of the request arrived, in milliseconds on the gateway's clock.
    pub received_at: Millis,
    /// The time that the request has until its client stops waiting.
    pub budget: Budget,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The class of the request.
    pub class: ClassId,
    /// Units that the request takes from the customer's quota, as its terms header declares them.
    pub units: f64,
    /// Number of gateways that serve the customer; an integer.
    pub gateway_count: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The request as it is forwarded to a backend.
    pub upstream_request: UpstreamRequest,
}

/// The connection of a client that waits for an answer.
pub(super) trait ClientConnection: std::fmt::Debug {
    /// Whether the client has disconnected, as far as the operating system knows now, or sends so much behind its
    /// request that this cannot be told. A request forwarded after the disconnect would be work that nobody waits for.
    fn is_disconnected(&self) -> bool;
}

/// The request as it is forwarded to a backend, the same on every attempt.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    /// The client that waits for the answer.
    pub client: Rc<dyn ClientConnection>,
    /// The request id as text.
    pub id: Rc<str>,
    /// The request id as a header value, as the client sent it.
    pub id_value: HeaderValue,
    /// The `Host` header that the client sent.
    pub host: HeaderValue,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The idempotency key, if the class of the request requires one.
    pub key: Option<HeaderValue>,
    /// The content type, if the client sent a valid one.
    pub content_type: Option<HeaderValue>,
    /// The complete body; empty if the request has none.
    pub body: Bytes,
}

impl UpstreamRequest {
    /// Builds the HTTP request for a backend, with `timeout_seconds` in the [`REQUEST_TIMEOUT`] header.
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

/// The outcome of an attempt and the data that the response reported.
#[derive(Clone, Debug)]
pub(super) struct AttemptResult {
    /// The outcome that is reported to the policy engine.
    pub outcome: Outcome,
    /// The complete body of a successful response; empty otherwise.
    pub body: Bytes,
    /// The customer's usage as a fraction of its rate limit, if the response reports it.
    pub quota_usage: Option<f64>,
    /// The units that the request actually took from the quota, if the response reports them.
    pub actual_units: Option<f64>,
    /// The load report of the backend; empty if the response has none.
    pub load_report: LoadReport,
    /// Number of established connections that failed during the attempt.
    pub broken_connections: u32,
}

impl AttemptResult {
    /// The result of an attempt that got no response.
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

/// The final answer to a request. Each request gets exactly one.
#[derive(Debug)]
pub(super) enum Answer {
    /// Status 200 with the response body of a backend.
    Served(Bytes),
    /// Status 429: the request was not served, so a retry is safe. Holds the time to wait before a retry, in
    /// milliseconds, if known.
    Rejected(Option<Millis>),
    /// Status 502: the request failed and may have run, so a retry may run it a second time.
    Failed,
}
