//! One HTTP connection to a backend, and how it is dialed.

use super::socket::{ConnectionSocket, SocketIo};
use crate::net::runtime::capacity::CONNECTION_BUFFER_BYTES;
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

/// A connection to a backend; dropped, it is closed at once.
pub(crate) struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// The socket below the HTTP library.
    pub socket: Rc<ConnectionSocket>,
    task: AbortHandle,
    /// The address to which it was dialed.
    pub(super) address: SocketAddr,
    /// When its last response had been received to the end; `None` while it has carried none.
    pub(super) last_response_at: Option<Millis>,
}

impl Connection {
    /// Starts HTTP/1.1 on a stream to `address`, with a task of its own for as long as the
    /// connection lasts.
    ///
    /// # Errors
    ///
    /// If the options of the socket cannot be set, or the HTTP library does not start.
    pub(super) async fn start(
        stream: TcpStream,
        address: SocketAddr,
    ) -> Result<Connection, DialError> {
        stream.set_nodelay(true)?;
        let socket = Rc::new(ConnectionSocket::new(stream));
        let (sender, connection) = Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .handshake(TokioIo::new(SocketIo(socket.clone())))
            .await?;
        let closed_socket = socket.clone();
        let task = tokio::task::spawn_local(async move {
            // An attempt on the connection learns from its sender how the connection ended.
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

    /// Whether another request may be sent: the connection is open, and nothing has followed its
    /// last response.
    pub(super) fn is_reusable(&self) -> bool {
        let is_new = self.last_response_at.is_none();
        !self.sender.is_closed() && (is_new || self.socket.is_open_and_silent())
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
    #[error("the backend takes no new requests")]
    EndpointUnavailable,
    /// The backend did not answer within the dial timeout.
    #[error("no connection within the dial timeout")]
    Timeout,
    /// The connection could not be opened.
    #[error("the connection could not be opened")]
    Io(#[from] io::Error),
    /// The HTTP library did not start on the connection.
    #[error("HTTP did not start on the connection")]
    Http(#[from] hyper::Error),
}

impl DialError {
    /// Which side made the dial fail.
    pub(super) fn failure(&self) -> DialFailure {
        match self {
            DialError::EndpointUnavailable => DialFailure::Local,
            DialError::Timeout | DialError::Http(_) => DialFailure::Remote,
            DialError::Io(error) => failure_of(error.kind()),
        }
    }
}

/// Which side an error of a socket tells of. What is not known to come from the backend or the
/// network, such as a lack of file descriptors, is this gateway's own.
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
