//! Attempts: what goes on to a backend, what comes back, and what the end of an attempt means.

use crate::net::messages::{AttemptResult, UpstreamRequest};
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use crate::net::upstream::pool_driver::{
    AttemptHandle, CheckedOutConnection, CheckoutError, UpstreamConnections,
};
use crate::net::upstream::response::{read, ResponseReader};
use crate::net::upstream::send_permit::SendPermit;
use cometspool::{BackendId, DeliveryMode, Outcome};
use hyper::body::Incoming;
use hyper::Response;
use std::rc::Rc;

/// What carries attempts to the backends.
#[derive(Clone)]
pub(crate) struct UpstreamTransport {
    /// Connections to them.
    pub connections: Rc<UpstreamConnections>,
    /// How their answers are read.
    pub response_reader: Rc<ResponseReader>,
    /// The clock.
    pub clock: Clock,
}

/// How a request on one connection ended.
enum Exchange {
    /// With a whole answer.
    Answered(AttemptResult),
    /// Before it was written whole, as its permit had ended.
    NotPermitted,
    /// The connection broke before it was written whole.
    BrokenUnsent,
    /// The connection broke after that.
    BrokenSent,
}

/// Carries out one attempt within its part of the request's time and tells how it ended. Whoever set the part ends it: it is
/// dropped when the part is over.
pub(crate) async fn attempt(
    transport: &UpstreamTransport,
    backend: BackendId,
    order: &UpstreamRequest,
    part: AttemptDeadline,
    delivery: DeliveryMode,
    line: &AttemptHandle,
) -> AttemptResult {
    let permit = SendPermit::new(order.client.clone(), part, transport.clock);
    let mut broken = 0;
    loop {
        let connection = match transport.connect(backend, part, delivery, &permit).await {
            Ok(connection) => connection,
            // Refused: that says more than what broke before.
            Err(Outcome::ConnectFailed) => {
                return AttemptResult::without_response(Outcome::ConnectFailed)
            }
            Err(outcome) => {
                return AttemptResult {
                    broken_connections: broken,
                    ..AttemptResult::without_response(outcome)
                }
            }
        };
        line.set_connection(&connection.socket);
        let kept = connection.idle_for.is_some();
        match transport
            .exchange(backend, connection, order, part, delivery, &permit)
            .await
        {
            Exchange::Answered(ended) => {
                return AttemptResult {
                    broken_connections: broken,
                    ..ended
                }
            }
            Exchange::NotPermitted => {
                return AttemptResult {
                    broken_connections: broken,
                    ..AttemptResult::without_response(Outcome::NotSent)
                }
            }
            // A connection from the pool that broke before the request was whole tells little of the backend, and
            // nothing ran: the next one stands in. Each turn takes one out of the pool, so this ends.
            Exchange::BrokenUnsent if kept => broken += 1,
            Exchange::BrokenUnsent => {
                return AttemptResult {
                    broken_connections: broken + 1,
                    ..AttemptResult::without_response(Outcome::ConnectFailed)
                };
            }
            Exchange::BrokenSent => {
                return AttemptResult {
                    broken_connections: broken + 1,
                    ..AttemptResult::without_response(Outcome::Reset)
                }
            }
        }
    }
}

impl UpstreamTransport {
    /// A connection on which the attempt may begin, or how the attempt ends without one.
    async fn connect(
        &self,
        backend: BackendId,
        part: AttemptDeadline,
        delivery: DeliveryMode,
        permit: &SendPermit,
    ) -> Result<CheckedOutConnection, Outcome> {
        let pools = &self.connections;
        let limit = part.wait(self.clock.now(), pools.dial_timeout());
        let taken = pools.checkout(backend, delivery, limit).await;
        // The wait for a connection may have outlasted its client's patience, or the time in which the attempt may begin: that
        // is no fault of the backend, and the connection serves another.
        if !permit.is_valid() {
            if let Ok(connection) = taken {
                connection.release_unused();
            }
            return Err(Outcome::NotSent);
        }
        let connection = taken.map_err(CheckoutError::outcome)?;
        // It may have outlasted the backend's place in the list, too.
        if pools.takes_new(backend) {
            Ok(connection)
        } else {
            Err(Outcome::NotSent)
        }
    }

    /// Sends the request on a connection and reads its answer.
    async fn exchange(
        &self,
        backend: BackendId,
        mut connection: CheckedOutConnection,
        order: &UpstreamRequest,
        part: AttemptDeadline,
        delivery: DeliveryMode,
        permit: &SendPermit,
    ) -> Exchange {
        connection.socket.start_request(
            order.body.len(),
            delivery != DeliveryMode::Normal,
            permit.clone(),
        );
        let sent = self.send(&mut connection, order, part).await;
        let unsent = sent.is_none() && !connection.socket.is_fully_written();
        if unsent && !permit.is_valid() {
            return Exchange::NotPermitted;
        }
        if let Some(idle) = connection.idle_for {
            self.connections.record_reuse(idle, sent.is_none());
        }
        let received = match sent {
            Some(answer) => read(&self.response_reader, answer).await,
            None => None,
        };
        let whole = connection.socket.is_fully_written();
        // What is answered before it was written whole was answered unseen, and its connection is of no more use.
        let Some(received) =
            received.filter(|received| whole || received.result.outcome == Outcome::Rejected)
        else {
            return if whole {
                Exchange::BrokenSent
            } else {
                Exchange::BrokenUnsent
            };
        };
        // A new connection's first request turned away tells of a table that is full.
        if received.result.outcome == Outcome::Rejected && connection.idle_for.is_none() {
            self.connections.record_table_full(backend);
        }
        if whole && received.delimited {
            connection.release();
        }
        Exchange::Answered(received.result)
    }

    /// Sends the request; nothing if the connection breaks before the head of an answer.
    async fn send(
        &self,
        connection: &mut CheckedOutConnection,
        order: &UpstreamRequest,
        part: AttemptDeadline,
    ) -> Option<Response<Incoming>> {
        connection.sender.ready().await.ok()?;
        let told = part.header_value(self.clock.now(), self.connections.one_way_delay());
        connection
            .sender
            .send_request(order.request(&told))
            .await
            .ok()
    }
}

#[cfg(test)]
mod tests;
