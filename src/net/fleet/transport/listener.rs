//! The listener: accepts connections that peers dialed, and runs them after their handshake.

use super::handshake::{ConnectionHalves, EstablishedConnection, HandshakeError, Hello};
use super::peer::{Direction, Peer};
use super::Transport;
use crate::net::fleet::frame::ConnectionError;
use crate::net::runtime::capacity::ACCEPT_RETRY_DELAY;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

impl Transport {
    /// Accepts connections for as long as the gateway runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.inbound.get() < self.section.max_inbound => {
                    self.inbound.set(self.inbound.get() + 1);
                    let transport = self.clone();
                    tokio::task::spawn_local(async move {
                        transport.serve(stream).await;
                        transport.inbound.set(transport.inbound.get() - 1);
                    });
                }
                Ok(_) => self.counters.borrow_mut().over_limit += 1,
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Performs the handshake on an accepted connection and runs the connection until it closes.
    async fn serve(self: &Rc<Self>, stream: TcpStream) {
        // If this fails, frames are delayed but still correct.
        let _ = stream.set_nodelay(true);
        let mut halves = ConnectionHalves::new(stream, self.codec);
        let handshake = timeout(
            self.section.handshake_timeout,
            self.answer_hello(&mut halves),
        );
        let hello = match handshake.await {
            Ok(Ok(hello)) => hello,
            Ok(Err(error)) => return self.record_failed_handshake(&error),
            Err(_elapsed) => return self.counters.borrow_mut().timed_out += 1,
        };
        let Some(peer) = self.peer(&hello.name) else {
            return self.counters.borrow_mut().over_limit += 1;
        };
        let connection = halves.establish(hello.instance_id);
        if self.keeps_outbound(&peer, &connection) {
            return self.clone().drain(peer, connection).await;
        }
        self.run_connection(&peer, connection, Direction::Inbound)
            .await;
        self.remove_if_unused(&peer);
    }

    async fn answer_hello(&self, halves: &mut ConnectionHalves) -> Result<Hello, HandshakeError> {
        let hello = self.receive_hello(&mut halves.reader).await?;
        self.send_hello(&mut halves.writer, &hello.name).await?;
        Ok(hello)
    }

    /// Whether a connection that this gateway dialed to the same process is kept, and the inbound
    /// one is not.
    fn keeps_outbound(&self, peer: &Peer, inbound: &EstablishedConnection) -> bool {
        let dialed_same_process = peer.connection.borrow().as_ref().is_some_and(|connection| {
            connection.direction == Direction::Outbound
                && connection.instance_id == inbound.instance_id
        });
        dialed_same_process && self.local_name_sorts_first(peer)
    }

    fn record_failed_handshake(&self, error: &HandshakeError) {
        if let HandshakeError::Connection(ConnectionError::Frame(error)) = error {
            self.counters.borrow_mut().record_rejected(*error);
        }
    }
}
