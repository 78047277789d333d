//! The list of backends: a watch that is resumed where it ended, and the whole list when one is unreadable.
//!
//! One clock for silence runs from the last whole thing that discovery said: bytes of an object that never ends are none.
//! Another bounds each call and the pause after it, so that what discovery has is in force in time.

mod deadline;

use crate::net::control::backoff::Backoff;
use crate::net::control::endpoint_list::EndpointList;
use deadline::{Deadline, WatchEnd, SILENCE};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

#[cfg(test)]
pub(crate) use deadline::LONGEST_PAUSE;

/// Longest object that is taken in.
const LONGEST_OBJECT: usize = 4 << 20;

/// For how long a lower version is taken for an older one, of an agent that lags: beyond this, discovery counts anew.
const LAGS: Duration = Duration::from_secs(60);

/// How a list came to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointUpdate {
    /// An earlier life of this front door had it.
    Cached,
    /// Discovery tells it.
    Current,
    /// Discovery tells it, but it is older than what was told before, or numbered anew: it takes back no end of a backend.
    Stale,
}

/// Whoever goes by the list.
pub(crate) trait EndpointObserver {
    /// Takes in a list of backends or its changes.
    fn endpoints_updated(&self, members: &EndpointList, news: EndpointUpdate);
}

/// How a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("no answer in time")]
    Unanswered,
    #[error("silent")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("an object that never ended")]
    Halved,
    #[error("unreadable line: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("unreadable line: no object begins with byte {0}")]
    NoObject(u8),
    #[error("an object of over {LONGEST_OBJECT} bytes")]
    TooLong,
    #[error("changes that lead back from version {known} to {told}")]
    Backwards { known: u64, told: u64 },
}

impl WatchError {
    /// Whether only the whole list can be of use after this.
    fn wants_whole_list(&self) -> bool {
        match self {
            WatchError::Halved
            | WatchError::Unreadable(_)
            | WatchError::NoObject(_)
            | WatchError::TooLong
            | WatchError::Backwards { .. } => true,
            WatchError::Status(status) => status.is_client_error() && !self.says_overbooked(),
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::Unanswered
            | WatchError::Silent(_) => false,
        }
    }

