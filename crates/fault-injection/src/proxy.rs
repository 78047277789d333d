//! A TCP and UDP proxy between two processes that applies the conditions of a link.
//!
//! A process connects to the proxy's address instead of the other process's. The proxy cannot reproduce two things. A
//! connection attempt into a blackhole succeeds, since the system accepts it before the proxy sees it, and the
//! connection then stays silent. A connection attempt to a process that is not running succeeds too, and is reset right
//! afterwards.

use crate::link::{increment, Direction, RETRANSMISSION};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{tcp, TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

/// The most bytes that one read of a TCP stream returns.
const CHUNK_BYTES: usize = 16 * 1024;
/// The most chunks in flight in one direction of a connection; beyond that, flow control stops the sender.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// The size of the receive buffer for datagrams, no less than the longest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// The most datagrams in flight on a link; further ones are lost.
const MAX_DATAGRAMS_IN_FLIGHT: u64 = 4096;
/// The pause before a failed bind or accept is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long a truncated connection stays open, so that the receiver can read the bytes that passed before the reset
/// discards them.
const TRUNCATION_PAUSE: Duration = Duration::from_millis(50);

/// A link from one process to another, with the conditions in both directions.
pub struct Proxy {
    /// The proxy's own address, with which the connecting process is configured in place of the target's.
    pub listen_address: SocketAddr,
    /// The address of the process behind the proxy.
    pub target_address: SocketAddr,
    /// The direction from the connecting process to the target.
    pub outbound: Arc<Direction>,
    /// The direction from the target to the connecting process.
    pub inbound: Arc<Direction>,
}

/// A chunk of a TCP stream, or the error that ended the stream, and when to forward it.
struct DueChunk {
    due: Instant,
    /// Empty at the end of the stream.
    read: io::Result<Vec<u8>>,
}

impl Proxy {
    /// Binds the proxy's address on TCP and UDP, and forwards traffic until the current runtime shuts down.
    ///
    /// # Errors
    ///
    /// Returns the error of a bind that fails.
    pub async fn start(self) -> io::Result<()> {
        let listener = listen(self.listen_address)?;
        let socket = UdpSocket::bind(self.listen_address).await?;
        let proxy = Arc::new(self);
        tokio::spawn(proxy.clone().accept_connections(listener));
        tokio::spawn(proxy.forward_datagrams(Arc::new(socket)));
        Ok(())
    }

    async fn accept_connections(self: Arc<Self>, mut listener: TcpListener) {
        let mut conditions = self.outbound.watch_conditions();
        loop {
            if conditions.borrow_and_update().reject_connections {
                increment(&self.outbound.counters.rejecting_periods);
                drop(listener);
                let accepting = conditions.wait_for(|conditions| !conditions.reject_connections);
                if accepting.await.is_err() {
                    return;
                }
                listener = rebind(self.listen_address).await;
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => { tokio::spawn(self.clone().forward_connection(stream)); }
                    Err(_) => sleep(RETRY_PAUSE).await,
                },
                changed = conditions.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn forward_connection(self: Arc<Self>, mut downstream: TcpStream) {
        let mut outbound_resets = self.outbound.watch_resets();
        let mut inbound_resets = self.inbound.watch_resets();
        let Ok(mut upstream) = TcpStream::connect(self.target_address).await else {
            reset_on_close(&downstream);
            return;
        };
        for stream in [&downstream, &upstream] {
            // A failure only delays chunks.
            let _ = stream.set_nodelay(true);
        }
        let reset = {
            let (downstream_reader, downstream_writer) = downstream.split();
            let (upstream_reader, upstream_writer) = upstream.split();
            let both = async {
                tokio::try_join!(
                    forward_stream(downstream_reader, upstream_writer, &self.outbound),
                    forward_stream(upstream_reader, downstream_writer, &self.inbound)
                )
            };
            tokio::select! {
                ended = both => ended.is_err(),
                _ = outbound_resets.changed() => true,
                _ = inbound_resets.changed() => true,
            }
        };
        if reset {
            increment(&self.outbound.counters.closed);
            reset_on_close(&downstream);
            reset_on_close(&upstream);
        }
    }

    async fn forward_datagrams(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let in_flight = Arc::new(AtomicU64::new(0));
        // Most links of a large fleet never carry a datagram, so the buffer is allocated only when the first one
        // arrives.
        if socket.readable().await.is_err() {
            return;
        }
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram found no receiver.
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let delivery = self.outbound.plan_datagram(length);
            let mut bytes = buffer[..length].to_vec();
            if delivery.corrupted {
                self.outbound.corrupt(&mut bytes);
            }
            for delay in delivery.copy_delays {
                self.send_datagram(&socket, &bytes, delay, &in_flight).await;
            }
        }
    }

    /// Sends a datagram at once, or in a task of its own if there is a delay.
    async fn send_datagram(
        self: &Arc<Self>,
        socket: &Arc<UdpSocket>,
        bytes: &[u8],
        delay: Duration,
        in_flight: &Arc<AtomicU64>,
    ) {
        if delay.is_zero() {
            self.deliver_datagram(socket, bytes).await;
        } else if in_flight.fetch_add(1, Ordering::Relaxed) >= MAX_DATAGRAMS_IN_FLIGHT {
            in_flight.fetch_sub(1, Ordering::Relaxed);
            increment(&self.outbound.counters.lost);
        } else {
            let proxy = self.clone();
            let socket = socket.clone();
            let bytes = bytes.to_vec();
            let in_flight = in_flight.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                proxy.deliver_datagram(&socket, &bytes).await;
                in_flight.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn deliver_datagram(&self, socket: &UdpSocket, bytes: &[u8]) {
        // A datagram without a receiver is lost, as on any network.
        if socket.send_to(bytes, self.target_address).await.is_ok() {
            let counters = &self.outbound.counters;
            increment(&counters.datagrams);
            counters
                .datagram_bytes
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(128)
}

/// Binds the address again. Retries, since connections that are still closing can keep the address in use for a moment.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Makes a later close of a stream send a TCP reset.
fn reset_on_close(stream: &TcpStream) {
    // The option cannot be set on a stream that is closed already, and has no use there.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction of a connection until the stream ends. After an error, the caller resets both sides.
async fn forward_stream(
    from: tcp::ReadHalf<'_>,
    to: tcp::WriteHalf<'_>,
    direction: &Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::try_join!(
        read_chunks(from, sender, direction),
        write_chunks(receiver, to, direction)
    )
    .map(|_| ())
}

/// Reads chunks and decides when each is forwarded, never before the one that precedes it.
async fn read_chunks(
    mut from: tcp::ReadHalf<'_>,
    sender: mpsc::Sender<DueChunk>,
    direction: &Direction,
) -> io::Result<()> {
    let mut due = Instant::now();
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let read = from.read(&mut bytes).await.map(|length| {
            bytes.truncate(length);
            bytes
        });
        let length = read.as_ref().map_or(0, Vec::len);
        let conditions = direction.conditions();
        let retransmitted = direction.occurs(conditions.loss);
        let mut delay = direction.random_delay(conditions.delay_ms, conditions.jitter_ms);
        delay += direction
            .rate_limit_delay(&conditions, length, false)
            .unwrap_or_default();
        if retransmitted {
            increment(&direction.counters.lost);
            delay += RETRANSMISSION;
        }
        if delay > Duration::ZERO {
            increment(&direction.counters.delayed);
        }
        due = due.max(Instant::now() + delay);
        let ended = length == 0;
        if sender.send(DueChunk { due, read }).await.is_err() || ended {
            return Ok(());
        }
    }
}

/// Forwards each chunk when it is due; a blackhole holds chunks back until the blackhole ends.
async fn write_chunks(
    mut receiver: mpsc::Receiver<DueChunk>,
    mut to: tcp::WriteHalf<'_>,
    direction: &Direction,
) -> io::Result<()> {
    let mut conditions = direction.watch_conditions();
    while let Some(chunk) = receiver.recv().await {
        if chunk.due > Instant::now() {
            sleep_until(chunk.due).await;
        }
        if conditions.borrow_and_update().blackhole {
            increment(&direction.counters.stalled);
            // This cannot fail: the direction outlives its connections.
            let _ = conditions
                .wait_for(|conditions| !conditions.blackhole)
                .await;
        }
        let mut bytes = chunk.read?;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        let probability = conditions.borrow().corrupt;
        if direction.occurs(probability) {
            direction.corrupt(&mut bytes);
        }
        if let Some(remaining) = direction.truncate_within(bytes.len()) {
            to.write_all(&bytes[..remaining]).await?;
            to.flush().await?;
            sleep(TRUNCATION_PAUSE).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&bytes).await?;
        direction
            .counters
            .bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}
