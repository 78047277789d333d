//! Clients: the listener, how long a connection may take, and the one final answer of each request.

use crate::net::downstream::request::{read_body, read_head, RequestError};
use crate::net::messages::{Answer, ClientConnection, IncomingRequest, CONNECTION_BUFFER_BYTES};
use crate::net::runtime::capacity::{client_connection_limit, ACCEPT_RETRY_DELAY};
use crate::net::runtime::context::RuntimeContext;
use cometspool::{Millis, RequestId};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Sleep;

/// The readiness check of the front before the front doors.
const HEALTH: &str = "/_health";
/// New connections go on coming for up to 0.4 s after SIGTERM; idle ones are kept until they have come.
const LINGER: Duration = Duration::from_millis(550);
/// What counts of the longest deadline at most: SIGKILL does not wait for longer ones.
const COUNTED: Duration = Duration::from_secs(3);
/// Longest time after SIGTERM beyond what counts of the longest deadline: SIGKILL comes 0.7 s beyond it.
const LAST_CALL: Duration = Duration::from_millis(550);
/// Time for a connection that comes later still to say what it came for.
const HEARD_OUT: Duration = Duration::from_millis(100);
/// Time to accept what came just before the end.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// Time for a whole request from its first byte, and for the first one on a connection from the connect.
const READ_TIME: Millis = 2000.0;
/// How long after the request's time its client still takes an answer: it is late then, and not lost.
const LATE_ANSWER: Millis = 500.0;
/// What is added before a connection is closed without a word, so that an answer can tell why.
const LAST_WORD: Millis = 200.0;
/// Time for which a connection without a request is kept: usual clients come again sooner.
const IDLE_TIME: Millis = 6000.0;
/// A request that has been coming for this long may be given up where there is no room.
const UNHURRIED: Millis = 250.0;
/// How long the loop has to have been held up for the operators to be told.
const TOLD_LAG: Millis = 250.0;
/// How often connections are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// How long a full house waits for one that is asked to leave.
const MAKE_ROOM: Duration = Duration::from_millis(20);
/// Bytes that are read ahead at once behind a request that has no answer yet, and how often in a row: what comes faster is
/// looked through again with the next sweep.
const AHEAD_CHUNK: usize = 4096;
const AHEAD_READS: usize = 64;

/// Whoever decides on requests.
pub(crate) trait RequestHandler {
    /// Whether there is a list to serve from.
    fn is_ready(&self) -> bool;
    /// Takes a request in; `None` if one with its id has come before.
    fn submit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)>;
    /// Notes that a client has gone away; nothing happens if its request has been answered.
    fn client_disconnected(&self, id: RequestId);
    /// A planned stop, with all answered by `end`.
    fn begin_shutdown(&self, end: Millis);
    /// What arrives from now on is refused: a planned stop has come too far for it.
    fn reject_new_requests(&self);
    /// Requests that have no final answer yet.
    fn pending_requests(&self) -> usize;
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Answers close their connections.
    Closing,
    /// Idle connections are closed too.
    Sweeping,
}

/// The clients' side of a front door.
pub(crate) struct DownstreamConnections {
    desk: Rc<dyn RequestHandler>,
    site: Rc<RuntimeContext>,
    most: usize,
    /// The open connections, at most `most`.
    peers: RefCell<HashMap<u64, Rc<Peer>>>,
    accepted: Cell<u64>,
    closed: Notify,
    /// Whether a new connection waits and nobody can be asked to leave: answers then close theirs.
    crowded: Cell<bool>,
    phase: watch::Sender<Phase>,
}

impl DownstreamConnections {
    /// The clients' side of `desk` within `sockets` descriptors for all.
    pub(crate) fn new(
        desk: Rc<dyn RequestHandler>,
        site: Rc<RuntimeContext>,
        sockets: usize,
    ) -> Rc<DownstreamConnections> {
        Rc::new(DownstreamConnections {
            desk,
            site,
            most: client_connection_limit(sockets),
            peers: RefCell::default(),
            accepted: Cell::new(0),
            closed: Notify::new(),
            crowded: Cell::new(false),
            phase: watch::Sender::new(Phase::Serving),
        })
    }

