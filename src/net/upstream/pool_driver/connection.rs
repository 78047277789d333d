//! One HTTP/1.1 connection to a backend, and the errors of dials.

use super::socket::{ConnectionSocket, SocketIo};
use crate::net::runtime::capacity::CONNECTION_BUFFER_BYTES;
use crate::net::runtime::memory::MemoryBudget;
use cometspool::connection_pool::DialFailure;
use cometspool::Millis;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection to a backend; closed at once on drop.
pub(crate) struct Connection {
    /// Sends the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// The socket that the HTTP library uses.
    pub socket: Rc<ConnectionSocket>,
    task: AbortHandle,
    /// The address that was dialed.
    pub(super) address: SocketAddr,
    /// When the last response was complete, on the gateway's clock; `None` before the first.
    pub(super) last_response_at: Option<Millis>,
}

impl Connection {
    /// Starts HTTP/1.1 on a stream to `address`, and spawns a task that drives the connection until
    /// it ends. Memory for long response heads is reserved from `head_budget`.
    ///
    /// # Errors
    ///
    /// If the socket options cannot be set or the HTTP library cannot start.
    pub(super) async fn start(
        stream: TcpStream,
        address: SocketAddr,
        head_budget: MemoryBudget,
    ) -> Result<Connection, DialError> {
        stream.set_nodelay(true)?;
        let socket = Rc::new(ConnectionSocket::new(stream, head_budget));
        let (sender, connection) = Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .handshake(TokioIo::new(SocketIo(socket.clone())))
            .await?;
        let closed_socket = socket.clone();
        let task = tokio::task::spawn_local(async move {
            // An error reaches the attempt on the connection through its sender.
            let _ = connection.await;
            closed_socket.close();
        });
        Ok(Connection {
            sender,
            socket,
            task: task.abort_handle(),
            address,
            last_response_at: None,
        })
    }

    /// Whether another request may be sent: the connection is open, and no bytes have arrived after
    /// its last response.
    pub(super) fn is_reusable(&self) -> bool {
        let is_new = self.last_response_at.is_none();
        !self.sender.is_closed() && (is_new || self.socket.is_open_without_input())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
        self.task.abort();
    }
}

/// Why a dial failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DialError {
    /// The backend was removed or began to drain before the dial started.
    #[error("backend is removed or draining")]
    EndpointUnavailable,
    /// No connection was established within the dial timeout.
    #[error("connection not established within the dial timeout")]
    Timeout,
    /// The connection could not be opened.
    #[error("connection could not be opened")]
    Io(#[from] io::Error),
    /// The HTTP library could not start on the connection.
    #[error("HTTP could not be started on the connection")]
    Http(#[from] hyper::Error),
}

impl DialError {
    /// Which side caused the failure of the dial.
    pub(super) fn failure(&self) -> DialFailure {
        match self {
            DialError::EndpointUnavailable => DialFailure::Local,
            DialError::Timeout | DialError::Http(_) => DialFailure::Remote,
            DialError::Io(error) => failure_of(error.kind()),
        }
    }
}

/// Which side caused a socket error. An error that is not known to come from the backend or the
/// network, such as a lack of file descriptors, is attributed to this gateway.
fn failure_of(kind: io::ErrorKind) -> DialFailure {
    use io::ErrorKind::{
        BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable,
        InvalidInput, NetworkUnreachable, NotConnected, TimedOut, UnexpectedEof,
    };
    match kind {
        ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | HostUnreachable
        | NetworkUnreachable | BrokenPipe | NotConnected | UnexpectedEof | InvalidInput => {
            DialFailure::Remote
        }
        _ => DialFailure::Local,
    }
}
