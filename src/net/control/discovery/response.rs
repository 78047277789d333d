//! One call to discovery: connects, sends the request and reads the JSON objects of the response.

use super::deadline::SILENCE_TIMEOUT;
use super::error::WatchError;
use super::object_framer::{FrameEvent, ObjectFramer};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

/// A response with status 200 whose body is being read. Dropping it closes the connection.
pub(super) struct WatchResponse {
    body: Incoming,
    framer: ObjectFramer,
    /// When the watch counts as silent if no object or heartbeat arrives before.
    silent_at: Instant,
    /// The task that drives the connection. A `JoinSet` aborts its tasks when it is dropped.
    _connection: JoinSet<hyper::Result<()>>,
    /// Kept while the body is read, since hyper shuts down a connection whose sender is dropped.
    _sender: SendRequest<Empty<Bytes>>,
}

impl WatchResponse {
    /// Requests `path` from `agent`. The connection and the response head together must arrive within
    /// `response_timeout`.
    ///
    /// # Errors
    /// No response head with status 200 arrived in time.
    pub(super) async fn open(
        agent: SocketAddr,
        path: &str,
        response_timeout: Duration,
    ) -> Result<WatchResponse, WatchError> {
        let respond_by = Instant::now() + response_timeout;
        let stream = timeout_at(respond_by, TcpStream::connect(agent))
            .await
            .map_err(|_| WatchError::ResponseTimeout)??;
        stream.set_nodelay(true)?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let mut connection = JoinSet::new();
        connection.spawn_local(driver);
        let request = Request::get(path)
            .header(HOST, agent.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = timeout_at(respond_by, sender.send_request(request))
            .await
            .map_err(|_| WatchError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        Ok(WatchResponse {
            body: response.into_body(),
            framer: ObjectFramer::default(),
            silent_at: Instant::now() + SILENCE_TIMEOUT,
            _connection: connection,
            _sender: sender,
        })
    }

    /// Passes each object to `apply` until the agent ends the body between two objects.
    ///
    /// # Errors
    /// An error of `apply`, or the reason why the body could not be read further.
    pub(super) async fn read_objects(
        &mut self,
        mut apply: impl FnMut(&[u8]) -> Result<(), WatchError>,
    ) -> Result<(), WatchError> {
        while let Some(chunk) = self.next_chunk().await? {
            for byte in chunk {
                match self.framer.push(byte)? {
                    FrameEvent::Incomplete => continue,
                    FrameEvent::Heartbeat => {}
                    FrameEvent::Object(object) => apply(&object)?,
                }
                self.silent_at = Instant::now() + SILENCE_TIMEOUT;
            }
        }
        Ok(())
    }

    /// The next bytes of the body; `None` at its end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, WatchError> {
        loop {
            let frame = match timeout_at(self.silent_at, self.body.frame()).await {
                Ok(Some(frame)) => frame?,
                Ok(None) if self.framer.is_between_objects() => return Ok(None),
                Err(elapsed) if self.framer.is_between_objects() => return Err(elapsed.into()),
                Ok(None) | Err(_) => return Err(WatchError::Truncated),
            };
            // Frames other than data are trailers, which are ignored.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}
