//! The way between front doors: a listener, and one kept connection per peer that is needed.
//!
//! A connection carries both ways, whoever dialled. It begins with a greeting each way, and ends when no whole frame came
//! for four beats: a peer that is silent, dribbles or does not read costs no more than its own connection and its outbox.

use super::frame::{encode_body, ConnectionError, Frame, FrameCodec, FrameError, FrameKind, HEADER_LENGTH};
use super::outbox::{Full, Lane, Outbox};
use crate::net::fleet_section::FleetSection;
use crate::net::room::NO_DESCRIPTOR;
use backon::{BackoffBuilder, ExponentialBuilder};
use cometspool_membership::LONGEST_NAME;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};
use tokio_stream::StreamExt;
use tokio_util::bytes::Bytes;
use tokio_util::codec::FramedRead;

/// First and longest pause before a peer is dialled again; between them it doubles, and is drawn.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// Dials in a row without a link after which what waited is dropped: it is old by then.
const TRIES: usize = 6;
/// Peers of whom something is kept at most.
const PEERS: usize = 4096;
/// Beats without a whole frame after which a link ends.
const SILENT: u32 = 4;

/// The first frame each way.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    name: String,
    /// Whom the sender means to greet: an address may have passed to another.
    to: String,
    /// Drawn at the sender's start.
    life: u64,
}

/// What went by and what was turned away.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Dials that were begun.
    pub dials: u64,
    /// Dials that gave no link.
    pub dials_failed: u64,
    /// Links that came up, dialled by whomever.
    pub up: u64,
    /// Links that ended.
    pub down: u64,
    /// Of these, for want of a whole frame in time, in either direction.
    pub silent: u64,
    /// Frames and their bytes, sent and read on links.
    pub sent: u64,
    pub sent_bytes: u64,
    pub read: u64,
    pub read_bytes: u64,
    /// Frames that found no room.
    pub full: u64,
    /// Hints dropped for newer ones.
    pub dropped: u64,
    /// Frames and datagrams turned away: no frames, or of no sound checksum; another version; fleet; generation; too long.
    pub mark: u64,
    pub checksum: u64,
    pub version: u64,
    pub fleet: u64,
    pub generation: u64,
    pub size: u64,
    /// Greetings for or from somebody else.
    pub wrong_name: u64,
    /// Frames of a kind that is not known here.
    pub unknown: u64,
    /// Connections closed for too many others.
    pub crowded: u64,
}

impl Counts {
    /// Notes why something was turned away.
    pub fn foreign(&mut self, why: FrameError) {
        *match why {
            FrameError::Magic => &mut self.mark,
            FrameError::Checksum => &mut self.checksum,
            FrameError::Version(_) => &mut self.version,
            FrameError::Fleet => &mut self.fleet,
            FrameError::Generation(_) => &mut self.generation,
            FrameError::Size(_) => &mut self.size,
        } += 1;
    }
}

/// A link that is up.
struct Link {
    number: u64,
    dialled: bool,
    life: u64,
    end: Rc<Ending>,
}

/// Asks a link to end. What was written on it is still read: only between two frames, and only then, its writing ends.
#[derive(Default)]
struct Ending {
    asked: Cell<bool>,
    wake: Notify,
}

impl Ending {
    fn ask(&self) {
        self.asked.set(true);
        self.wake.notify_one();
    }
}

struct Peer {
    name: Rc<str>,
    outbox: RefCell<Outbox>,
    wake: Notify,
    link: RefCell<Option<Link>>,
    dialling: Cell<bool>,
    /// When it was last needed.
    used: Cell<Instant>,
}

/// The end of a connection that frames are read from.
type Reader = FramedRead<OwnedReadHalf, FrameCodec>;

/// Takes in the frames that come on links.
type Taker = dyn Fn(&str, &Frame);

/// The way.
pub struct Way {
    section: FleetSection,
    /// What frames of this fleet carry.
    pub codec: FrameCodec,
    life: u64,
    peers: RefCell<HashMap<Rc<str>, Rc<Peer>>>,
    taker: RefCell<Option<Rc<Taker>>>,
    /// What went by.
    pub counts: RefCell<Counts>,
    links: Cell<u64>,
    accepted: Cell<usize>,
}

/// Why a link ended.
enum End {
    Closed,
    Silent,
    Idle,
    ConnectionError(ConnectionError),
}

