//! Connections to backends: pools, how far kept ones are trusted, and how much of a request has been written.

use crate::net::messages::CONNECTION_BUFFER_BYTES;
use crate::net::runtime::clock::Clock;
use crate::net::upstream::send_permit::SendPermit;
use cometspool::connection_pool::{
    self, Checkout, ConnectionId, ConnectionPool, DialFailure, DialId, PoolAction, PoolError,
    PoolLimits, WaiterId,
};
use cometspool::settings;
use cometspool::{BackendId, DeliveryMode, Millis};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, Sleep};

/// How often idle connections are looked through.
const TIDY: Duration = Duration::from_millis(500);
/// A request sent with caution has its last byte held back for this long: within one data centre a reset is back by
/// then. Where the way is longer, caution finds less and costs no more.
const PROOF: Duration = Duration::from_millis(2);
/// What is known of the way to the backends grows by this with each dial: a longer way is learnt within some tens.
const WAY_FADES: f64 = 1.05;
// ---- One connection ---------------------------------------------------------------------------------

/// How much of a request has been written, as seen below the HTTP library.
#[derive(Clone, Debug, Default)]
struct Written {
    /// Whether any of it has been written.
    begun: bool,
    /// How much of the empty line that ends the head has been seen.
    matched: usize,
    head_done: bool,
    body_left: usize,
}

impl Written {
    fn begin(body: usize) -> Written {
        Written {
            body_left: body,
            ..Written::default()
        }
    }

    fn note(&mut self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        self.begun |= !bytes.is_empty();
        for (at, byte) in bytes.iter().enumerate() {
            if self.head_done {
                self.body_left = self.body_left.saturating_sub(bytes.len() - at);
                return;
            }
            self.matched = match *byte {
                byte if byte == END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            self.head_done = self.matched == END.len();
        }
    }

    fn whole(&self) -> bool {
        self.head_done && self.body_left == 0
    }

    /// Whether these bytes would make the request whole.
    fn ends_with(&self, bytes: &[u8]) -> bool {
        let mut then = self.clone();
        then.note(bytes);
        then.whole()
    }
}

/// A socket that can be closed at once from outside.
pub(crate) struct Wire {
    socket: RefCell<Option<TcpStream>>,
    written: RefCell<Written>,
    /// Whether the last byte of the request is held back, and until when.
    cautious: Cell<bool>,
    proof: RefCell<Option<Pin<Box<Sleep>>>>,
    /// What the request that is being written has to meet.
    permit: RefCell<Option<SendPermit>>,
}

impl Wire {
    fn new(socket: Option<TcpStream>, written: Written) -> Wire {
        Wire {
            socket: RefCell::new(socket),
            written: RefCell::new(written),
            cautious: Cell::default(),
            proof: RefCell::default(),
            permit: RefCell::default(),
        }
    }

    /// Whether the request has been written whole: before that, it cannot have run.
    pub(crate) fn whole(&self) -> bool {
        self.written.borrow().whole()
    }

    /// A request with a body of this length is about to be written, for as long as `permit` holds.
    pub(crate) fn begin(&self, body: usize, cautious: bool, permit: SendPermit) {
        *self.written.borrow_mut() = Written::begin(body);
        self.cautious.set(cautious);
        self.proof.borrow_mut().take();
        *self.permit.borrow_mut() = Some(permit);
    }

    /// How many of these bytes may be written now. Guards requests against connections that are dead unseen: all
    /// but the last byte goes first, and that one only if nothing but silence came back. A backend begins with the
    /// last byte, so what breaks before has not run, and may go out again whatever its class.
    ///
    /// What could not be written at once may have lost its permit meanwhile: that is asked before the last byte, too.
    fn may_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let begun = self.written.borrow().begun;
        let checked = begun || self.cautious.get();
        if !checked || !self.written.borrow().ends_with(bytes) {
            return Poll::Ready(Ok(bytes.len()));
        }
        if self.cautious.get() {
            if bytes.len() > 1 {
                return Poll::Ready(Ok(bytes.len() - 1));
            }
            let mut proof = self.proof.borrow_mut();
            let sleep = proof.get_or_insert_with(|| Box::pin(tokio::time::sleep(PROOF)));
            ready!(sleep.as_mut().poll(cx));
            // The reset may have come with the time; only the system knows yet.
            if !self.quiet() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
        }
        let permitted = !begun
            || self
                .permit
                .borrow()
                .as_ref()
                .is_none_or(SendPermit::is_valid);
        Poll::Ready(if permitted {
            Ok(bytes.len())
        } else {
            Err(io::ErrorKind::TimedOut.into())
        })
    }

