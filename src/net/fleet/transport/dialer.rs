//! Dials to peers: the greeting of the side that dials, and the pauses before it dials again.

use super::handshake::{split, Reader};
use super::peer::Peer;
use super::Transport;
use crate::net::fleet::frame::ConnectionError;
use backon::{BackoffBuilder, ExponentialBuilder};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// First pause before a peer is dialled again; it doubles with each dial, and is drawn.
const FIRST_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest pause before a peer is dialled again.
const LONGEST_REDIAL_DELAY: Duration = Duration::from_secs(5);
/// Dials in a row without a link after which what waited is dropped: it is old by then.
const MAX_DIALS: usize = 6;

impl Transport {
    /// Dials a peer until nothing waits for it any more, or nobody answers.
    pub(super) async fn dial(self: Rc<Self>, peer: Rc<Peer>, address: SocketAddr) {
        let pauses = || {
            let backoff = ExponentialBuilder::default()
                .with_min_delay(FIRST_REDIAL_DELAY)
                .with_max_delay(LONGEST_REDIAL_DELAY);
            backoff.with_max_times(MAX_DIALS - 1).with_jitter().build()
        };
        let mut pause = pauses();
        loop {
            self.counters.borrow_mut().dials += 1;
            let hello = timeout(
                Duration::from_millis(self.section.hello_ms),
                self.connect(&peer, address),
            )
            .await;
            match hello {
                Ok(Ok((reader, writer, life))) => {
                    pause = pauses();
                    // Two that dialled each other keep the link of the one whose name comes first.
                    let theirs = peer
                        .link
                        .borrow()
                        .as_ref()
                        .is_some_and(|link| link.life == life);
                    if !theirs || *self.section.own < *peer.name {
                        self.run_link(&peer, reader, writer, true, life).await;
                    } else {
                        tokio::task::spawn_local(self.clone().drain(peer.clone(), reader, writer));
                    }
                }
                Ok(Err(why)) => self.record_failed_dial(why),
                Err(_elapsed) => self.counters.borrow_mut().dials_failed += 1,
            }
            if peer.link.borrow().is_some() {
                // The other side's dial came up meanwhile and carries what waits.
                peer.wake.notify_one();
                break;
            }
            if peer.outbox.borrow().is_empty() {
                break;
            }
            match pause.next() {
                Some(pause) => sleep(pause).await,
                None => {
                    peer.outbox.borrow_mut().clear();
                    break;
                }
            }
        }
        peer.dialling.set(false);
        self.forget(&peer);
    }

    async fn connect(
        &self,
        peer: &Peer,
        address: SocketAddr,
    ) -> Result<(Reader, OwnedWriteHalf, u64), ConnectionError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = split(stream, self.codec);
        self.send_hello(&mut writer, &peer.name).await?;
        let hello = self.receive_hello(&mut reader).await?;
        if hello.name != *peer.name {
            self.counters.borrow_mut().wrong_name += 1;
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable).into());
        }
        Ok((reader, writer, hello.life))
    }

    fn record_failed_dial(&self, why: ConnectionError) {
        let mut counters = self.counters.borrow_mut();
        counters.dials_failed += 1;
        if let ConnectionError::Frame(why) = why {
            counters.record_rejected(why);
        }
    }
}