impl Way {
    /// The way of a front door whose present life is `life`.
    pub fn new(section: FleetSection, life: u64) -> Rc<Way> {
        let codec = FrameCodec::new(&section.fleet, section.generation, section.frame_bytes);
        Rc::new(Way {
            section,
            codec,
            life,
            peers: RefCell::default(),
            taker: RefCell::default(),
            counts: RefCell::default(),
            links: Cell::new(0),
            accepted: Cell::new(0),
        })
    }

    /// Names who takes in what comes.
    pub fn take(&self, taker: Rc<Taker>) {
        *self.taker.borrow_mut() = Some(taker);
    }

    /// Links that are up: those dialled here, and the others.
    pub fn links(&self) -> (usize, usize) {
        let peers = self.peers.borrow();
        let dialled: Vec<bool> =
            peers.values().filter_map(|peer| peer.link.borrow().as_ref().map(|link| link.dialled)).collect();
        let here = dialled.iter().filter(|dialled| **dialled).count();
        (here, dialled.len() - here)
    }

    /// Where to reach somebody: the told address goes before what is said of it.
    pub fn address(&self, name: &str, said: Option<SocketAddr>) -> Option<SocketAddr> {
        self.section.peers.get(name).copied().or(said)
    }

    /// Sends a frame to a peer: on the link that is there, or on one that is dialled for it, at the told address or else at
    /// `at`. There is no room for more than the limits allow, nor for somebody who is nowhere.
    pub fn send(
        self: &Rc<Self>,
        to: &str,
        at: Option<SocketAddr>,
        lane: Lane,
        kind: FrameKind,
        content: &[u8],
    ) -> Result<(), Full> {
        let frame = self.codec.encode(kind, content).ok_or(Full);
        let sent = frame.and_then(|frame| self.queue(to, at, lane, frame));
        if sent.is_err() {
            self.counts.borrow_mut().full += 1;
        }
        sent
    }

    fn queue(
        self: &Rc<Self>,
        to: &str,
        at: Option<SocketAddr>,
        lane: Lane,
        frame: Bytes,
    ) -> Result<(), Full> {
        if to == self.section.own {
            return Err(Full);
        }
        let peer = self.peer(to).ok_or(Full)?;
        let linked = peer.link.borrow().is_some() || peer.dialling.get();
        let dial = self.address(to, at).filter(|_| !linked);
        if !linked && (dial.is_none() || !self.make_room()) {
            self.forget(&peer);
            return Err(Full);
        }
        peer.used.set(Instant::now());
        let dropped = {
            let mut outbox = peer.outbox.borrow_mut();
            let before = outbox.dropped;
            outbox.push(lane, frame)?;
            outbox.dropped - before
        };
        self.counts.borrow_mut().dropped += dropped;
        match dial {
            Some(at) => {
                peer.dialling.set(true);
                tokio::task::spawn_local(self.clone().dial(peer, at));
            }
            None => peer.wake.notify_one(),
        }
        Ok(())
    }