    fn note_written(&self, bytes: &[u8]) {
        let mut written = self.written.borrow_mut();
        written.note(bytes);
        if written.whole() {
            self.permit.borrow_mut().take();
        }
    }

    fn close(&self) {
        self.socket.borrow_mut().take();
    }

    /// Guards against an answer to nobody: whether the socket is open and nothing waits in it to be read. The system
    /// is asked, since the runtime learns only between two tasks of what has come.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket
            .as_ref()
            .map(|stream| SockRef::from(stream).peek(&mut byte));
        matches!(peeked, Some(Err(error)) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The library's end of a [`Wire`].
struct WireIo(Rc<Wire>);

impl AsyncRead for WireIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.0.socket.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let most = ready!(self.0.may_write(cx, buf))?;
        let mut socket = self.0.socket.borrow_mut();
        let Some(stream) = socket.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let wrote = Pin::new(stream).poll_write(cx, &buf[..most]);
        if let Poll::Ready(Ok(count)) = &wrote {
            self.0.note_written(&buf[..*count]);
        }
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close();
        Poll::Ready(Ok(()))
    }
}

/// A connection to a backend; dropped, it is closed at once.
pub(crate) struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Its socket.
    pub wire: Rc<Wire>,
    task: AbortHandle,
    dial: SocketAddr,
    /// When its last answer had come whole; nothing while it is new.
    answered: Option<Millis>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.wire.close();
        self.task.abort();
    }
}

/// The hold that the driver has on an attempt that is out.
#[derive(Clone, Default)]
pub(crate) struct AttemptHandle {
    wire: Rc<RefCell<Option<Rc<Wire>>>>,
    task: Rc<RefCell<Option<AbortHandle>>>,
}

impl AttemptHandle {
    /// Names the connection that carries the attempt.
    pub(crate) fn set_connection(&self, wire: &Rc<Wire>) {
        *self.wire.borrow_mut() = Some(wire.clone());
    }

    /// Names the task that carries the attempt.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Whether the request has been written whole: before that, it cannot have run.
    pub(crate) fn is_fully_written(&self) -> bool {
        self.wire.borrow().as_ref().is_some_and(|wire| wire.whole())
    }

    /// As though the request had been written whole, for a stand-in that writes nothing.
    #[cfg(test)]
    pub(crate) fn pretend_fully_written(&self) {
        let written = Written {
            head_done: true,
            ..Written::default()
        };
        self.set_connection(&Rc::new(Wire::new(None, written)));
    }

