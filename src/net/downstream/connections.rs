//! Client connections: the accept loop, the registry of open connections, and the timeouts that end them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `state` | the state of one connection, with its timestamps |
//! | `io` | the socket as hyper uses it: records when bytes arrive, and enforces the write deadline |
//! | `service` | serves one connection: passes its requests to the [`RequestHandler`] and writes the answers |
//! | `memory` | the memory that clients make the gateway hold |
//! | `read_ahead` | pipelined bytes behind a request |
//! | `body` | reads request bodies within that memory |
//! | `response` | builds the HTTP responses |
//! | `eviction`, `eviction_rank` | which connection is closed for a new one at the connection limit |
//! | `shutdown` | graceful shutdown |

mod body;
mod eviction;
mod eviction_rank;
mod io;
mod memory;
mod read_ahead;
mod response;
mod service;
mod shutdown;
mod state;

use crate::net::messages::{Answer, IncomingRequest};
use crate::net::runtime::capacity::{client_connection_limit, ACCEPT_RETRY_DELAY};
use crate::net::runtime::context::RuntimeContext;
use cometspool::{Millis, RequestId};
use memory::ClientMemory;
use shutdown::ShutdownPhase;
use state::{ClientInput, CloseMode, ConnectionState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};

/// Interval at which all connections are checked for timeouts and disconnected clients.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum length of an event loop stall that is logged, in milliseconds.
const MIN_REPORTED_STALL: Millis = 250.0;

/// Answers the requests that are read from client connections.
pub(crate) trait RequestHandler {
    /// Whether any endpoint is listed, so that requests can be served.
    fn is_ready(&self) -> bool;
    /// Submits a request. Returns its id and the receiver of its one final answer, or `None` if a request with the same
    /// id was submitted before.
    fn submit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)>;
    /// Called when the client of a request has disconnected. Does nothing if the request has been answered.
    fn client_disconnected(&self, id: RequestId);
    /// Begins a graceful shutdown. All requests must have been answered by `end`, in milliseconds on the gateway's
    /// clock.
    fn begin_shutdown(&self, end: Millis);
    /// Rejects every request submitted from now on. Called when too little time is left to serve new requests before
    /// the shutdown ends.
    fn reject_new_requests(&self);
    /// Number of requests that have no final answer yet.
    fn pending_requests(&self) -> usize;
}

/// All client connections: accepts them, enforces the connection limit, and closes them.
pub(crate) struct DownstreamConnections {
    handler: Rc<dyn RequestHandler>,
    context: Rc<RuntimeContext>,
    /// Maximum number of open connections.
    limit: usize,
    memory: ClientMemory,
    /// The open connections. The key numbers the connections in the order in which they were accepted.
    open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// Number of connections accepted since the start, which is also the key of the latest one in `open`.
    accepted: Cell<u64>,
    /// Notified each time a connection has closed.
    closed: Notify,
    /// Set while a new connection waits for a free slot and none can be evicted. Each response then closes its
    /// connection.
    keep_alive_disabled: Cell<bool>,
    phase: watch::Sender<ShutdownPhase>,
}

impl DownstreamConnections {
    /// Creates the registry of the connections whose requests `handler` answers. The connection limit follows from
    /// `descriptors`, the number of file descriptors that clients and backends may use, and from `memory`, the memory
    /// limit of the process in bytes, which also gives the limits on what clients make the gateway hold.
    pub(crate) fn new(
        handler: Rc<dyn RequestHandler>,
        context: Rc<RuntimeContext>,
        descriptors: usize,
        memory: usize,
    ) -> Rc<DownstreamConnections> {
        Rc::new(DownstreamConnections {
            handler,
            context,
            limit: client_connection_limit(descriptors, memory),
            memory: ClientMemory::new(memory),
            open: RefCell::default(),
            accepted: Cell::new(0),
            closed: Notify::new(),
            keep_alive_disabled: Cell::new(false),
            phase: watch::Sender::new(ShutdownPhase::Serving),
        })
    }

    /// Accepts connections for as long as the gateway runs, including during a graceful shutdown.
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
        let connection = Rc::new(ConnectionState::new(
            self.context.clock.now(),
            stream,
            self.memory.read_buffer_budget(),
        ));
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        self.open.borrow_mut().insert(number, connection.clone());
        tokio::task::spawn_local(self.clone().serve(number, connection));
    }

    /// Periodically closes connections that have timed out or whose client has disconnected, for as long as the gateway
    /// runs. Its timer also serves to detect stalls of the event loop.
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
            let has_ended =
                connection.awaits_response() && connection.read_ahead_now() == ClientInput::Ended;
            if has_ended {
                connection.request_close(CloseMode::Immediate);
            } else if let Some(mode) = connection.timeout_close_mode(now) {
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
