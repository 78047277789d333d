//! Links between one request and the next, over loopback sockets: what comes behind an answer, and who gets a link when.

use cometspool_fault_injection::scripted_peers::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";
/// For how long a link rests after an answer, as the stand-in can measure it: delays only lengthen what it sees.
const REST: Duration = Duration::from_millis(3);

/// A front door with one backend, and a first request that has come to it over the one link there is.
struct Begun {
    program: GatewayProcess,
    backend: TestListener,
    /// Connections that fill the backend's waiting line, all of them accepted.
    fillers: Vec<TcpStream>,
    first: ScriptedConnection,
    link: ScriptedConnection,
    _discovery: TestListener,
}

impl Begun {
    fn new() -> Begun {
        let discovery = TestListener::new();
        let FullBacklog {
            listener: backend,
            fillers,
        } = listener_with_full_backlog();
        for _ in &fillers {
            backend.accept();
        }
        let list = endpoint_list(7, true, &[endpoint("s-0", backend.address(), "up")]);
        let program = GatewayProcess::start(default_settings(), discovery.address(), list);
        let mut first = program.connect_client();
        first.write(request_with("first", "read", "wide", LONG));
        let mut link = backend.accept();
        assert_eq!(link.read().header("request-id"), Some("first"));
        Begun {
            program,
            backend,
            fillers,
            first,
            link,
            _discovery: discovery,
        }
    }
}

/// Guards against second answers that come some milliseconds late: a link carries the next request only once they would have
/// come, whether it is taken again at once or goes straight to a request that waits for one.
#[test]
fn a_link_rests_before_it_carries_the_next_request() {
    for waits in [false, true] {
        let Begun {
            program,
            backend,
            fillers,
            mut first,
            mut link,
            _discovery,
        } = Begun::new();
        let mut second = program.connect_client();
        // No further connection comes up.
        let _fillers = refill(&fillers, &backend);
        if waits {
            second.write(request_with("second", "read", "wide", LONG));
            wait_for("a dial that hangs", || {
                is_connecting(backend.address()).then_some(())
            });
        }
        let answered = Instant::now();
        link.respond(200, "", "one");
        assert_eq!(first.read().body, b"one");
        if !waits {
            second.write(request_with("second", "read", "wide", LONG));
        }
        assert_eq!(link.read().header("request-id"), Some("second"));
        assert!(
            answered.elapsed() >= REST,
            "waits {waits}: after {:?}",
            answered.elapsed()
        );
        link.respond(200, "", "two");
        assert_eq!(second.read().body, b"two");
    }
}

/// Guards against a second answer that lies behind the first when its link is freed: it is nobody's, its link is closed, and
/// the request that waited for that link, or comes next, gets its own answer on another.
#[test]
fn a_second_answer_is_nobodys_and_ends_its_link() {
    for waits in [false, true] {
        let Begun {
            program,
            backend,
            fillers,
            mut first,
            mut link,
            _discovery,
        } = Begun::new();
        let mut second = program.connect_client();
        let held = waits.then(|| refill(&fillers, &backend));
        if waits {
            second.write(request_with("second", "read", "wide", LONG));
            wait_for("a dial that hangs", || {
                is_connecting(backend.address()).then_some(())
            });
        }
        // In two writes, found in one turn of the loop.
        program.pause();
        link.respond(200, "", "one");
        link.respond(200, "", "stray");
        program.resume();
        assert_eq!(first.read().body, b"one");
        link.expect_close();
        if !waits {
            second.write(request_with("second", "read", "wide", LONG));
        }
        for _ in held.iter().flatten() {
            backend.accept();
        }
        let mut own = backend.accept();
        assert_eq!(own.read().header("request-id"), Some("second"));
        own.respond(200, "", "own");
        assert_eq!(second.read().body, b"own", "waits {waits}");
    }
}

/// As many new connections as there were, which fill a waiting line again.
fn refill(fillers: &[TcpStream], backend: &TestListener) -> Vec<TcpStream> {
    fillers
        .iter()
        .map(|_| TcpStream::connect(backend.address()).expect("room for two"))
        .collect()
}
