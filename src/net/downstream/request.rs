//! Parsing and validation of client requests, before they are submitted to the policy engine.
//!
//! Validation is strict: only requests that a client of this service would send are forwarded. Any other request is
//! answered with the status of its [`RequestError`].

use crate::net::messages::{
    ClientConnection, IncomingRequest, UpstreamRequest, IDEMPOTENCY_KEY, REQUEST_ID,
    REQUEST_TIMEOUT,
};
use crate::net::runtime::budget::Budget;
use crate::net::runtime::context::RuntimeContext;
use crate::net::runtime::memory::OutOfMemory;
use cometspool::settings::normalize_name;
use cometspool::{ClassId, CustomerId, Idempotency, Millis, PlanId, Settings};
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, COOKIE, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use std::rc::Rc;

/// Exclusive upper bound of customer numbers.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
/// Number of hexadecimal digits of a customer number in the cookie.
const CUSTOMER_HEX_DIGITS: usize = 16;
/// Maximum length of a request id and of an idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 128;
/// Fraction by which the units of a request may exceed the maximum of the settings, so that rounding does not reject a
/// request with exactly the maximum.
const UNITS_TOLERANCE: f64 = 1e-6;

/// Header with the class of the request, which the first segment of the path repeats.
const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
/// Header with the customer's plan.
const API_PLAN: HeaderName = HeaderName::from_static("api-plan");
/// Header with the units that the request takes from the customer's quota, and the gateways that serve the customer.
/// See [`QuotaTerms`].
const API_TERMS: HeaderName = HeaderName::from_static("api-terms");
/// Header that marks a retry by the client with the value `1`.
const CLIENT_RETRY: HeaderName = HeaderName::from_static("client-retry");

