//! Builds the HTTP responses to clients.

use crate::net::downstream::request::RequestError;
use crate::net::messages::Answer;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The response to a readiness check: 200 if the gateway is ready, 503 if not.
pub(super) fn health(is_ready: bool) -> Response<Full<Bytes>> {
    if is_ready {
        with_status(StatusCode::OK, Bytes::new())
    } else {
        with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
    }
}

/// The response to a request that was not submitted, with the error message on one line as the body.
pub(super) fn request_error(error: &RequestError) -> Response<Full<Bytes>> {
    with_status(error.status(), Bytes::from(format!("{error}\n")))
}

/// The response that carries the final answer of a request.
pub(super) fn answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body) => with_status(StatusCode::OK, body),
        Answer::Rejected(retry_after) => {
            let mut response = with_status(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
            // The clients of this service parse seconds with three decimals.
            let seconds = retry_after.map(|millis| format!("{:.3}", millis / 1000.0));
            if let Some(value) = seconds.and_then(|text| HeaderValue::try_from(text).ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => with_status(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
