//! A link: what one process dials to reach another, with faults on it.
//!
//! A link carries TCP and UDP from an address of its own to the address of the process behind it. Each direction has a
//! [`Quality`] of its own, shared by all that flows that way, whoever dialled. On TCP nothing is ever lost or reordered,
//! as the system's own resending hides that: a lost packet shows as a delay ([`RESENT`]).
//!
//! What a link cannot play: a dial into a cut comes up, since the system answers it before the rig sees it, and then
//! stays silent; a process that is not there shows as a reset right after the dial.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{tcp, TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};

/// What a lost packet costs a TCP stream: the least time after which Linux sends one again (RFC 6298, its `RTO_MIN`).
const RESENT: Duration = Duration::from_millis(200);
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Chunks of one direction of a connection that are under way at most; beyond that the sender is made to wait.
const UNDER_WAY: usize = 64;
/// Longest datagram that there is, and a little more.
const LONGEST_DATAGRAM: usize = 64 * 1024;
/// Datagrams of a link that are under way at most; further ones are lost.
const DATAGRAMS: u64 = 4096;
/// Longest queue, in time, in front of a rate limit; datagrams beyond it are lost.
const QUEUE: Duration = Duration::from_secs(1);

/// How well one direction of a link carries. The default carries all at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quality {
    /// Nothing passes and nobody is told. What TCP holds passes when the cut ends.
    pub cut: bool,
    /// Dials are refused, and what is open is reset.
    pub refuse: bool,
    /// One way, ms.
    pub delay_ms: f64,
    /// Added evenly from nought to this, ms. Datagrams overtake each other by it.
    pub spread_ms: f64,
    /// Part of the datagrams that is lost; of the chunks on TCP that come late by [`RESENT`].
    pub loss: f64,
    /// Part of the datagrams that comes twice.
    pub duplicate: f64,
    /// Part of the datagrams that comes later than it should, by up to four delays and 20 ms.
    pub reorder: f64,
    /// Part of the datagrams and chunks in which one byte is changed.
    pub damage: f64,
    /// Bytes a second at most.
    pub bytes_per_s: Option<f64>,
}

