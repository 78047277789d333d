//! Serves one connection over HTTP/1.1: reads its requests, passes them to the request handler and writes the answers.

use super::io::ConnectionIo;
use super::response;
use super::shutdown::ShutdownPhase;
use super::state::{ClientInput, CloseMode, ConnectionState, REQUEST_READ_TIMEOUT};
use super::{DownstreamConnections, RequestHandler};
use crate::net::downstream::request::{read_head, RequestError};
use crate::net::messages::Answer;
use crate::net::runtime::capacity::CONNECTION_BUFFER_BYTES;
use cometspool::{Millis, RequestId};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// Path of the readiness check, which the load balancer in front of the gateways requests.
const HEALTH_PATH: &str = "/_health";
/// How long a connection may take to send its request if it was accepted after the shutdown closed idle connections.
const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// How long after the end of a request's budget its response may still be written, in milliseconds. A response within
/// this time is late, but not lost.
const LATE_RESPONSE_GRACE: Millis = 500.0;

impl DownstreamConnections {
    /// Serves the connection with the key `number` in the registry until it ends.
    pub(super) async fn serve(self: Rc<Self>, number: u64, state: Rc<ConnectionState>) {
        let _registration = Registration {
            connections: &self,
            number,
        };
        let io = TokioIo::new(ConnectionIo::new(state.clone(), self.clone()));
        let service = service_fn(|request| {
            let connections = self.clone();
            let state = state.clone();
            async move { Ok::<_, Infallible>(connections.respond(request, &state).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let mut is_closing = false;
        // A connection accepted after idle connections were closed gets LATE_CONNECTION_TIMEOUT to send its request, so
        // that the rejection can tell the client when to retry.
        let is_late = *phase.borrow() == ShutdownPhase::ClosingIdle;
        let mut late_timeout = std::pin::pin!(tokio::time::sleep(LATE_CONNECTION_TIMEOUT));
        loop {
            tokio::select! {
                // An error means that the client disconnected or sent invalid HTTP. hyper has answered the latter
                // itself.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == ShutdownPhase::ClosingIdle), if !is_closing && !is_late => {}
                () = late_timeout.as_mut(), if !is_closing && is_late => {}
                mode = state.close_requested() => if mode == CloseMode::Immediate { return },
            }
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
    }

    /// Handles one request. Every outcome, including an error, produces a response.
    async fn respond(
        &self,
        request: Request<IncomingBody>,
        state: &Rc<ConnectionState>,
    ) -> Response<Full<Bytes>> {
        let mut close = self.keep_alive_disabled.get();
        let mut response = if request.uri().path() == HEALTH_PATH {
            state.request_completed();
            response::health(self.handler.is_ready())
        } else {
            match self.handle(request, state).await {
                Ok(answer) => response::answer(answer),
                Err(error) => {
                    // After an invalid request, the following bytes cannot be trusted to begin a new request.
                    close = true;
                    response::request_error(&error)
                }
            }
        };
        let is_shutting_down = *self.phase.borrow() != ShutdownPhase::Serving;
        if close || state.read_ahead_overflowed() || is_shutting_down {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        state.response_ready(self.context.clock.now());
        response
    }

    /// Reads a complete request, submits it and waits for its final answer.
    async fn handle(
        &self,
        request: Request<IncomingBody>,
        state: &Rc<ConnectionState>,
    ) -> Result<Answer, RequestError> {
        let started_at = state.request_started_at();
        let (head, body) = request.into_parts();
        let mut incoming = read_head(&self.context, &head, started_at, state.clone())?;
        let method = head.method.clone();
        // The headers refer to the read buffer, which must not be held while the request waits.
        drop(head);
        let budget_end = incoming.budget.end();
        let read_by = budget_end.min(state.timeout_started_at() + REQUEST_READ_TIMEOUT);
        let read_by = self.context.clock.instant_at(read_by);
        let body = self.read_body(body, &method, state, read_by).await?;
        incoming.upstream_request.body = body;
        incoming.received_at = state.last_byte_at();
        state.request_completed();
        state.set_write_deadline(budget_end + LATE_RESPONSE_GRACE);
        tokio::time::timeout_at(read_by, wait_until_all_read(state))
            .await
            .map_err(RequestError::BodyTimeout)??;
        let (id, answer) = self
            .handler
            .submit(incoming)
            .ok_or(RequestError::DuplicateId)?;
        let mut disconnect_guard = DisconnectGuard {
            handler: &*self.handler,
            pending: Some(id),
        };
        tokio::select! {
            biased;
            answer = answer => {
                disconnect_guard.pending = None;
                Ok(answer.unwrap_or(Answer::Failed))
            }
            // hyper reads no further than it has to. Pipelined bytes behind the request would hide the disconnect.
            () = state.disconnected() => {
                drop(disconnect_guard);
                state.request_close(CloseMode::Immediate);
                std::future::pending().await
            }
        }
    }
}

/// Reads ahead until nothing more has arrived. Bytes behind the request could hide that the client has disconnected.
async fn wait_until_all_read(state: &ConnectionState) -> Result<(), RequestError> {
    loop {
        match state.read_ahead_now() {
            ClientInput::AllRead => return Ok(()),
            ClientInput::Ended => return Err(RequestError::ClientDisconnected),
            ClientInput::MoreUnread => tokio::task::yield_now().await,
        }
    }
}

/// The registration of an open connection. Dropping it removes the connection from the registry.
struct Registration<'a> {
    connections: &'a DownstreamConnections,
    number: u64,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
        self.connections.closed.notify_waiters();
    }
}

/// Reports a disconnect to the request handler if it is dropped before the request has been answered. The future of a
/// waiting request is dropped when the client disconnects or its connection is closed.
struct DisconnectGuard<'a> {
    handler: &'a dyn RequestHandler,
    /// The request that awaits its answer; `None` once it has been answered.
    pending: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.pending {
            self.handler.client_disconnected(id);
        }
    }
}