/// Reasons why a request is answered without being submitted. The message is sent to the client as the response body.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// A header is missing, repeated or malformed; holds its name.
    #[error("{0} is missing, repeated or cannot be read")]
    InvalidHeader(HeaderName),
    /// The settings have no such class, or the path and the header name different classes.
    #[error("unknown class")]
    UnknownClass,
    /// The settings have no such plan.
    #[error("unknown plan")]
    UnknownPlan,
    /// The path is missing or contains bytes other than visible ASCII.
    #[error("the path cannot be read")]
    InvalidPath,
    /// The method, the idempotency key or the presence of a body does not match the class.
    #[error("the method does not go with the class")]
    MethodMismatch,
    /// The body ended early or is malformed.
    #[error("the body cannot be read")]
    UnreadableBody(#[source] hyper::Error),
    /// The body has no `Content-Length`.
    #[error("a body must tell its length")]
    LengthRequired,
    /// The body is longer than [`MAX_BODY_BYTES`](crate::net::messages::MAX_BODY_BYTES).
    #[error("the body is too long")]
    BodyTooLong,
    /// The body did not arrive completely before its deadline.
    #[error("the body did not come in time")]
    BodyTimeout(#[source] tokio::time::error::Elapsed),
    /// The gateway cannot hold the request, since others that have to be answered first take the memory.
    #[error("not enough memory for the request")]
    OutOfMemory(#[from] OutOfMemory),
    /// The client has disconnected, so nobody will read the response.
    #[error("the client has left")]
    ClientDisconnected,
    /// The request id is in use or was used recently.
    #[error("a request with this id has come before")]
    DuplicateId,
}

impl RequestError {
    /// The HTTP status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTimeout(_) | RequestError::ClientDisconnected => {
                StatusCode::REQUEST_TIMEOUT
            }
            RequestError::OutOfMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::InvalidHeader(_)
            | RequestError::UnknownClass
            | RequestError::UnknownPlan
            | RequestError::InvalidPath
            | RequestError::MethodMismatch
            | RequestError::UnreadableBody(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Parses the head of a request from `client` whose first byte arrived at `started_at`, in milliseconds on the
/// gateway's clock. The caller fills in the body and `received_at` once the body has been read; until then the body is
/// empty and `received_at` is `started_at`.
pub(crate) fn read_head(
    context: &RuntimeContext,
    head: &Parts,
    started_at: Millis,
    client: Rc<dyn ClientConnection>,
) -> Result<IncomingRequest, RequestError> {
    let headers = &head.headers;
    // If a request has both Transfer-Encoding and Content-Length, hyper uses the chunks and silently drops the length.
    // Hops that disagree on the framing allow request smuggling: one hop could take a part of the body for the next
    // request. Clients of this service always send Content-Length.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    let id = header_token(headers, &REQUEST_ID)?;
    let class = read_class(context, head)?;
    let plan = read_plan(context, headers)?;
    let class_limit = context.settings.classes[class.0].deadline;
    let timeout = header_text(headers, &REQUEST_TIMEOUT)?;
    let budget = Budget::from_header(timeout, started_at, class_limit)
        .ok_or(RequestError::InvalidHeader(REQUEST_TIMEOUT))?;
    let terms = QuotaTerms::parse(header_text(headers, &API_TERMS)?, &context.settings)
        .ok_or(RequestError::InvalidHeader(API_TERMS))?;
    let path = read_path(&head.uri)?;
    header_text(headers, &HOST)?;
    if headers.contains_key(IDEMPOTENCY_KEY) {
        header_token(headers, &IDEMPOTENCY_KEY)?;
    }
    let customer = read_customer(headers).ok_or(RequestError::InvalidHeader(COOKIE))?;
    Ok(IncomingRequest {
        received_at: started_at,
        budget,
        customer,
        plan,
        class,
        units: terms.units,
        gateway_count: terms.gateway_count,
        is_retry: is_marked_retry(headers),
        upstream_request: UpstreamRequest {
            client,
            id: id.into(),
            id_value: detached(&headers[REQUEST_ID]),
            host: detached(&headers[HOST]),
            method: head.method.clone(),
            uri: detached_uri(path)?,
            key: headers.get(IDEMPOTENCY_KEY).map(detached),
            content_type: content_type(headers),
            body: Bytes::new(),
        },
    })
}

/// A copy of a header value that does not refer to the read buffer. A value as hyper returns it would keep the whole
/// buffer in memory for as long as the request is pending.
fn detached(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A copy of the path as a URI that does not refer to the read buffer.
fn detached_uri(path: &PathAndQuery) -> Result<Uri, RequestError> {
    let path = PathAndQuery::try_from(path.as_str()).map_err(|_| RequestError::InvalidPath)?;
    Ok(Uri::from(path))
}

/// The content type, if the request has a valid one. A malformed content type tells nothing about the body, so it is
/// not forwarded.
fn content_type(headers: &HeaderMap) -> Option<HeaderValue> {
    header_text(headers, &CONTENT_TYPE).ok()?;
    headers.get(CONTENT_TYPE).map(detached)
}

/// The class of the request. The header, the path, the method and the idempotency key must all agree with it.
fn read_class(context: &RuntimeContext, head: &Parts) -> Result<ClassId, RequestError> {
    let name = header_text(&head.headers, &REQUEST_CLASS)?;
    let class = position_of(name, &context.names.classes).ok_or(RequestError::UnknownClass)?;
    if !path_starts_with(head.uri.path(), name) {
        return Err(RequestError::UnknownClass);
    }
    let has_key = head.headers.contains_key(IDEMPOTENCY_KEY);
    let agrees = match context.settings.classes[class].idempotency {
        Idempotency::Idempotent => head.method == Method::GET && !has_key,
        Idempotency::WithKey { .. } => head.method == Method::POST && has_key,
        Idempotency::NonIdempotent => head.method == Method::POST && !has_key,
    };
    if agrees {
        Ok(ClassId(class))
    } else {
        Err(RequestError::MethodMismatch)
    }
}

fn read_plan(context: &RuntimeContext, headers: &HeaderMap) -> Result<PlanId, RequestError> {
    let name = header_text(headers, &API_PLAN)?;
    let plan = position_of(name, &context.names.plans).ok_or(RequestError::UnknownPlan)?;
    Ok(PlanId(plan))
}

/// The index of `name`, as the client wrote it, in the list of names from the settings.
fn position_of(name: &str, known_names: &[String]) -> Option<usize> {
    let normalized = normalize_name(name);
    known_names.iter().position(|known| *known == normalized)
}

/// Whether the first segment of `path` is `segment`.
fn path_starts_with(path: &str, segment: &str) -> bool {
    let rest = path
        .strip_prefix('/')
        .and_then(|path| path.strip_prefix(segment));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn read_path(uri: &Uri) -> Result<&PathAndQuery, RequestError> {
    let path = uri.path_and_query().ok_or(RequestError::InvalidPath)?;
    let is_visible_ascii = path.as_str().bytes().all(|byte| byte.is_ascii_graphic());
    if is_visible_ascii {
        Ok(path)
    } else {
        Err(RequestError::InvalidPath)
    }
}

/// The fields of the `api-terms` header, for example `units=2.5, spread=3, first=0`, in any order. Unknown fields are
/// ignored.
struct QuotaTerms {
    /// Units that the request takes from the customer's quota.
    units: f64,
    /// Number of gateways that serve the customer (`spread`).
    gateway_count: f64,
}

impl QuotaTerms {
    /// `None` if a field is missing, repeated, malformed or outside the range that `settings` allow. An out-of-range
    /// value is rejected here, since the policy engine would clamp it and serve the request.
    fn parse(text: &str, settings: &Settings) -> Option<QuotaTerms> {
        let gateways = settings.gateways.max(1);
        let max_units = settings.max_units.max(1.0) * (1.0 + UNITS_TOLERANCE);
        let mut units = None;
        let mut gateway_count = None;
        let mut first_gateway = None;
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            match name {
                "units" => {
                    let value = parse_positive_number(value).filter(|units| *units <= max_units)?;
                    set_once(&mut units, value)?;
                }
                "spread" => {
                    let value = parse_integer(value).filter(|n| (1..=gateways).contains(n))?;
                    set_once(&mut gateway_count, value)?;
                }
                "first" => {
                    let value = parse_integer(value).filter(|n| *n < gateways)?;
                    set_once(&mut first_gateway, value)?;
                }
                _ => {}
            }
        }
        // `first` is required, but its value is not used.
        first_gateway?;
        Some(QuotaTerms {
            units: units?,
            gateway_count: f64::from(gateway_count?),
        })
    }
}

/// Sets a field, or returns `None` if the field was already set.
fn set_once<T>(field: &mut Option<T>, value: T) -> Option<()> {
    match field.replace(value) {
        Some(_) => None,
        None => Some(()),
    }
}

/// The value of a header that must occur exactly once and consist of visible ASCII, spaces and tabs. Leading and
/// trailing white space is removed.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().and_then(|value| value.to_str().ok());
    match (value, values.next()) {
        (Some(value), None) => Ok(value.trim()),
        _ => Err(RequestError::InvalidHeader(name.clone())),
    }
}

/// The value of a header that holds an identifier: 1 to [`MAX_TOKEN_BYTES`] bytes of visible ASCII without spaces.
fn header_token<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, RequestError> {
    let value = header_text(headers, name)?;
    let has_valid_length = (1..=MAX_TOKEN_BYTES).contains(&value.len());
    if has_valid_length && value.bytes().all(|byte| byte.is_ascii_graphic()) {
        Ok(value)
    } else {
        Err(RequestError::InvalidHeader(name.clone()))
    }
}

/// Whether the client marked the request as a retry. A malformed mark is ignored, since it tells nothing about the
/// request.
fn is_marked_retry(headers: &HeaderMap) -> bool {
    header_text(headers, &CLIENT_RETRY).is_ok_and(|mark| mark == "1")
}

/// The customer number from the cookie `client`, which must occur exactly once.
fn read_customer(headers: &HeaderMap) -> Option<CustomerId> {
    let cookies = header_text(headers, &COOKIE).ok()?;
    let mut values = cookies
        .split(';')
        .filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let value = values.next()?;
    let is_repeated = values.next().is_some();
    let is_hex = value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_repeated || !is_hex || value.len() != CUSTOMER_HEX_DIGITS {
        return None;
    }
    let number = u64::from_str_radix(value, 16).ok()?;
    (number < CUSTOMER_NUMBER_LIMIT).then_some(CustomerId(number))
}

fn parse_positive_number(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(number)
}

/// Parses a non-negative integer. Decimals are accepted if they are zero, as in `3.0`.
fn parse_integer(text: &str) -> Option<u32> {
    let number: f64 = text.parse().ok()?;
    let is_integer = number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX);
    is_integer.then_some(number as u32)
}