    /// Accepts connections for as long as the front door runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.make_room().await;
                    let peer = Rc::new(Peer::new(self.site.clock.now(), stream));
                    self.accepted.set(self.accepted.get() + 1);
                    self.peers
                        .borrow_mut()
                        .insert(self.accepted.get(), peer.clone());
                    tokio::task::spawn_local(self.clone().serve(self.accepted.get(), peer));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Waits until there is room for one more. What the system has accepted for us counts as ours, so a full
    /// house must not keep it waiting: just one connection is closed, and the one that is least missed.
    async fn make_room(&self) {
        while self.peers.borrow().len() >= self.most {
            let now = self.site.clock.now();
            match self.least_missed(now) {
                Some(((Spare::Idle, _), peer)) => peer.leave(Leave::Idle),
                Some((_, peer)) => peer.leave(Leave::Now),
                None => self.crowded.set(true),
            }
            let _ = tokio::time::timeout(MAKE_ROOM, self.closed.notified()).await;
        }
        self.crowded.set(false);
    }

    /// The connection that would be missed least, if any may be closed.
    fn least_missed(&self, now: Millis) -> Option<((Spare, Millis), Rc<Peer>)> {
        let peers = self.peers.borrow();
        let mut spare: Vec<_> = peers
            .values()
            .filter_map(|peer| Some((peer.dispensable(now)?, peer)))
            .collect();
        spare.sort_by(|(a, _), (b, _)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        // Asked in this order, since each costs a call of the system.
        let least = spare.into_iter().find(|(_, peer)| !peer.has_said_more());
        least.map(|(spare, peer)| (spare, peer.clone()))
    }

    /// Closes what has had its time, for as long as the front door runs.
    pub(crate) async fn close_expired_connections(self: Rc<Self>) {
        loop {
            let due = self.site.clock.now() + SWEEP.as_secs_f64() * 1000.0;
            self.site.stall_monitor.expect_timer(due);
            tokio::time::sleep(SWEEP).await;
            let now = self.site.clock.now();
            self.site.stall_monitor.timer_fired(due, now);
            if let Some(worst) = self
                .site
                .stall_monitor
                .take_longest_stall()
                .filter(|worst| *worst >= TOLD_LAG)
            {
                eprintln!("held up for {worst:.0} ms: what came meanwhile has that much less time");
            }
            for peer in self.peers.borrow().values() {
                // Bytes behind a request hide its client's end from whoever reads only when they are due.
                let gone = (peer.owed.get() && peer.is_disconnected()).then_some(Leave::Now);
                if let Some(how) = gone.or_else(|| peer.overdue(now)) {
                    peer.leave(how);
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, number: u64, peer: Rc<Peer>) {
        let _open = Open {
            clients: &self,
            number,
        };
        let io = TokioIo::new(Watched {
            peer: peer.clone(),
            site: self.site.clone(),
            stalled: None,
        });
        let service = service_fn(|request| {
            let (clients, peer) = (self.clone(), peer.clone());
            async move { Ok::<_, Infallible>(clients.answer(request, &peer).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let mut leaving = false;
        // One that comes when idle ones have been closed is heard out, to be told when to come back.
        let late = *phase.borrow() == Phase::Sweeping;
        let mut heard_out = std::pin::pin!(tokio::time::sleep(HEARD_OUT));
        loop {
            tokio::select! {
                // An error is a client that went away or wrote no HTTP; the library has answered the latter.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == Phase::Sweeping), if !leaving && !late => {}
                () = heard_out.as_mut(), if !leaving && late => {}
                () = peer.asked.notified() => if peer.left.get() == Some(Leave::Now) { return },
            }
            leaving = true;
            connection.as_mut().graceful_shutdown();
        }
    }

    /// The planned stop: goes on accepting, answers what has come, and returns when all is answered.
    pub(crate) async fn shut_down(&self) {
        let longest = Duration::try_from_secs_f64(self.site.longest_deadline() / 1000.0)
            .unwrap_or_default()
            .min(COUNTED);
        let end = tokio::time::Instant::now() + longest + LAST_CALL;
        self.desk
            .begin_shutdown(self.site.clock.now() + (longest + LAST_CALL).as_secs_f64() * 1000.0);
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(LINGER).await;
        self.phase.send_replace(Phase::Sweeping);
        // By now nobody is sent here any more; what comes all the same is served elsewhere, or by a successor.
        self.desk.reject_new_requests();
        while !self.peers.borrow().is_empty() {
            let closed = tokio::time::timeout_at(end, self.closed.notified()).await;
            if closed.is_err() {
                eprintln!(
                    "stopped with {} requests unanswered",
                    self.desk.pending_requests()
                );
                return;
            }
            // One more may be waiting to be accepted.
            tokio::time::sleep(LAST_LOOK).await;
        }
    }

    async fn answer(
        &self,
        request: Request<IncomingBody>,
        peer: &Rc<Peer>,
    ) -> Response<Full<Bytes>> {
        let mut close = self.crowded.get();
        let mut response = if request.uri().path() == HEALTH {
            peer.whole();
            self.health()
        } else {
            self.decide(request, peer).await.unwrap_or_else(|bad| {
                // Nothing that follows on such a connection can be trusted to be a request.
                close = true;
                let mut response = Response::new(Full::new(Bytes::from(format!("{bad}\n"))));
                *response.status_mut() = bad.status();
                response
            })
        };
        if close || peer.overrun.get() || *self.phase.borrow() != Phase::Serving {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        peer.answered(self.site.clock.now());
        response
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.desk.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    async fn decide(
        &self,
        request: Request<IncomingBody>,
        peer: &Rc<Peer>,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        // Of a request that came in one read with the one before it, only that read's time is known.
        let first = peer.first.get().unwrap_or(peer.last.get());
        let (head, body) = request.into_parts();
        let mut incoming = read_head(&self.site, &head, first, peer.clone())?;
        let budget = incoming.budget;
        let end = self
            .site
            .clock
            .instant_at(budget.end().min(peer.begun() + READ_TIME));
        incoming.upstream_request.body = read_body(body, &head.method, end).await?;
        incoming.received_at = peer.last.get();
        peer.whole();
        peer.write_by.set(budget.end() + LATE_ANSWER);
        if peer.is_disconnected() {
            return Err(RequestError::Left);
        }
        let (id, answer) = self.desk.submit(incoming).ok_or(RequestError::Twice)?;
        let mut waiting = Waiting {
            desk: &*self.desk,
            id: Some(id),
        };
        let answer = answer.await.unwrap_or(Answer::Failed);
        waiting.id = None;
        Ok(response(answer))
    }
}

/// Counts a connection of a client while it is open.
struct Open<'a> {
    clients: &'a DownstreamConnections,
    number: u64,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.clients.peers.borrow_mut().remove(&self.number);
        self.clients.closed.notify_waiters();
    }
}

/// Tells the driver when a client goes away before its answer.
struct Waiting<'a> {
    desk: &'a dyn RequestHandler,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.desk.client_disconnected(id);
        }
    }
}

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// Once what it is owed has been written.
    Idle,
    /// At once.
    Now,
}

/// A connection that may be closed to make room, the one most missed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    /// In the midst of a request that is slow in coming.
    Slow,
    /// Between two requests.
    Idle,
    /// Never said anything.
    Silent,
}

/// A client's connection: what it is at, and since when.
#[derive(Debug, Default)]
struct Peer {
    /// Until its connection is over.
    socket: RefCell<Option<TcpStream>>,
    /// What has been read behind a request without an answer, [`BUFFER`] bytes at most, and whether more was dropped: then
    /// nothing that follows can be trusted to be a request.
    ahead: RefCell<VecDeque<u8>>,
    overrun: Cell<bool>,
    opened: Millis,
    /// When the first and the last bytes came of the request that is being read.
    first: Cell<Option<Millis>>,
    last: Cell<Millis>,
    /// Whether a request has come whole and has no answer yet.
    owed: Cell<bool>,
    /// Whether an answer is ready and not written whole yet.
    unwritten: Cell<bool>,
    /// When its last answer was ready; `None` before the first.
    idle_since: Cell<Option<Millis>>,
    left: Cell<Option<Leave>>,
    asked: Notify,
    /// When the last byte of its answer is to be written.
    write_by: Cell<Millis>,
}

impl Peer {
    fn new(now: Millis, stream: TcpStream) -> Peer {
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        Peer {
            opened: now,
            last: Cell::new(now),
            socket: RefCell::new(Some(stream)),
            ..Peer::default()
        }
    }

    /// Hands on what has been read ahead; tells whether there was anything.
    fn take_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut ahead = self.ahead.borrow_mut();
        let (first, _) = ahead.as_slices();
        let count = first.len().min(buf.remaining());
        buf.put_slice(&first[..count]);
        ahead.drain(..count);
        count > 0
    }

    fn heard(&self, now: Millis) {
        self.last.set(now);
        self.first.set(self.first.get().or(Some(now)));
    }

    /// A request has come whole: what is read from now on belongs to the next one.
    fn whole(&self) {
        self.owed.set(true);
        self.first.set(None);
    }

    fn answered(&self, now: Millis) {
        self.owed.set(false);
        self.unwritten.set(true);
        self.idle_since.set(Some(now));
    }

    /// Whether it is owed an answer, or is being written one.
    fn busy(&self) -> bool {
        self.owed.get() || self.unwritten.get()
    }

    /// When the time began in which the present request has to come. A client's first is counted from the
    /// connect: it may not say nothing first and dawdle then.
    fn begun(&self) -> Millis {
        match (self.idle_since.get(), self.first.get()) {
            (None, _) => self.opened,
            (Some(idle), Some(first)) => first.max(idle),
            (Some(idle), None) => idle,
        }
    }

    fn overdue(&self, now: Millis) -> Option<Leave> {
        let reading = self.idle_since.get().is_none() || self.first.get().is_some();
        let (most, how) = if reading {
            (READ_TIME + LAST_WORD, Leave::Now)
        } else {
            (IDLE_TIME, Leave::Idle)
        };
        (!self.busy() && now - self.begun() > most).then_some(how)
    }

    /// How little it would be missed: by kind, then by how long it has been so. `None` while it is owed an
    /// answer or has been asked to leave.
    fn dispensable(&self, now: Millis) -> Option<(Spare, Millis)> {
        if self.busy() || self.left.get().is_some() {
            return None;
        }
        let age = now - self.begun();
        match (self.idle_since.get(), self.first.get()) {
            (None, None) => Some((Spare::Silent, age)),
            (Some(_), None) => Some((Spare::Idle, age)),
            (_, Some(_)) => (age > UNHURRIED).then_some((Spare::Slow, age)),
        }
    }

    /// Whether bytes have come that nobody has read: the runtime hears of them only between two rounds of its tasks, and a
    /// whole house can be asked to leave within one.
    fn has_said_more(&self) -> bool {
        let socket = self.socket.borrow();
        let peek = |stream| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        socket
            .as_ref()
            .is_some_and(|stream| peek(stream).is_ok_and(|count| count > 0))
    }

    fn leave(&self, how: Leave) {
        self.left.set(Some(how));
        self.asked.notify_one();
    }
}

impl ClientConnection for Peer {
    /// The system is asked, since the runtime learns only between two tasks of what has come: where the end and the means to
    /// send are there at once, the end is seen first. Bytes behind a request would hide it, so they are read ahead, and what is
    /// more than a client may have there is dropped.
    fn is_disconnected(&self) -> bool {
        let socket = self.socket.borrow();
        let Some(stream) = socket.as_ref() else {
            return true;
        };
        let mut chunk = [0; AHEAD_CHUNK];
        for _ in 0..AHEAD_READS {
            match (&*SockRef::from(stream)).read(&mut chunk) {
                Ok(0) => return true,
                Ok(count) => {
                    let mut ahead = self.ahead.borrow_mut();
                    let held = count.min(CONNECTION_BUFFER_BYTES - ahead.len());
                    ahead.extend(&chunk[..held]);
                    self.overrun.set(self.overrun.get() || held < count);
                }
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }
}

/// A client's socket that notes when bytes come.
struct Watched {
    peer: Rc<Peer>,
    site: Rc<RuntimeContext>,
    /// Runs while the client takes no more bytes.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Watched {
    fn with<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.peer.socket.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Guards against clients that ask and do not read: what is still to be written when nobody takes the answer any more goes
    /// to nobody, and the connection ends.
    fn or_stalled<T>(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if wrote.is_ready() {
            self.stalled = None;
            return wrote;
        }
        let (clock, by) = (
            self.site.clock,
            self.peer.write_by.get().max(self.site.clock.now()),
        );
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(clock.instant_at(by))));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if self.peer.overrun.get() && self.peer.ahead.borrow().is_empty() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let read = match self.peer.take_ahead(buf) {
            true => Poll::Ready(Ok(())),
            false => self.with(|stream| stream.poll_read(cx, buf)),
        };
        if buf.filled().len() > before {
            self.peer
                .heard(self.site.stall_monitor.arrival_time(self.site.clock.now()));
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = self.with(|stream| stream.poll_write(cx, buf));
        self.or_stalled(cx, wrote)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // It is asked for once all that was to be written has been.
        self.peer.unwritten.set(false);
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = self.with(|stream| stream.poll_write_vectored(cx, bufs));
        self.or_stalled(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl Drop for Watched {
    /// Closes the connection at once, whoever still asks whether its client is there.
    fn drop(&mut self) {
        self.peer.socket.borrow_mut().take();
    }
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let (status, body, wait) = match answer {
        Answer::Served(body) => (StatusCode::OK, body, None),
        Answer::Rejected(wait) => (StatusCode::TOO_MANY_REQUESTS, Bytes::new(), wait),
        Answer::Failed => (StatusCode::BAD_GATEWAY, Bytes::new(), None),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let wait = wait.and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok());
    if let Some(wait) = wait {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
