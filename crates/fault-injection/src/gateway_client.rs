//! An HTTP/1.1 client for one gateway that reuses its connections.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The most idle connections to one gateway.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// A response with its complete body.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The headers, by lower-case name.
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// The gateway never received the request: there was no connection.
    #[error("cannot connect to the gateway")]
    NotConnected,
    /// The connection was closed after the request was written, before the first byte of the response.
    #[error("connection closed before the response")]
    Closed,
    /// The connection failed in the middle of the response.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// A client for one gateway.
pub(crate) struct GatewayClient {
    address: SocketAddr,
    idle_connections: Mutex<Vec<BufReader<TcpStream>>>,
}

impl GatewayClient {
    /// A client without connections.
    pub(crate) fn new(address: SocketAddr) -> GatewayClient {
        GatewayClient {
            address,
            idle_connections: Mutex::default(),
        }
    }

    /// Sends a request on an idle connection or a new one. If an idle connection is closed before the first byte of the
    /// response, its close crossed the request: the protocol requires the client to send the request once more, on a
    /// new connection.
    pub(crate) async fn send(&self, request: &str) -> Result<Response, RequestError> {
        let idle = self
            .idle_connections
            .lock()
            .expect("no panic while the connections are locked")
            .pop();
        if let Some(connection) = idle {
            if let Some(response) = self.send_on(connection, request).await? {
                return Ok(response);
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| RequestError::NotConnected)?;
        // A failure only delays requests.
        let _ = stream.set_nodelay(true);
        self.send_on(BufReader::new(stream), request)
            .await?
            .ok_or(RequestError::Closed)
    }

    /// Sends a request on a connection; `None` if the connection was closed or failed before the first byte of the
    /// response.
    async fn send_on(
        &self,
        mut connection: BufReader<TcpStream>,
        request: &str,
    ) -> io::Result<Option<Response>> {
        if connection.write_all(request.as_bytes()).await.is_err() {
            return Ok(None);
        }
        match connection.fill_buf().await {
            Ok([]) | Err(_) => return Ok(None),
            Ok(_) => {}
        }
        let response = Response::read(&mut connection).await?;
        if !response.closes_connection() {
            self.release(connection);
        }
        Ok(Some(response))
    }

    fn release(&self, connection: BufReader<TcpStream>) {
        let mut idle = self
            .idle_connections
            .lock()
            .expect("no panic while the connections are locked");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Whether the gateway's health check succeeds, on a connection of its own.
    pub(crate) async fn check_health(&self) -> io::Result<bool> {
        let mut connection = BufReader::new(TcpStream::connect(self.address).await?);
        connection
            .write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .await?;
        Ok(Response::read(&mut connection).await?.status == 200)
    }
}

impl Response {
    async fn read(connection: &mut BufReader<TcpStream>) -> io::Result<Response> {
        let mut line = String::new();
        connection.read_line(&mut line).await?;
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut headers = HashMap::new();
        loop {
            line.clear();
            if connection.read_line(&mut line).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        connection.read_exact(&mut body).await?;
        Ok(Response {
            status,
            headers,
            body,
        })
    }

    fn closes_connection(&self) -> bool {
        self.headers
            .get("connection")
            .is_some_and(|word| word.eq_ignore_ascii_case("close"))
    }
}
