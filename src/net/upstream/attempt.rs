//! One attempt of a request: it gets a connection, sends the request, reads the response, and derives
//! the outcome that the policy uses to judge the backend.

use crate::net::messages::{AttemptResult, UpstreamRequest};
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use crate::net::upstream::pool_driver::{
    AttemptHandle, CheckedOutConnection, CheckoutError, UpstreamConnections,
};
use crate::net::upstream::response::ResponseReader;
use crate::net::upstream::send_permit::SendPermit;
use cometspool::{BackendId, DeliveryMode, Outcome};
use hyper::body::Incoming;
use hyper::Response;
use std::rc::Rc;

/// The resources that all attempts share.
#[derive(Clone)]
pub(crate) struct UpstreamTransport {
    /// The connections to backends.
    pub connections: Rc<UpstreamConnections>,
    /// Reads the responses of backends.
    pub response_reader: Rc<ResponseReader>,
    /// This gateway's clock.
    pub clock: Clock,
}

/// How the exchange on one connection ended.
enum Exchange {
    /// A complete response was received.
    Completed(AttemptResult),
    /// The request was not fully written because its permit was no longer valid.
    NotPermitted,
    /// The connection broke before the request was fully written.
    BrokeBeforeSent,
    /// The connection broke after the request was fully written and before the response was
    /// complete.
    BrokeAfterSent,
}

/// Runs one attempt and returns how it ended. The caller enforces the attempt's deadline by
/// dropping the future when the deadline has passed.
pub(crate) async fn attempt(
    transport: &UpstreamTransport,
    backend: BackendId,
    request: &UpstreamRequest,
    deadline: AttemptDeadline,
    delivery: DeliveryMode,
    handle: &AttemptHandle,
) -> AttemptResult {
    let attempt = Attempt {
        transport,
        backend,
        request,
        deadline,
        delivery,
        permit: SendPermit::new(request.client.clone(), deadline, transport.clock),
    };
    attempt.run(handle).await
}

/// One attempt with its parameters and limits.
struct Attempt<'a> {
    transport: &'a UpstreamTransport,
    backend: BackendId,
    request: &'a UpstreamRequest,
    deadline: AttemptDeadline,
    delivery: DeliveryMode,
    permit: SendPermit,
}

impl Attempt<'_> {
    /// Tries connections until one carries the request or no further connection can be had.
    async fn run(&self, handle: &AttemptHandle) -> AttemptResult {
        let mut broken_connections = 0;
        loop {
            let connection = match self.connect().await {
                Ok(connection) => connection,
                // A failed connect says more about the backend than the pooled connections that
                // broke before, so these are not reported.
                Err(Outcome::ConnectFailed) => return failed(Outcome::ConnectFailed, 0),
                Err(outcome) => return failed(outcome, broken_connections),
            };
            handle.set_connection(&connection.socket);
            let is_reused = connection.idle_for.is_some();
            match self.exchange(connection).await {
                Exchange::Completed(result) => {
                    return AttemptResult {
                        broken_connections,
                        ..result
                    }
                }
                Exchange::NotPermitted => return failed(Outcome::NotSent, broken_connections),
                // A pooled connection that breaks before the request is fully written says little
                // about the backend, and the request has not been executed: it is sent on the next
                // connection. Each iteration removes a connection from the pool, so the loop ends.
                Exchange::BrokeBeforeSent if is_reused => broken_connections += 1,
                Exchange::BrokeBeforeSent => {
                    return failed(Outcome::ConnectFailed, broken_connections + 1)
                }
                Exchange::BrokeAfterSent => return failed(Outcome::Reset, broken_connections + 1),
            }
        }
    }

    /// Checks out a connection on which the request may be sent.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt, if it gets no connection or may no longer be sent.
    async fn connect(&self) -> Result<CheckedOutConnection, Outcome> {
        let connections = &self.transport.connections;
        let now = self.transport.clock.now();
        let timeout = self.deadline.wait(now, connections.dial_timeout());
        let checkout = connections
            .checkout(self.backend, self.delivery, timeout)
            .await;
        // During the wait the client may have disconnected, or the time before which the attempt
        // must start may have passed. The backend is not at fault, and the connection returns to
        // the pool.
        if !self.permit.is_valid() {
            if let Ok(connection) = checkout {
                connection.release_unused();
            }
            return Err(Outcome::NotSent);
        }
        let connection = checkout.map_err(CheckoutError::outcome)?;
        // The backend may also have been removed or begun to drain during the wait.
        if connections.takes_new(self.backend) {
            Ok(connection)
        } else {
            Err(Outcome::NotSent)
        }
    }

    /// Sends the request on a connection and reads the response.
    async fn exchange(&self, mut connection: CheckedOutConnection) -> Exchange {
        let is_cautious = self.delivery != DeliveryMode::Normal;
        connection
            .socket
            .start_request(self.request.body.len(), is_cautious, self.permit.clone());
        let sent = self.send(&mut connection).await;
        let is_unsent = sent.is_err() && !connection.socket.is_fully_written();
        if is_unsent && !self.permit.is_valid() {
            return Exchange::NotPermitted;
        }
        let connections = &self.transport.connections;
        if let Some(idle_for) = connection.idle_for {
            connections.record_reuse(idle_for, sent.is_err());
        }
        let received = match sent {
            Ok(response) => {
                connection.socket.response_head_received();
                self.transport.response_reader.read(response).await.ok()
            }
            Err(_) => None,
        };
        let is_fully_written = connection.socket.is_fully_written();
        // A response that arrives before the request is fully written is valid only if it rejects
        // the request.
        let Some(received) = received
            .filter(|received| is_fully_written || received.result.outcome == Outcome::Rejected)
        else {
            return if is_fully_written {
                Exchange::BrokeAfterSent
            } else {
                Exchange::BrokeBeforeSent
            };
        };
        // A backend whose connection table is full rejects the first request on a new connection.
        if received.result.outcome == Outcome::Rejected && connection.idle_for.is_none() {
            connections.record_table_full(self.backend);
        }
        let is_reusable = received.is_delimited && !connection.socket.has_large_read_buffer();
        if is_fully_written && is_reusable {
            connection.release();
        }
        Exchange::Completed(received.result)
    }

    /// Sends the request and waits for the status and the headers of the response.
    async fn send(
        &self,
        connection: &mut CheckedOutConnection,
    ) -> Result<Response<Incoming>, hyper::Error> {
        connection.sender.ready().await?;
        let now = self.transport.clock.now();
        let response_delay = self.transport.connections.one_way_delay();
        let timeout_header = self.deadline.header_value(now, response_delay);
        let request = self.request.request(&timeout_header);
        connection.sender.send_request(request).await
    }
}

/// The result of an attempt that got no response.
fn failed(outcome: Outcome, broken_connections: u32) -> AttemptResult {
    AttemptResult {
        broken_connections,
        ..AttemptResult::without_response(outcome)
    }
}

#[cfg(test)]
mod tests;