    /// Gives the attempt up: its connection is closed before this returns.
    pub(crate) fn abandon(&self) {
        if let Some(wire) = self.wire.borrow_mut().take() {
            wire.close();
        }
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

// ---- Pools ------------------------------------------------------------------------------------------

/// Where a backend is, and whether it may be sent to.
struct Place {
    dial: SocketAddr,
    born_ms: f64,
    ready: bool,
}

/// What dials, waiting attempts and connections that carry something have in common with the pools.
struct Shared {
    clock: Clock,
    core: RefCell<ConnectionPool<BackendId>>,
    /// Connections that carry nothing.
    kept: RefCell<HashMap<ConnectionId, Connection>>,
    /// Those who wait for one, and where for.
    waiting: RefCell<HashMap<WaiterId, oneshot::Sender<Result<ConnectionId, PoolError>>>>,
    places: RefCell<HashMap<BackendId, Place>>,
    dial_timeout: Duration,
    numbers: Cell<u64>,
    /// The way to a backend and back, as dials of late took at least.
    round_trip: Cell<Option<Millis>>,
}

/// The connections to all backends.
pub(crate) struct UpstreamConnections {
    shared: Rc<Shared>,
}

impl UpstreamConnections {
    /// No backends yet, and at most `budget` connections, for one of `doors` front doors.
    pub(crate) fn new(
        told: settings::ConnectionSettings,
        budget: usize,
        doors: u32,
        seed: u64,
        clock: Clock,
    ) -> UpstreamConnections {
        let bounds = PoolLimits {
            max_connections: budget,
            endpoint_idle_timeout: told.idle_timeout,
            gateway_count: doors,
            handshake_cost: told.handshake_cost,
            connection_cost: told.connection_cost,
        };
        let shared = Shared {
            clock,
            core: RefCell::new(ConnectionPool::new(bounds, seed)),
            kept: RefCell::default(),
            waiting: RefCell::default(),
            places: RefCell::default(),
            dial_timeout: Duration::try_from_secs_f64(told.dial_timeout / 1000.0)
                .unwrap_or_default(),
            numbers: Cell::new(0),
            round_trip: Cell::default(),
        };
        UpstreamConnections {
            shared: Rc::new(shared),
        }
    }

    /// Paces dials for a fleet of so many front doors from now on.
    pub(crate) fn set_fleet_size(&self, doors: u32) {
        self.shared.core.borrow_mut().set_gateway_count(doors);
    }

    /// A backend that may be sent to.
    pub(crate) fn add_endpoint(&self, id: BackendId, dial: SocketAddr, born_ms: f64) {
        let mut places = self.shared.places.borrow_mut();
        let place = places.entry(id).or_insert(Place {
            dial,
            born_ms,
            ready: true,
        });
        // What was open to another address or an earlier process leads nowhere.
        let moved = place.dial != dial || place.born_ms != born_ms;
        *place = Place {
            dial,
            born_ms,
            ready: true,
        };
        drop(places);
        if moved {
            self.shared
                .with_core(|core, _, effects| core.reset_endpoint(id, effects));
        }
    }

    /// A backend that wants nothing new.
    pub(crate) fn drain_endpoint(&self, id: BackendId) {
        if let Some(place) = self.shared.places.borrow_mut().get_mut(&id) {
            place.ready = false;
        }
        self.shared
            .with_core(|core, _, effects| core.reset_endpoint(id, effects));
    }

    /// A backend that is gone.
    pub(crate) fn remove_endpoint(&self, id: BackendId) {
        self.shared.places.borrow_mut().remove(&id);
        self.shared
            .with_core(|core, _, effects| core.remove_endpoint(id, effects));
    }

    /// Closes idle connections to a backend.
    pub(crate) fn close_idle(&self, id: BackendId) {
        self.shared
            .with_core(|core, _, effects| core.close_idle(id, effects));
    }

    /// Whether a backend may be sent to.
    pub(crate) fn takes_new(&self, id: BackendId) -> bool {
        self.shared.place(id).is_some()
    }

    /// Where a backend is that may be sent to.
    pub(crate) fn address_of(&self, id: BackendId) -> Option<SocketAddr> {
        self.shared.place(id)
    }

    /// When a backend says that it was born, as it was told last; 0 for long ago.
    pub(crate) fn started_at(&self, id: BackendId) -> f64 {
        self.shared
            .places
            .borrow()
            .get(&id)
            .map_or(0.0, |place| place.born_ms)
    }

    /// Demand will use a backend: it gets a connection ahead of that, within `spread`.
    pub(crate) fn preconnect(&self, id: BackendId, spread: Millis) {
        if self.takes_new(id) {
            self.shared
                .with_core(|core, now, effects| core.preconnect(now, id, spread, effects));
        }
    }

    /// A connection to a backend: a kept one, the first that comes free, or a new one, whichever is sooner, within
    /// `limit` in all. For what must not run twice, none of an age at which connections have broken of late.
    pub(crate) async fn take(
        &self,
        id: BackendId,
        delivery: DeliveryMode,
        limit: Millis,
    ) -> Result<Out, NoConnection> {
        let (shared, once) = (&self.shared, delivery == DeliveryMode::Once);
        let end = shared.clock.now() + limit;
        loop {
            if !self.takes_new(id) {
                return Err(NoConnection::Own);
            }
            let who = WaiterId(shared.number());
            let (sender, receiver) = oneshot::channel();
            shared.waiting.borrow_mut().insert(who, sender);
            let waiting = Waiting {
                shared,
                id,
                who,
                receiver,
            };
            match shared.with_core(|core, now, effects| core.checkout(now, id, who, once, effects))
            {
                Checkout::Reused {
                    connection: link, ..
                } => {
                    if let Some(out) = shared.rested(shared.out(id, link)).await {
                        return Ok(out);
                    }
                }
                Checkout::Exhausted => return Err(NoConnection::Own),
                Checkout::Queued => {
                    let left = Duration::try_from_secs_f64((end - shared.clock.now()) / 1000.0);
                    let out = waiting
                        .wait(left.unwrap_or_default().min(shared.dial_timeout))
                        .await?;
                    if let Some(out) = shared.rested(out).await {
                        return Ok(out);
                    }
                }
            }
        }
    }

    /// Keeps a connection whose answer has come whole.
    pub(crate) fn put_back(&self, mut out: Out) {
        if let Some(connection) = &mut out.connection {
            connection.answered = Some(self.shared.clock.now());
        }
        self.keep(out, 0.0);
    }

    /// Keeps a connection that has carried nothing since it was taken.
    pub(crate) fn put_back_unused(&self, out: Out) {
        let idle = out
            .answered
            .map_or(0.0, |answered| self.shared.clock.now() - answered);
        self.keep(out, idle);
    }

    fn keep(&self, mut out: Out, idle: Millis) {
        let Some(connection) = out.connection.take() else {
            return;
        };
        // It may have been opened to what its backend was before.
        let same = self
            .shared
            .place(out.backend)
            .is_some_and(|dial| dial == connection.dial);
        if same && !connection.sender.is_closed() {
            self.shared.kept.borrow_mut().insert(out.link, connection);
            let (id, link) = (out.backend, out.link);
            self.shared
                .with_core(|core, now, effects| core.release_unused(now, id, link, idle, effects));
        } else {
            out.connection = Some(connection);
        }
    }

    /// A backend turned a new connection's first request away.
    pub(crate) fn crowded(&self, id: BackendId) {
        self.shared
            .with_core(|core, now, _| core.record_table_full(now, id));
    }

    /// Connections to a backend that carry nothing, and how many may be held.
    #[cfg(test)]
    pub(crate) fn idle(&self, id: BackendId) -> usize {
        self.shared.core.borrow().idle_connections(id)
    }

    /// Connections to a backend that may be held.
    #[cfg(test)]
    pub(crate) fn most(&self, id: BackendId) -> usize {
        self.shared
            .core
            .borrow()
            .connection_limit(self.shared.clock.now(), id)
    }

    /// Makes idle connections older.
    #[cfg(test)]
    pub(crate) fn age(&self, by: Duration) {
        self.shared
            .core
            .borrow_mut()
            .age_idle_connections(by.as_secs_f64() * 1000.0);
    }

    /// Learns whether a connection that had been idle so long has borne another request.
    pub(crate) fn learn(&self, idle: Millis, broke: bool) {
        self.shared
            .with_core(|core, now, _| core.record_reuse(now, idle, broke));
    }

    /// How long a dial may take at most.
    pub(crate) fn dial_timeout(&self) -> Millis {
        self.shared.dial_timeout.as_secs_f64() * 1000.0
    }

    /// How long an answer is on its way, as far as dials tell; nothing before the first.
    pub(crate) fn way_back(&self) -> Millis {
        self.shared.round_trip.get().unwrap_or(0.0) / 2.0
    }

    /// Disposes of idle connections well before the backends do.
    pub(crate) async fn evict_expired(&self) {
        loop {
            tokio::time::sleep(TIDY).await;
            self.shared
                .with_core(cometspool::connection_pool::ConnectionPool::evict_expired);
        }
    }
}

impl Shared {
    fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Where to dial a backend that may be sent to.
    fn place(&self, id: BackendId) -> Option<SocketAddr> {
        self.places
            .borrow()
            .get(&id)
            .filter(|place| place.ready)
            .map(|place| place.dial)
    }

    /// Tells the core something and does what comes of it.
    fn with_core<T>(
        self: &Rc<Self>,
        tell: impl FnOnce(&mut ConnectionPool<BackendId>, Millis, &mut Vec<PoolAction<BackendId>>) -> T,
    ) -> T {
        let mut effects = Vec::new();
        let told = tell(&mut self.core.borrow_mut(), self.clock.now(), &mut effects);
        self.carry_out(effects);
        told
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<PoolAction<BackendId>>) {
        for effect in effects {
            match effect {
                PoolAction::Dial(id, dial) => self.dial(id, dial),
                PoolAction::Assign(who, link) => self.give(who, Ok(link)),
                PoolAction::Fail(who, why) => self.give(who, Err(why)),
                PoolAction::Close(link) => drop(self.kept.borrow_mut().remove(&link)),
                PoolAction::Wake(id, at) => {
                    let (shared, at) = (self.clone(), self.clock.instant_at(at));
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep_until(at).await;
                        shared.with_core(|core, now, effects| core.wake(now, id, effects));
                    });
                }
            }
        }
    }