impl Quality {
    /// How a direction carries with both of these on it.
    pub fn and(&self, other: &Quality) -> Quality {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Quality {
            cut: self.cut || other.cut,
            refuse: self.refuse || other.refuse,
            delay_ms: self.delay_ms + other.delay_ms,
            spread_ms: self.spread_ms + other.spread_ms,
            loss: either(self.loss, other.loss),
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            damage: either(self.damage, other.damage),
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

/// What a direction of a link has done, so that a fault can be seen to have acted.
#[derive(Debug, Default)]
pub struct Acted {
    /// Bytes that passed on TCP.
    pub bytes: AtomicU64,
    /// Datagrams that passed.
    pub datagrams: AtomicU64,
    /// Bytes of these.
    pub datagram_bytes: AtomicU64,
    /// Datagrams lost by chance, to a cut, or to a full queue.
    pub lost: AtomicU64,
    /// Chunks held by a cut.
    pub held: AtomicU64,
    /// Datagrams that came twice.
    pub duplicated: AtomicU64,
    /// Datagrams put back.
    pub reordered: AtomicU64,
    /// Datagrams and chunks with a changed byte.
    pub damaged: AtomicU64,
    /// Chunks and datagrams that waited for a delay or a rate.
    pub delayed: AtomicU64,
    /// Connections that were reset or halved.
    pub ended: AtomicU64,
    /// Spells in which dials were refused.
    pub refusals: AtomicU64,
}

impl Acted {
    /// The figures by name.
    pub fn figures(&self) -> serde_json::Value {
        let of = |figure: &AtomicU64| figure.load(Ordering::Relaxed);
        serde_json::json!({
            "bytes": of(&self.bytes), "datagrams": of(&self.datagrams), "datagram_bytes": of(&self.datagram_bytes),
            "lost": of(&self.lost), "held": of(&self.held), "duplicated": of(&self.duplicated),
            "reordered": of(&self.reordered), "damaged": of(&self.damaged), "delayed": of(&self.delayed),
            "ended": of(&self.ended), "refusals": of(&self.refusals),
        })
    }
}

fn count(figure: &AtomicU64) {
    figure.fetch_add(1, Ordering::Relaxed);
}

/// One direction between two processes.
pub struct Direction {
    quality: watch::Sender<Quality>,
    /// Counts the resets that were asked for.
    resets: watch::Sender<u64>,
    /// Bytes after which the connection that next carries some is cut short; none is [`u64::MAX`].
    half: AtomicU64,
    chance: Mutex<StdRng>,
    /// When the rate limit has passed on all that it was given.
    free: Mutex<Instant>,
    /// What it has done.
    pub acted: Acted,
}

/// What becomes of a datagram.
struct Fate {
    /// When each copy of it is passed on.
    copies: Vec<Duration>,
    damaged: bool,
}

impl Direction {
    /// A direction without faults whose chance comes from `seed`.
    pub fn new(seed: u64) -> Arc<Direction> {
        Arc::new(Direction {
            quality: watch::Sender::new(Quality::default()),
            resets: watch::Sender::new(0),
            half: AtomicU64::new(u64::MAX),
            chance: Mutex::new(StdRng::seed_from_u64(seed)),
            free: Mutex::new(Instant::now()),
            acted: Acted::default(),
        })
    }

    /// Changes how it carries, from now on.
    pub fn set(&self, quality: Quality) {
        if quality.refuse {
            self.reset();
        }
        self.quality.send_replace(quality);
    }

    /// How it carries now.
    pub fn quality(&self) -> Quality {
        self.quality.borrow().clone()
    }

    /// Resets every connection that is open.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Lets `bytes` more pass on the connection that next carries some, and ends it there.
    pub fn halve(&self, bytes: u64) {
        self.half.store(bytes, Ordering::Relaxed);
    }

    fn chance(&self, part: f64) -> bool {
        part > 0.0
            && self
                .chance
                .lock()
                .expect("no panic")
                .random_bool(part.clamp(0.0, 1.0))
    }

    /// A time of `base` ms and evenly up to `spread` ms more.
    fn time(&self, base: f64, spread: f64) -> Duration {
        let more = if spread > 0.0 {
            self.chance
                .lock()
                .expect("no panic")
                .random_range(0.0..spread)
        } else {
            0.0
        };
        Duration::try_from_secs_f64((base + more) / 1000.0).unwrap_or_default()
    }

    /// How long this many bytes wait at the rate limit; `None` if its queue is too long for a datagram.
    fn rated(&self, quality: &Quality, bytes: usize, may_drop: bool) -> Option<Duration> {
        let Some(rate) = quality.bytes_per_s.filter(|rate| *rate > 0.0) else {
            return Some(Duration::ZERO);
        };
        let now = Instant::now();
        let mut free = self.free.lock().expect("no panic");
        let from = (*free).max(now);
        if may_drop && from - now > QUEUE {
            return None;
        }
        *free = from + Duration::try_from_secs_f64(bytes as f64 / rate).unwrap_or(QUEUE);
        Some(*free - now)
    }

    fn damage(&self, bytes: &mut [u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut chance = self.chance.lock().expect("no panic");
        let place = chance.random_range(0..bytes.len());
        bytes[place] ^= 1 << chance.random_range(0..8u32);
        count(&self.acted.damaged);
    }

    fn fate(&self, bytes: usize) -> Fate {
        let quality = self.quality();
        let lost = quality.cut || quality.refuse || self.chance(quality.loss);
        let Some(queued) = self.rated(&quality, bytes, true).filter(|_| !lost) else {
            count(&self.acted.lost);
            return Fate {
                copies: Vec::new(),
                damaged: false,
            };
        };
        let mut first = queued + self.time(quality.delay_ms, quality.spread_ms);
        if self.chance(quality.reorder) {
            count(&self.acted.reordered);
            first += self.time(1.0, 4.0 * quality.delay_ms + 20.0);
        }
        let mut copies = vec![first];
        if self.chance(quality.duplicate) {
            count(&self.acted.duplicated);
            copies.push(first + self.time(0.0, quality.delay_ms + 5.0));
        }
        if first > Duration::ZERO {
            count(&self.acted.delayed);
        }
        Fate {
            copies,
            damaged: self.chance(quality.damage),
        }
    }
}

/// A link: both directions, and where it leads.
pub struct Link {
    /// Its own address, that the dialling process is told.
    pub at: SocketAddr,
    /// Where the process behind it listens.
    pub to: SocketAddr,
    /// From the one that dials.
    pub forth: Arc<Direction>,
    /// To the one that dials.
    pub back: Arc<Direction>,
}

impl Link {
    /// Binds the link's address and carries until the runtime ends.
    pub async fn open(self) -> io::Result<()> {
        let (listener, socket) = (listen(self.at)?, UdpSocket::bind(self.at).await?);
        let link = Arc::new(self);
        tokio::spawn(link.clone().streams(listener));
        tokio::spawn(link.datagrams(Arc::new(socket)));
        Ok(())
    }

    async fn streams(self: Arc<Self>, mut listener: TcpListener) {
        let mut quality = self.forth.quality.subscribe();
        loop {
            if quality.borrow_and_update().refuse {
                count(&self.forth.acted.refusals);
                drop(listener);
                if quality.wait_for(|quality| !quality.refuse).await.is_err() {
                    return;
                }
                listener = loop {
                    match listen(self.at) {
                        Ok(listener) => break listener,
                        Err(_) => sleep(Duration::from_millis(5)).await,
                    }
                };
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => { tokio::spawn(self.clone().stream(stream)); }
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
                changed = quality.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn stream(self: Arc<Self>, mut near: TcpStream) {
        let (mut resets_forth, mut resets_back) =
            (self.forth.resets.subscribe(), self.back.resets.subscribe());
        let Ok(mut far) = TcpStream::connect(self.to).await else {
            abort(&near);
            return;
        };
        for stream in [&near, &far] {
            // Without it chunks come later, not wrong.
            let _ = stream.set_nodelay(true);
        }
        let cut_short = {
            let (near_in, near_out) = near.split();
            let (far_in, far_out) = far.split();
            let both = async {
                tokio::try_join!(
                    pump(near_in, far_out, &self.forth),
                    pump(far_in, near_out, &self.back)
                )
            };
            tokio::select! {
                ended = both => ended.is_err(),
                _ = resets_forth.changed() => true,
                _ = resets_back.changed() => true,
            }
        };
        if cut_short {
            count(&self.forth.acted.ended);
            abort(&near);
            abort(&far);
        }
    }

    async fn datagrams(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let under_way = Arc::new(AtomicU64::new(0));
        // Most links of a large fleet carry no datagram: room for one is taken with the first.
        if socket.readable().await.is_err() {
            return;
        }
        let mut buffer = vec![0; LONGEST_DATAGRAM];
        loop {
            // An error is the echo of an earlier datagram that nobody was there to hear.
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let fate = self.forth.fate(length);
            let mut bytes = buffer[..length].to_vec();
            if fate.damaged {
                self.forth.damage(&mut bytes);
            }
            for after in fate.copies {
                if after.is_zero() {
                    pass(&socket, &bytes, self.to, &self.forth).await;
                } else if under_way.fetch_add(1, Ordering::Relaxed) >= DATAGRAMS {
                    under_way.fetch_sub(1, Ordering::Relaxed);
                    count(&self.forth.acted.lost);
                } else {
                    let (link, socket, bytes) = (self.clone(), socket.clone(), bytes.clone());
                    let under_way = under_way.clone();
                    tokio::spawn(async move {
                        sleep(after).await;
                        pass(&socket, &bytes, link.to, &link.forth).await;
                        under_way.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            }
        }
    }
}

async fn pass(socket: &UdpSocket, bytes: &[u8], to: SocketAddr, direction: &Direction) {
    // Nobody may be there: a datagram to nobody is lost, as on any network.
    if socket.send_to(bytes, to).await.is_ok() {
        count(&direction.acted.datagrams);
        direction
            .acted
            .datagram_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(128)
}

/// Makes the end of a stream a reset.
fn abort(stream: &TcpStream) {
    // One that is gone already has no end to be changed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Carries one direction of a connection to its end; an error means that both sides are to be reset.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    direction: &Direction,
) -> io::Result<()> {
    let (sender, mut receiver) = mpsc::channel::<(Instant, io::Result<Vec<u8>>)>(UNDER_WAY);
    let read = async move {
        let mut due = Instant::now();
        loop {
            let mut bytes = vec![0; CHUNK];
            let came = from.read(&mut bytes).await.map(|length| {
                bytes.truncate(length);
                bytes
            });
            let length = came.as_ref().map_or(0, Vec::len);
            let quality = direction.quality();
            let late = direction.chance(quality.loss);
            let mut wait = direction.time(quality.delay_ms, quality.spread_ms);
            wait += direction.rated(&quality, length, false).unwrap_or_default();
            if late {
                count(&direction.acted.lost);
                wait += RESENT;
            }
            if wait > Duration::ZERO {
                count(&direction.acted.delayed);
            }
            due = due.max(Instant::now() + wait);
            let over = length == 0;
            if sender.send((due, came)).await.is_err() || over {
                return Ok(());
            }
        }
    };
    let write = async move {
        let mut quality = direction.quality.subscribe();
        while let Some((due, came)) = receiver.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            if quality.borrow_and_update().cut {
                count(&direction.acted.held);
                // The direction outlives its connections.
                let _ = quality.wait_for(|quality| !quality.cut).await;
            }
            let mut bytes = came?;
            if bytes.is_empty() {
                return to.shutdown().await;
            }
            let part = quality.borrow().damage;
            if direction.chance(part) {
                direction.damage(&mut bytes);
            }
            let half = direction.half.load(Ordering::Relaxed);
            if half <= bytes.len() as u64 {
                direction.half.store(u64::MAX, Ordering::Relaxed);
                to.write_all(&bytes[..half as usize]).await?;
                to.flush().await?;
                // What was let through is to be read before the reset takes it away.
                sleep(Duration::from_millis(50)).await;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if half != u64::MAX {
                direction
                    .half
                    .store(half - bytes.len() as u64, Ordering::Relaxed);
            }
            to.write_all(&bytes).await?;
            direction
                .acted
                .bytes
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    };
    tokio::try_join!(read, write).map(|_| ())
}
