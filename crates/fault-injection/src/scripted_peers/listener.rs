//! Listening sockets of scripted backends and discovery services.

use super::{wait_for, ScriptedConnection};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use tokio::net::TcpSocket;

/// A listening socket on a loopback port of its own.
pub struct TestListener {
    /// The socket.
    pub socket: TcpListener,
}

impl TestListener {
    // There is no `Default`, since a default value that binds a port would surprise.
    /// Listens on a port that the system chooses.
    #[allow(clippy::new_without_default)]
    pub fn new() -> TestListener {
        TestListener {
            socket: TcpListener::bind("127.0.0.1:0").expect("a free port"),
        }
    }

    /// The address on which this listener accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound address")
    }

    /// Waits for the next connection that the gateway opens to this listener.
    pub fn accept(&self) -> ScriptedConnection {
        wait_for("a connection", || self.try_accept())
    }

    /// Waits for the next connection, and reads its first request, which must have this start line.
    pub fn accept_request(&self, start_line: &str) -> ScriptedConnection {
        let mut connection = self.accept();
        assert_eq!(connection.read().start_line, start_line);
        connection
    }

    /// Waits for the next connection; `None` if the gateway sends something to `client` first.
    pub fn accept_unless_answered(
        &self,
        client: &ScriptedConnection,
    ) -> Option<ScriptedConnection> {
        accept_any_unless_answered(std::slice::from_ref(self), client)
            .map(|(_, connection)| connection)
    }

    /// The connection at the head of the accept queue, if there is one.
    pub fn try_accept(&self) -> Option<ScriptedConnection> {
        self.socket.set_nonblocking(true).unwrap();
        match self.socket.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                Some(ScriptedConnection::new(stream))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => panic!("{error}"),
        }
    }

    /// Whether there was a connection in the accept queue. That connection is accepted and dropped.
    pub fn has_pending_connection(&self) -> bool {
        self.try_accept().is_some()
    }
}

/// Waits for the next connection to any of these listeners, and returns it with the listener's index; `None` if the
/// gateway sends something to `client` first.
pub fn accept_any_unless_answered(
    listeners: &[TestListener],
    client: &ScriptedConnection,
) -> Option<(usize, ScriptedConnection)> {
    wait_for("a connection or a response", || {
        match try_accept_any(listeners) {
            Some(accepted) => Some(Some(accepted)),
            None => client.is_readable().then_some(None),
        }
    })
}

/// The first connection in the accept queue of any of these listeners, with the listener's index.
pub(super) fn try_accept_any(listeners: &[TestListener]) -> Option<(usize, ScriptedConnection)> {
    listeners
        .iter()
        .enumerate()
        .find_map(|(index, listener)| listener.try_accept().map(|connection| (index, connection)))
}

/// A listener whose accept queue is full: the system leaves a further connection attempt unanswered until the fillers
/// have been accepted.
pub struct FullBacklog {
    /// The listener.
    pub listener: TestListener,
    /// The connections that fill its accept queue.
    pub fillers: Vec<TcpStream>,
}

/// Opens a listener and fills its accept queue.
pub fn listener_with_full_backlog() -> FullBacklog {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("a runtime");
    let socket = runtime.block_on(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().unwrap())
            .expect("a free port");
        socket
            .listen(1)
            .expect("a listener")
            .into_std()
            .expect("a listener")
    });
    let listener = TestListener { socket };
    // Linux queues one connection more than the given backlog.
    let fillers = (0..2)
        .map(|_| TcpStream::connect(listener.address()).expect("a queue for two"))
        .collect();
    FullBacklog { listener, fillers }
}

/// An address that refuses connections.
pub struct RefusingAddress {
    /// The address.
    pub address: SocketAddr,
    /// A bound socket that does not listen; while it is held, no other process gets the port.
    pub reserved: TcpSocket,
}

/// Reserves an address that refuses connections.
pub fn refusing_address() -> RefusingAddress {
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved
        .bind("127.0.0.1:0".parse().unwrap())
        .expect("a free port");
    RefusingAddress {
        address: reserved.local_addr().expect("a bound address"),
        reserved,
    }
}