    fn give(&self, who: WaiterId, what: Result<ConnectionId, PoolError>) {
        // One that left has told the core; what it was given in between its guard gives back.
        if let Some(sender) = self.waiting.borrow_mut().remove(&who) {
            let _ = sender.send(what);
        }
    }

    /// Takes a connection out of those that carry nothing.
    fn out(self: &Rc<Self>, backend: BackendId, link: ConnectionId) -> Option<Out> {
        let connection = self.kept.borrow_mut().remove(&link);
        let answered = connection
            .as_ref()
            .and_then(|connection| connection.answered);
        let kept = answered.map(|answered| self.clock.now() - answered);
        let out = Out {
            shared: self.clone(),
            backend,
            link,
            kept,
            connection,
        };
        if out.connection.is_none() {
            // The core counts it as out.
            self.with_core(|core, now, effects| core.connection_closed(now, backend, effects));
            return None;
        }
        Some(out)
    }

    /// Guards against what a backend sends behind an answer, which would be taken for the next one: a connection rests until that
    /// has come, also where it goes straight to one that waits. One that has ended, or in which something waits to be read, is
    /// none.
    async fn rested(&self, out: Option<Out>) -> Option<Out> {
        let out = out?;
        if let Some(answered) = out.answered {
            let rest = answered + connection_pool::SETTLE_TIME - self.clock.now();
            if rest > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(rest / 1000.0)).await;
            }
        }
        let good = !out.sender.is_closed() && (out.answered.is_none() || out.wire.quiet());
        good.then_some(out)
    }

    /// Dials for whoever waits; the result is the pool's, whoever has left meanwhile.
    fn dial(self: &Rc<Self>, id: BackendId, number: DialId) {
        let shared = self.clone();
        tokio::task::spawn_local(async move {
            let dialled = match shared.place(id) {
                Some(dial) => tokio::time::timeout(shared.dial_timeout, shared.connect(dial)).await,
                None => Ok(Err(NoConnection::Own)),
            };
            match dialled.unwrap_or(Err(NoConnection::Theirs)) {
                Ok(connection) => {
                    let link = ConnectionId(shared.number());
                    shared.kept.borrow_mut().insert(link, connection);
                    shared.with_core(|core, now, effects| {
                        core.dial_succeeded(now, id, number, link, effects);
                    });
                }
                Err(why) => {
                    let failure = if why == NoConnection::Own {
                        DialFailure::Local
                    } else {
                        DialFailure::Remote
                    };
                    shared.with_core(|core, now, effects| {
                        core.dial_failed(now, id, number, failure, effects);
                    });
                }
            }
        });
    }

    async fn connect(&self, dial: SocketAddr) -> Result<Connection, NoConnection> {
        let begun = Instant::now();
        let stream = TcpStream::connect(dial).await?;
        self.learn_way(begun.elapsed());
        stream.set_nodelay(true)?;
        let wire = Rc::new(Wire::new(Some(stream), Written::default()));
        let io = TokioIo::new(WireIo(wire.clone()));
        let hands = Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .handshake(io)
            .await;
        let (sender, connection) = hands.map_err(|_| NoConnection::Theirs)?;
        let closing = wire.clone();
        let task = tokio::task::spawn_local(async move {
            // How it ended is told to the attempt on it, if there is one.
            let _ = connection.await;
            closing.close();
        });
        Ok(Connection {
            sender,
            wire,
            task: task.abort_handle(),
            dial,
            answered: None,
        })
    }

    /// A dial that came up took the way there and back, and whatever held it up: the least of late tells the way.
    fn learn_way(&self, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        let known = self
            .round_trip
            .get()
            .map_or(took, |known| took.min(known * WAY_FADES));
        self.round_trip.set(Some(known));
    }
}