    /// Whether discovery has more calls than it can bear.
    fn says_overbooked(&self) -> bool {
        matches!(
            self,
            WatchError::Status(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        )
    }

    /// What this means for the time that is left.
    fn lapse(&self) -> WatchEnd {
        match self {
            WatchError::Unanswered => WatchEnd::Unanswered,
            WatchError::Silent(_) | WatchError::Halved => WatchEnd::Silent,
            WatchError::Status(_) if self.says_overbooked() => WatchEnd::Refused,
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::Status(_) => WatchEnd::Failed,
            WatchError::Unreadable(_)
            | WatchError::NoObject(_)
            | WatchError::TooLong
            | WatchError::Backwards { .. } => WatchEnd::Closed,
        }
    }
}

/// Follows discovery for as long as the front door runs, from the list that it last had. When `agent` tells
/// another address, the old watch is left at once and resumed there.
pub(crate) async fn watch_endpoints(
    roster: Rc<dyn EndpointObserver>,
    mut agent: watch::Receiver<SocketAddr>,
    known: Option<EndpointList>,
    mut backoff: Backoff,
) {
    let mut version = None;
    let mut newest = None;
    if let Some(known) = known {
        (version, newest) = (
            Some(known.version),
            Some(Newest {
                version: known.version,
                since: Instant::now(),
            }),
        );
        roster.endpoints_updated(&known, EndpointUpdate::Cached);
    }
    let mut down = false;
    let mut deadline = Deadline::default();
    loop {
        let address = *agent.borrow_and_update();
        let before = version;
        let path = match version {
            Some(seq) => format!("/catalog/members?watch=1&from={seq}"),
            None => "/catalog/members".to_owned(),
        };
        let begun = Instant::now();
        let patience = deadline.patience();
        let ended = tokio::select! {
            ended = read(&*roster, address, &path, patience, &mut version, &mut newest) => ended,
            _ = agent.changed() => {
                deadline.moved();
                continue;
            }
        };
        // A place that does not know the version, or tells what cannot be read, is asked for the whole list. One
        // that is overbooked knows it well: to ask it for more would keep it so.
        if ended.as_ref().is_err_and(WatchError::wants_whole_list) {
            version = None;
        }
        let longest = deadline.ended(
            begun,
            ended
                .as_ref()
                .err()
                .map_or(WatchEnd::Closed, WatchError::lapse),
        );
        let overbooked = ended.as_ref().is_err_and(WatchError::says_overbooked);
        if version != before && version.is_some() {
            backoff.reset();
        }
        let whole_list = before.is_none() && ended.is_ok();
        if whole_list && version.is_some() {
            continue;
        }
        // One line for an outage, not one for each try.
        if !down || version != before {
            let why = ended
                .err()
                .map_or("closed".to_owned(), |error| error.to_string());
            eprintln!("discovery: watch ended: {why}");
        }
        down = version == before;
        let pause = if overbooked {
            backoff.after_rejection(longest)
        } else {
            backoff.after_failure()
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = agent.changed() => deadline.moved(),
        }
    }
}

/// Asks for `path`, with `patience` for the answer to begin, and takes in each object of it until it ends.
async fn read(
    roster: &dyn EndpointObserver,
    agent: SocketAddr,
    path: &str,
    patience: Duration,
    version: &mut Option<u64>,
    newest: &mut Option<Newest>,
) -> Result<(), WatchError> {
    let answer_by = Instant::now() + patience;
    let stream = timeout_at(answer_by, TcpStream::connect(agent))
        .await
        .map_err(|_| WatchError::Unanswered)??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // Ends with this function: the set ends its tasks when it is dropped.
    let mut tied = tokio::task::JoinSet::new();
    tied.spawn_local(connection);
    let request = Request::get(path)
        .header(HOST, agent.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = timeout_at(answer_by, sender.send_request(request))
        .await
        .map_err(|_| WatchError::Unanswered)??;
    if answer.status() != StatusCode::OK {
        return Err(WatchError::Status(answer.status()));
    }
    let (mut body, mut objects) = (answer.into_body(), Objects::default());
    let mut silent = Instant::now() + SILENCE;
    loop {
        let frame = match timeout_at(silent, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) if objects.between() => return Ok(()),
            Ok(None) => return Err(WatchError::Halved),
            Err(elapsed) => {
                return Err(if objects.between() {
                    elapsed.into()
                } else {
                    WatchError::Halved
                })
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        for byte in data {
            match objects.push(byte)? {
                Heard::Part => continue,
                Heard::Beat => {}
                Heard::Object(object) => take_in(roster, &object, version, newest)?,
            }
            silent = Instant::now() + SILENCE;
        }
    }
}

/// The newest version that was told, and when: the whole list is asked for without one, and may prove older.
#[derive(Clone, Copy, Debug)]
struct Newest {
    version: u64,
    since: Instant,
}

/// What a byte from discovery completes.
#[derive(Debug, PartialEq)]
enum Heard {
    /// Nothing yet.
    Part,
    /// An empty line, or the end of a line: discovery is there.
    Beat,
    /// A whole object.
    Object(Vec<u8>),
}

/// Cuts what discovery says into whole objects, however they are laid out: one to a line, or indented over many. Where an
/// object ends shows in its braces alone; whether it means anything, its reader finds out.
#[derive(Default)]
struct Objects {
    held: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    /// Whether nothing has begun that is not over.
    fn between(&self) -> bool {
        self.held.is_empty()
    }

    fn push(&mut self, byte: u8) -> Result<Heard, WatchError> {
        if self.between() {
            match byte {
                b'\n' => return Ok(Heard::Beat),
                _ if byte.is_ascii_whitespace() => return Ok(Heard::Part),
                b'{' => {}
                _ => return Err(WatchError::NoObject(byte)),
            }
        }
        if self.held.len() >= LONGEST_OBJECT {
            return Err(WatchError::TooLong);
        }
        self.held.push(byte);
        match (self.quoted, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') => self.quoted = !self.quoted,
            (false, b'{' | b'[') => self.depth += 1,
            // What closes more than was opened cannot come here: the first byte opens.
            (false, b'}' | b']') => self.depth -= 1,
            _ => {}
        }
        Ok(if self.depth == 0 {
            Heard::Object(std::mem::take(&mut self.held))
        } else {
            Heard::Part
        })
    }
}

/// Hands an object to the front door.
fn take_in(
    roster: &dyn EndpointObserver,
    object: &[u8],
    version: &mut Option<u64>,
    newest: &mut Option<Newest>,
) -> Result<(), WatchError> {
    let members: EndpointList = serde_json::from_slice(object)?;
    let told = members.version;
    // Changes say what came after a version; from a later one they lead to nowhere.
    if let Some(known) = version.filter(|known| !members.is_full && told < *known) {
        return Err(WatchError::Backwards { known, told });
    }
    let older = newest.is_some_and(|newest| told < newest.version && newest.since.elapsed() < LAGS);
    roster.endpoints_updated(
        &members,
        if older {
            EndpointUpdate::Stale
        } else {
            EndpointUpdate::Current
        },
    );
    if !older {
        *newest = Some(Newest {
            version: told,
            since: Instant::now(),
        });
    }
    *version = Some(told);
    Ok(())
}

#[cfg(test)]
mod tests;
