//! Reads request bodies within the memory for clients.

use super::memory::MemoryUse;
use super::state::ConnectionState;
use super::DownstreamConnections;
use crate::net::downstream::request::RequestError;
use crate::net::messages::MAX_BODY_BYTES;
use crate::net::runtime::capacity::MAX_UNRESERVED_BYTES;
use crate::net::runtime::memory::{OutOfMemory, Reservation, ReservedBytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::Method;
use std::error::Error;
use std::io;
use tokio::time::Instant;

impl DownstreamConnections {
    /// Reads the body of the request on a connection, which must be complete by `deadline`. Returns an empty body if
    /// the request has none. The memory that is reserved for the body is returned when the last reference to it is
    /// dropped.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        method: &Method,
        state: &ConnectionState,
        deadline: Instant,
    ) -> Result<Bytes, RequestError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        if method == Method::GET {
            return Err(RequestError::MethodMismatch);
        }
        let length = body.size_hint().lower();
        if length > MAX_BODY_BYTES as u64 {
            return Err(RequestError::BodyTooLong);
        }
        let body = self.collect_body(body, length as usize, state);
        tokio::time::timeout_at(deadline, body)
            .await
            .map_err(RequestError::BodyTimeout)?
    }

    /// Copies a body of `length` bytes piece by piece: each piece that hyper returns refers to the whole read buffer
    /// that it arrived in, so that the pieces of a body that arrives slowly would hold far more memory than the body.
    async fn collect_body(
        &self,
        mut body: Incoming,
        length: usize,
        state: &ConnectionState,
    ) -> Result<Bytes, RequestError> {
        let reservation = self.reserve_request_body(length, state).await?;
        state.memory().body_started();
        let mut received = Vec::with_capacity(length);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(read_error)?.into_data() else {
                continue;
            };
            if received.len() + data.len() > length {
                return Err(RequestError::BodyTooLong);
            }
            received.extend_from_slice(&data);
        }
        Ok(match reservation {
            Some(reservation) => Bytes::from_owner(ReservedBytes::new(received, reservation)),
            None => Bytes::from(received),
        })
    }

    /// Reserves the memory of a request body, unless it is short.
    async fn reserve_request_body(
        &self,
        length: usize,
        state: &ConnectionState,
    ) -> Result<Option<Reservation>, OutOfMemory> {
        if length <= MAX_UNRESERVED_BYTES {
            return Ok(None);
        }
        let reservation = self.reserve_memory(MemoryUse::Body, length).await?;
        let now = self.context.clock.now();
        state.memory().set_body_bytes(now, length);
        Ok(Some(reservation))
    }
}

/// The error of a body that hyper could not read.
fn read_error(error: hyper::Error) -> RequestError {
    let io_error = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    if io_error.is_some_and(|error| error.kind() == io::ErrorKind::OutOfMemory) {
        return RequestError::OutOfMemory(OutOfMemory);
    }
    RequestError::UnreadableBody(error)
}