/// One that waits for a connection. Dropped, it leaves the line; what it had been given already goes back.
struct Waiting<'a> {
    shared: &'a Rc<Shared>,
    id: BackendId,
    who: WaiterId,
    receiver: oneshot::Receiver<Result<ConnectionId, PoolError>>,
}

impl Waiting<'_> {
    /// The connection; nothing if the one that came has ended meanwhile.
    async fn wait(mut self, limit: Duration) -> Result<Option<Out>, NoConnection> {
        let given = tokio::time::timeout(limit, &mut self.receiver).await;
        match given {
            Ok(Ok(Ok(link))) => Ok(self.shared.out(self.id, link)),
            Ok(Ok(Err(why))) => Err(match why {
                PoolError::Unreachable => NoConnection::Theirs,
                PoolError::EndpointFull => NoConnection::Full,
                PoolError::EndpointRemoved | PoolError::LocalLimit => NoConnection::Own,
            }),
            Ok(Err(_)) => Err(NoConnection::Own),
            // Nothing came up, or nothing came free.
            Err(_) if self.shared.core.borrow().is_dialing(self.id) => Err(NoConnection::Theirs),
            Err(_) => Err(NoConnection::Full),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let (id, who) = (self.id, self.who);
        if self.shared.waiting.borrow_mut().remove(&who).is_some() {
            self.shared
                .with_core(|core, now, _| core.cancel_wait(now, id, who));
        }
        self.receiver.close();
        if let Ok(Ok(link)) = self.receiver.try_recv() {
            self.shared
                .with_core(|core, now, effects| core.release(now, id, link, effects));
        }
    }
}

