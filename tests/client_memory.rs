//! The memory that clients make the gateway hold, over loopback sockets. Hundreds of clients send as much as they may;
//! the gateway stays under its memory limit, and clients that send sound requests get their responses.

use cometspool_fault_injection::scripted_peers::*;
use std::time::{Duration, Instant};

/// Clients that come at once.
const CLIENTS: usize = 400;
/// How long a client may wait for its error or close. Clients are owed it within 3 s of connecting; the rest leaves time
/// for a busy machine.
const MAX_TIME_TO_ERROR: Duration = Duration::from_secs(8);

/// Guards against the memory of all requests that are being read together: hundreds of clients keep back the last byte
/// of a long request. They get an error or a close in time, and sound long requests are served meanwhile.
#[test]
fn stalled_requests_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(Some("ok"));
    gateway.assert_within_memory_limit(|| {
        std::thread::scope(|scope| {
            let stalled = scope.spawn(|| {
                run_clients(CLIENTS, |number| {
                    let started_at = Instant::now();
                    let mut request = long_request(&format!("bad-{number}"), PADDING, LONGEST_BODY);
                    request.pop();
                    let status = gateway.status_of(&request);
                    assert!(
                        status.is_none_or(|status| status >= 400),
                        "answered with {status:?}"
                    );
                    started_at.elapsed()
                })
            });
            for number in 0..10 {
                let request = long_request(&format!("sound-{number}"), 0, LONGEST_BODY);
                assert_eq!(gateway.status_of(&request), Some(200));
            }
            let slowest = stalled.join().expect("the clients").into_iter().max();
            assert!(
                slowest < Some(MAX_TIME_TO_ERROR),
                "the last error came after {slowest:?}"
            );
        });
    });
}

/// Guards against the memory of all requests that await a response together, and of the read buffers of idle
/// connections: hundreds of clients send long requests at once and keep their connections. None is closed unanswered.
#[test]
fn long_requests_at_once_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(Some("ok"));
    gateway.assert_within_memory_limit(|| {
        let exchanges = run_clients(CLIENTS, |number| {
            gateway.exchange(&long_request(&format!("id-{number}"), 0, LONGEST_BODY))
        });
        let statuses: Vec<Option<u16>> = exchanges.iter().map(|exchange| exchange.status).collect();
        for status in &statuses {
            assert!(
                matches!(status, Some(200 | 429 | 503)),
                "answered with {status:?}"
            );
        }
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert!(served.count() > CLIENTS / 2, "{statuses:?}");
    });
}

/// Guards against requests that are held for backends that do not answer: they take no more memory than their share,
/// and a short request is still read and answered.
#[test]
fn requests_at_hung_backends_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(None);
    gateway.assert_within_memory_limit(|| {
        let _open = run_clients(CLIENTS, |number| {
            gateway.exchange(&long_request(
                &format!("id-{number}"),
                PADDING,
                LONGEST_BODY,
            ))
        });
        assert_eq!(gateway.status_of(HEALTH_CHECK.as_bytes()), Some(200));
    });
}
