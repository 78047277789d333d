//! Client connections: the accept loop, the registry of open connections, and the timeouts that end them.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | what one connection is doing, and since when |
//! | `io` | the socket as hyper sees it: notes when bytes arrive, and limits writes |
//! | `service` | serves one connection: hands its requests to the [`RequestHandler`] and writes the answers |
//! | `response` | HTTP responses |
//! | `eviction`, `eviction_rank` | which connection makes room for a new one at the limit |
//! | `shutdown` | graceful shutdown |

mod eviction;
mod eviction_rank;
mod io;
mod response;
mod service;
mod shutdown;
mod state;

use crate::net::messages::{Answer, ClientConnection, IncomingRequest};
use crate::net::runtime::capacity::{client_connection_limit, ACCEPT_RETRY_DELAY};
use crate::net::runtime::context::RuntimeContext;
use cometspool::{Millis, RequestId};
use shutdown::ShutdownPhase;
use state::{CloseMode, ConnectionState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};

/// How often all connections are checked for timeouts and for clients that disconnected.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest stall of the event loop, in milliseconds, that is reported to the operators.
const MIN_REPORTED_STALL: Millis = 250.0;

/// Decides on the requests that the connections read, and answers them.
pub(crate) trait RequestHandler {
    /// Whether there is an endpoint list to serve from.
    fn is_ready(&self) -> bool;
    /// Takes a request in and returns its id with the receiver of its one final answer; `None` if a request with the same
    /// id has come before.
    fn submit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)>;
    /// Notes that the client of a request has disconnected; does nothing if the request has been answered.
    fn client_disconnected(&self, id: RequestId);
    /// Begins a graceful shutdown that has to have answered all requests by `end`.
    fn begin_shutdown(&self, end: Millis);
    /// Rejects every request submitted from now on, since the shutdown is too far along to serve it.
    fn reject_new_requests(&self);
    /// The number of requests without a final answer.
    fn pending_requests(&self) -> usize;
}

/// All connections of clients: accepts them, keeps their number within the limit, and ends them.
pub(crate) struct DownstreamConnections {
    handler: Rc<dyn RequestHandler>,
    context: Rc<RuntimeContext>,
    /// The most connections that may be open.
    limit: usize,
    /// The open connections, by number in the order of their acceptance.
    open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// How many connections have been accepted.
    accepted: Cell<u64>,
    /// Notified whenever a connection has closed.
    closed: Notify,
    /// Set when a new connection waits and none can be evicted, until there is room: each response then closes its
    /// connection.
    keep_alive_disabled: Cell<bool>,
    phase: watch::Sender<ShutdownPhase>,
}

impl DownstreamConnections {
    /// The client side of `handler`, in a process that may have `descriptors` descriptors open.
    pub(crate) fn new(
        handler: Rc<dyn RequestHandler>,
        context: Rc<RuntimeContext>,
        descriptors: usize,
    ) -> Rc<DownstreamConnections> {
        Rc::new(DownstreamConnections {
            handler,
            context,
            limit: client_connection_limit(descriptors),
            open: RefCell::default(),
            accepted: Cell::new(0),
            closed: Notify::new(),
            keep_alive_disabled: Cell::new(false),
            phase: watch::Sender::new(ShutdownPhase::Serving),
        })
    }

    /// Accepts connections for as long as the gateway runs, during a graceful shutdown too.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.wait_for_free_slot().await;
                    self.register_and_serve(stream);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn register_and_serve(self: &Rc<Self>, stream: TcpStream) {
        let connection = Rc::new(ConnectionState::new(self.context.clock.now(), stream));
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        self.open.borrow_mut().insert(number, connection.clone());
        tokio::task::spawn_local(self.clone().serve(number, connection));
    }

    /// Closes connections whose time is over or whose client has disconnected, for as long as the gateway runs. Its timer
    /// is also the one by which stalls of the event loop are detected.
    pub(crate) async fn close_expired_connections(self: Rc<Self>) {
        let stall_monitor = &self.context.stall_monitor;
        loop {
            let due = self.context.clock.now() + EXPIRY_CHECK_INTERVAL.as_secs_f64() * 1000.0;
            stall_monitor.expect_timer(due);
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let now = self.context.clock.now();
            stall_monitor.timer_fired(due, now);
            if let Some(stall) = stall_monitor.take_longest_stall() {
                report_stall(stall);
            }
            self.close_expired(now);
        }
    }

    fn close_expired(&self, now: Millis) {
        for connection in self.open.borrow().values() {
            // Bytes behind a request hide that its client disconnected from a reader that reads only when it has to.
            if connection.awaits_response() && connection.is_disconnected() {
                connection.request_close(CloseMode::Immediate);
            } else if let Some(mode) = connection.expired(now) {
                connection.request_close(mode);
            }
        }
    }
}

fn report_stall(stall: Millis) {
    if stall >= MIN_REPORTED_STALL {
        tracing::warn!(stall_ms = stall.round(), "event loop stalled");
    }
}