/// A connection that carries something. Dropped before it is put back, it is closed at once and counted out.
pub(crate) struct Out {
    shared: Rc<Shared>,
    backend: BackendId,
    link: ConnectionId,
    /// How long it had been idle, if it is a kept one.
    pub kept: Option<Millis>,
    connection: Option<Connection>,
}

impl Deref for Out {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        // It is there from the making to the end: only `put_back` takes it, and takes all of this.
        self.connection.as_ref().expect("a connection that is out")
    }
}

impl DerefMut for Out {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a connection that is out")
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let id = self.backend;
        if self.connection.take().is_some() {
            self.shared
                .with_core(|core, now, effects| core.connection_closed(now, id, effects));
        }
    }
}

/// PoolError there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// This front door has no room or no descriptor for one, or may not send there: no fault of the backend.
    Own,
    /// The backend works and has no room for a further one.
    Full,
    /// The backend refuses, is silent or cannot be reached.
    Theirs,
}

impl From<io::Error> for NoConnection {
    fn from(error: io::Error) -> NoConnection {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut
            | HostUnreachable | NetworkUnreachable | BrokenPipe | NotConnected | UnexpectedEof
            | InvalidInput => NoConnection::Theirs,
            _ => NoConnection::Own,
        }
    }
}

#[cfg(test)]
mod tests;
