//! Dials peers: the dialing side of the handshake, and the backoff between attempts.

use super::handshake::{ConnectionHalves, EstablishedConnection, HandshakeError};
use super::peer::{Direction, Peer};
use super::Transport;
use crate::net::fleet::frame::ConnectionError;
use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Backoff after the first failed attempt to dial a peer. It doubles with each further attempt,
/// with jitter.
const MIN_REDIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between two attempts to dial a peer.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Number of consecutive failed attempts after which the frames queued for the peer are dropped:
/// they are out of date by then.
const MAX_DIAL_ATTEMPTS: usize = 6;

fn redial_backoff() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(MIN_REDIAL_BACKOFF)
        .with_max_delay(MAX_REDIAL_BACKOFF)
        .with_max_times(MAX_DIAL_ATTEMPTS - 1)
        .with_jitter()
        .build()
}

impl Transport {
    /// Dials a peer and runs the connection. Dials again as long as frames are queued, unless the
    /// peer has connected meanwhile or [`MAX_DIAL_ATTEMPTS`] attempts in a row have failed.
    pub(super) async fn dial(self: Rc<Self>, peer: Rc<Peer>, address: SocketAddr) {
        let mut backoff = redial_backoff();
        loop {
            self.counters.borrow_mut().dials += 1;
            let connecting = self.connect(&peer, address);
            match timeout(self.section.handshake_timeout, connecting).await {
                Ok(Ok(connection)) => {
                    backoff = redial_backoff();
                    self.run_outbound(&peer, connection).await;
                }
                Ok(Err(error)) => self.record_failed_dial(&error),
                Err(_elapsed) => self.counters.borrow_mut().dials_failed += 1,
            }
            if peer.is_connected() {
                // The peer has dialed this gateway meanwhile. That connection carries the queued
                // frames.
                peer.writable.notify_one();
                break;
            }
            if peer.outbox.borrow().is_empty() {
                break;
            }
            let Some(delay) = backoff.next() else {
                peer.outbox.borrow_mut().clear();
                break;
            };
            sleep(delay).await;
        }
        peer.dialing.set(false);
        self.remove_if_unused(&peer);
    }

    /// Runs a connection that this gateway dialed. If a connection to the same process is open and
    /// takes precedence, the new connection is drained instead.
    async fn run_outbound(self: &Rc<Self>, peer: &Rc<Peer>, connection: EstablishedConnection) {
        let same_process = peer
            .connection
            .borrow()
            .as_ref()
            .is_some_and(|open| open.instance_id == connection.instance_id);
        if !same_process || self.local_name_sorts_first(peer) {
            self.run_connection(peer, connection, Direction::Outbound)
                .await;
        } else {
            tokio::task::spawn_local(self.clone().drain(peer.clone(), connection));
        }
    }

    async fn connect(
        &self,
        peer: &Peer,
        address: SocketAddr,
    ) -> Result<EstablishedConnection, HandshakeError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut halves = ConnectionHalves::new(stream, self.codec);
        self.send_hello(&mut halves.writer, &peer.name).await?;
        let hello = self.receive_hello(&mut halves.reader).await?;
        if hello.name != *peer.name {
            self.counters.borrow_mut().wrong_name += 1;
            return Err(HandshakeError::WrongName);
        }
        Ok(halves.establish(hello.instance_id))
    }

    fn record_failed_dial(&self, error: &HandshakeError) {
        let mut counters = self.counters.borrow_mut();
        counters.dials_failed += 1;
        if let HandshakeError::Connection(ConnectionError::Frame(error)) = error {
            counters.record_rejected(*error);
        }
    }
}