    fn peer(&self, name: &str) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(name) {
            return Some(peer.clone());
        }
        if peers.len() >= PEERS || name.is_empty() || name.len() > LONGEST_NAME {
            return None;
        }
        let name: Rc<str> = name.into();
        let peer = Rc::new(Peer {
            name: name.clone(),
            outbox: RefCell::new(Outbox::new(self.section.queue_bytes)),
            wake: Notify::new(),
            link: RefCell::default(),
            dialling: Cell::new(false),
            used: Cell::new(Instant::now()),
        });
        peers.insert(name, peer.clone());
        Some(peer)
    }

    /// Forgets a peer with whom nothing is going on.
    fn forget(&self, peer: &Peer) {
        let idle = peer.link.borrow().is_none() && !peer.dialling.get() && peer.outbox.borrow().is_empty();
        if idle {
            self.peers.borrow_mut().remove(&peer.name);
        }
    }

    /// Whether one more may be dialled; the one that was least lately needed, and has nothing to carry, leaves for it.
    fn make_room(&self) -> bool {
        let peers = self.peers.borrow();
        let ours = |peer: &&Rc<Peer>| {
            peer.dialling.get() || peer.link.borrow().as_ref().is_some_and(|link| link.dialled)
        };
        if peers.values().filter(ours).count() < self.section.links {
            return true;
        }
        let spare = peers.values().filter(|peer| {
            peer.outbox.borrow().is_empty() && peer.link.borrow().as_ref().is_some_and(|link| link.dialled)
        });
        let Some(spare) = spare.min_by_key(|peer| peer.used.get()) else { return false };
        if let Some(link) = spare.link.borrow_mut().take() {
            link.end.ask();
        }
        true
    }

    // ---- Dialling -------------------------------------------------------------------------------------

    /// Dials a peer until nothing waits for it any more, or nobody answers.
    async fn dial(self: Rc<Self>, peer: Rc<Peer>, at: SocketAddr) {
        let pauses = || {
            let backoff = ExponentialBuilder::default().with_min_delay(AGAIN.0).with_max_delay(AGAIN.1);
            backoff.with_max_times(TRIES - 1).with_jitter().build()
        };
        let mut pause = pauses();
        loop {
            self.counts.borrow_mut().dials += 1;
            let hello = timeout(Duration::from_millis(self.section.hello_ms), self.greet(&peer, at)).await;
            match hello {
                Ok(Ok((reader, writer, life))) => {
                    pause = pauses();
                    // Two that dialled each other keep the link of the one whose name comes first.
                    let theirs = peer.link.borrow().as_ref().is_some_and(|link| link.life == life);
                    if !theirs || *self.section.own < *peer.name {
                        self.run(&peer, reader, writer, true, life).await;
                    } else {
                        tokio::task::spawn_local(self.clone().drain(peer.clone(), reader, writer));
                    }
                }
                Ok(Err(why)) => self.refused(why),
                Err(_elapsed) => self.counts.borrow_mut().dials_failed += 1,
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

    async fn greet(
        &self,
        peer: &Peer,
        at: SocketAddr,
    ) -> Result<(Reader, OwnedWriteHalf, u64), ConnectionError> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = FramedRead::with_capacity(reader, self.codec, 4096);
        self.say_hello(&mut writer, &peer.name).await?;
        let hello = self.hear_hello(&mut reader).await?;
        if hello.name != *peer.name {
            self.counts.borrow_mut().wrong_name += 1;
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable).into());
        }
        Ok((reader, writer, hello.life))
    }

    async fn say_hello(&self, writer: &mut OwnedWriteHalf, to: &str) -> Result<(), ConnectionError> {
        let hello = Hello { name: self.section.own.clone(), to: to.to_owned(), life: self.life };
        let frame = self.codec.encode(FrameKind::Hello, &encode_body(&hello)).ok_or(FrameError::Size(0))?;
        Ok(writer.write_all(&frame).await?)
    }

    async fn hear_hello(&self, reader: &mut Reader) -> Result<Hello, ConnectionError> {
        let frame = reader.next().await.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))??;
        let hello: Option<Hello> =
            (frame.kind == Some(FrameKind::Hello)).then(|| frame.decode_body()).flatten();
        let hello = hello.ok_or(FrameError::Magic)?;
        if hello.to != self.section.own || hello.name == self.section.own {
            self.counts.borrow_mut().wrong_name += 1;
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable).into());
        }
        Ok(hello)
    }

    fn refused(&self, why: ConnectionError) {
        let mut counts = self.counts.borrow_mut();
        counts.dials_failed += 1;
        if let ConnectionError::Frame(why) = why {
            counts.foreign(why);
        }
    }

    // ---- Being dialled --------------------------------------------------------------------------------

    /// Accepts connections for as long as the front door runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.accepted.get() < self.section.accepted => {
                    let way = self.clone();
                    self.accepted.set(self.accepted.get() + 1);
                    tokio::task::spawn_local(async move {
                        way.welcome(stream).await;
                        way.accepted.set(way.accepted.get() - 1);
                    });
                }
                Ok(_) => self.counts.borrow_mut().crowded += 1,
                Err(_) => sleep(NO_DESCRIPTOR).await,
            }
        }
    }

    async fn welcome(self: &Rc<Self>, stream: TcpStream) {
        // Without it frames are late, not wrong.
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = FramedRead::with_capacity(reader, self.codec, 4096);
        let greeting = async {
            let hello = self.hear_hello(&mut reader).await?;
            self.say_hello(&mut writer, &hello.name).await?;
            Ok::<_, ConnectionError>(hello)
        };
        let hello = match timeout(Duration::from_millis(self.section.hello_ms), greeting).await {
            Ok(Ok(hello)) => hello,
            Ok(Err(ConnectionError::Frame(why))) => return self.counts.borrow_mut().foreign(why),
            Ok(Err(ConnectionError::Io(_))) => return,
            Err(_elapsed) => return self.counts.borrow_mut().silent += 1,
        };
        let Some(peer) = self.peer(&hello.name) else {
            return self.counts.borrow_mut().crowded += 1;
        };
        let ours = peer.link.borrow().as_ref().is_some_and(|link| link.dialled && link.life == hello.life);
        if ours && *self.section.own < *peer.name {
            return self.clone().drain(peer, reader, writer).await;
        }
        self.run(&peer, reader, writer, false, hello.life).await;
        self.forget(&peer);
    }

    // ---- Links ----------------------------------------------------------------------------------------

    /// Carries frames both ways until the link ends; it takes the place of one that was there before.
    async fn run(
        self: &Rc<Self>,
        peer: &Rc<Peer>,
        mut reader: Reader,
        mut writer: OwnedWriteHalf,
        dialled: bool,
        life: u64,
    ) {
        self.links.set(self.links.get() + 1);
        let (number, end) = (self.links.get(), Rc::<Ending>::default());
        let before = peer.link.borrow_mut().replace(Link { number, dialled, life, end: end.clone() });
        if let Some(before) = before {
            before.end.ask();
        }
        self.counts.borrow_mut().up += 1;
        let write = async {
            let ended = self.write(peer, &mut writer, dialled, &end).await;
            if end.asked.get() {
                // The other link's writer takes over, and the peer's last frames are read until it ends too.
                peer.wake.notify_one();
                let _ = writer.shutdown().await;
                sleep(self.silence()).await;
            }
            ended
        };
        let ended = tokio::select! {
            ended = self.read(peer, &mut reader) => ended,
            ended = write => ended,
        };
        {
            let mut counts = self.counts.borrow_mut();
            counts.down += 1;
            match ended {
                End::Silent => counts.silent += 1,
                End::ConnectionError(ConnectionError::Frame(why)) => counts.foreign(why),
                End::ConnectionError(ConnectionError::Io(_)) | End::Closed | End::Idle => {}
            }
        }
        let mut link = peer.link.borrow_mut();
        if link.as_ref().is_some_and(|link| link.number == number) {
            *link = None;
        }
    }

    /// Ends a connection in whose place another stands: nothing is written on it, and what comes is read until it ends.
    async fn drain(self: Rc<Self>, peer: Rc<Peer>, mut reader: Reader, mut writer: OwnedWriteHalf) {
        // It may have ended already.
        let _ = writer.shutdown().await;
        let _ = timeout(self.silence(), self.read(&peer, &mut reader)).await;
    }

    fn silence(&self) -> Duration {
        Duration::from_millis(self.section.beat_ms) * SILENT
    }

    async fn read(&self, peer: &Peer, reader: &mut Reader) -> End {
        loop {
            let frame = match timeout(self.silence(), reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(why))) => return End::ConnectionError(why),
                Ok(None) => return End::Closed,
                Err(_elapsed) => return End::Silent,
            };
            {
                let mut counts = self.counts.borrow_mut();
                counts.read += 1;
                counts.read_bytes += (HEADER_LENGTH + frame.body().len()) as u64;
                counts.unknown += u64::from(frame.kind.is_none());
            }
            if matches!(frame.kind, Some(FrameKind::Heartbeat | FrameKind::Hello) | None) {
                continue;
            }
            peer.used.set(Instant::now());
            let taker = self.taker.borrow().clone();
            if let Some(taker) = taker {
                taker(&peer.name, &frame);
            }
        }
    }

    async fn write(&self, peer: &Peer, writer: &mut OwnedWriteHalf, dialled: bool, end: &Ending) -> End {
        let beat = Duration::from_millis(self.section.beat_ms);
        let Some(sign) = self.codec.encode(FrameKind::Heartbeat, &[]) else { return End::Closed };
        loop {
            if end.asked.get() {
                return End::Closed;
            }
            let next = peer.outbox.borrow_mut().pop();
            let frame = match next {
                Some(frame) => frame,
                None => {
                    let idle = peer.used.get().elapsed() >= Duration::from_millis(self.section.keep_ms);
                    if dialled && idle {
                        return End::Idle;
                    }
                    tokio::select! {
                        () = peer.wake.notified() => continue,
                        () = end.wake.notified() => continue,
                        () = sleep(beat) => sign.clone(),
                    }
                }
            };
            match timeout(self.silence(), writer.write_all(&frame)).await {
                Ok(Ok(())) => {
                    let mut counts = self.counts.borrow_mut();
                    counts.sent += 1;
                    counts.sent_bytes += frame.len() as u64;
                }
                Ok(Err(error)) => return End::ConnectionError(error.into()),
                Err(_elapsed) => return End::Silent,
            }
        }
    }
}

#[cfg(test)]
#[path = "peers.rs"]
mod peers;
