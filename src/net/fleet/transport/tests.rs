//! The transport against peers that a test plays by hand, on loopback.

use super::handshake::Hello;
use super::*;
use crate::net::fleet::frame::{encode_body, VERSION};
use serde_json::json;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// A wide limit for what has to come about.
const PATIENCE: Duration = Duration::from_secs(30);

/// A transport called `own` with quick heartbeats, small queues and few links, and what came on it.
async fn transport(
    own: &str,
    peers: &[(&str, SocketAddr)],
) -> (Rc<Transport>, SocketAddr, Rc<RefCell<Vec<(String, usize)>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let peers: Vec<_> = peers
        .iter()
        .map(|(name, dial)| json!({"name": name, "dial": dial.to_string()}))
        .collect();
    let raw = json!({
        "name": "f", "listen": at.to_string(), "peers": peers, "links": 2, "accepted": 3, "beat_ms": 50,
        "queue_bytes": 600_000, "hello_ms": 500,
    });
    let section = FleetSection::parse(&raw, own).expect("a sound section");
    let transport = Transport::new(section, u64::from(own.as_bytes()[0]));
    let came: Rc<RefCell<Vec<(String, usize)>>> = Rc::default();
    let taken = came.clone();
    transport.set_handler(Rc::new(move |from, frame| {
        taken
            .borrow_mut()
            .push((from.to_owned(), frame.body().len()));
    }));
    tokio::task::spawn_local(transport.clone().accept(listener));
    (transport, at, came)
}

fn played(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what} was due");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A peer played by hand that greets as it should.
async fn greet(at: SocketAddr, codec: FrameCodec, name: &str, to: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a listener");
    let hello = Hello {
        name: name.to_owned(),
        to: to.to_owned(),
        life: 9,
    };
    stream
        .write_all(
            &codec
                .encode(FrameKind::Hello, &encode_body(&hello))
                .expect("it fits"),
        )
        .await
        .expect("room");
    stream
}

/// Guards the others' time and this one's memory: a peer that never reads fills its own outbox and no more, loses its link,
/// and holds up nobody; one that dribbles and one that says nothing lose theirs.
#[test]
fn a_peer_that_does_not_read_or_dribbles_costs_only_its_own_link() {
    played(async {
        let (other, other_at, came) = transport("b", &[]).await;
        let (here, at, _) = transport("a", &[("b", other_at)]).await;
        let _never_reads = greet(at, here.codec, "n", "a").await;
        until("its link", || here.link_counts() == (0, 1)).await;
        let big = vec![0; 100_000];
        let mut refused = 0;
        for _ in 0..100 {
            refused += u32::from(
                here.send("n", None, Lane::Replication, FrameKind::Compare, &big)
                    .is_err(),
            );
            assert_eq!(
                here.send("b", None, Lane::Replication, FrameKind::Compare, b"small"),
                Ok(())
            );
            tokio::task::yield_now().await;
        }
        assert!(refused > 0, "no limit was met");
        until("what the other was sent", || came.borrow().len() == 100).await;
        until("the end of the link that does not move", || {
            here.counters.borrow().silent >= 1
        })
        .await;

        let mut dribbles = greet(at, here.codec, "d", "a").await;
        let frame = here
            .codec
            .encode(FrameKind::Compare, &[0; 1000])
            .expect("it fits");
        let before = here.counters.borrow().silent;
        for byte in &frame {
            // It writes for as long as it may; what it writes is never a whole frame in time.
            if dribbles.write_all(&[*byte]).await.is_err() {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        until("the end of the one that dribbles", || {
            here.counters.borrow().silent > before
        })
        .await;
        assert!(!came.borrow().iter().any(|(from, _)| from == "d"));
        assert_eq!(
            other.link_counts().1,
            1,
            "the one that reads keeps its link"
        );
    });
}

/// Guards who is greeted, and versions side by side: a greeting for or from somebody else gives no link; one of the next
/// version does, and its frames of an unknown kind are passed over.
#[test]
fn only_the_one_that_was_meant_is_linked_and_the_next_version_is() {
    played(async {
        let (other, other_at, _) = transport("b", &[]).await;
        // The address of `x` is now that of `b`.
        let (here, at, came) = transport("a", &[("x", other_at)]).await;
        assert_eq!(
            here.send(
                "x",
                Some(other_at),
                Lane::BestEffort,
                FrameKind::Compare,
                b"for x"
            ),
            Ok(())
        );
        until("a greeting for somebody else", || {
            other.counters.borrow().wrong_name >= 1
        })
        .await;
        assert_eq!((here.link_counts(), other.link_counts()), ((0, 0), (0, 0)));

        let mut next = TcpStream::connect(at).await.expect("a listener");
        let mut hello = encode_body(&Hello {
            name: "n".to_owned(),
            to: "a".to_owned(),
            life: 9,
        });
        hello.extend(encode_body(&("a field that is new", 77u32)));
        for (kind, content) in [
            (FrameKind::Hello as u16, &hello[..]),
            (999, b"?"),
            (FrameKind::Compare as u16, b"good"),
        ] {
            let frame = here
                .codec
                .encode_as(VERSION + 1, kind, content)
                .expect("it fits");
            next.write_all(&frame).await.expect("room");
        }
        until("its frame", || {
            came.borrow()
                .iter()
                .any(|(from, length)| from == "n" && *length == 4)
        })
        .await;
        assert_eq!(here.counters.borrow().unknown, 1);
    });
}

/// Guards the count of links: no more are dialled or accepted than the section allows, the one least lately needed leaves, and
/// two that dial each other keep one.
#[test]
fn links_stay_within_their_bounds_and_two_keep_one() {
    played(async {
        let (b, b_at, came_b) = transport("b", &[]).await;
        let (_c, c_at, came_c) = transport("c", &[]).await;
        let (_d, d_at, came_d) = transport("d", &[]).await;
        let (here, at, came) = transport("a", &[]).await;
        for (name, to, came) in [
            ("b", b_at, &came_b),
            ("c", c_at, &came_c),
            ("d", d_at, &came_d),
        ] {
            assert_eq!(
                here.send(
                    name,
                    Some(to),
                    Lane::BestEffort,
                    FrameKind::Compare,
                    b"hello"
                ),
                Ok(())
            );
            until("a frame", || !came.borrow().is_empty()).await;
            assert!(here.link_counts().0 <= 2);
        }
        until("the oldest to leave", || b.link_counts() == (0, 0)).await;
        // Both at once: whichever comes up first, one is left, and both ways carry.
        assert_eq!(
            here.send("b", Some(b_at), Lane::BestEffort, FrameKind::Compare, b"1"),
            Ok(())
        );
        assert_eq!(
            b.send("a", Some(at), Lane::BestEffort, FrameKind::Compare, b"2"),
            Ok(())
        );
        until("both frames", || {
            came.borrow().iter().any(|(from, _)| from == "b") && came_b.borrow().len() == 2
        })
        .await;
        until("one link", || b.link_counts().0 + b.link_counts().1 == 1).await;

        let mut strangers = Vec::new();
        for _ in 0..6 {
            strangers.push(TcpStream::connect(at).await.expect("a listener"));
        }
        until("those that are too many", || {
            here.counters.borrow().crowded >= 3
        })
        .await;
        // Those that say nothing are told nothing and end.
        let mut rest = Vec::new();
        let ended = timeout(PATIENCE, strangers[0].read_to_end(&mut rest))
            .await
            .expect("an end");
        assert!(ended.is_err() || rest.is_empty());
    });
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards the bytes of a greeting: front doors of two versions greet each other.
#[test]
fn a_greeting_keeps_its_bytes_on_the_connection() {
    let body = encode_body(&Hello {
        name: "n1".to_owned(),
        to: "n2".to_owned(),
        life: 0x0123_4567_89ab_cdef,
    });
    assert_eq!(hex(&body), "026e31026e32ef9bafcdf8acd19101");
    played(async {
        let (here, at, _) = transport("a", &[]).await;
        let mut stream = greet(at, here.codec, "n", "a").await;
        let mut reply = [0; 29];
        timeout(PATIENCE, stream.read_exact(&mut reply))
            .await
            .expect("an answer")
            .expect("a whole one");
        assert_eq!(
            hex(&reply),
            "4353000100010000151a27db0000000000000005e2637adc0161016e61"
        );
    });
}

/// Guards the bytes of each lane on a connection: the lane decides when a frame goes, and leaves no mark on it.
#[test]
fn a_frame_of_each_lane_keeps_its_bytes_on_the_connection() {
    for lane in [Lane::Consensus, Lane::Replication, Lane::BestEffort] {
        played(async move {
            let (here, at, _) = transport("a", &[]).await;
            let mut stream = greet(at, here.codec, "n", "a").await;
            let mut reply = [0; 29];
            timeout(PATIENCE, stream.read_exact(&mut reply))
                .await
                .expect("an answer")
                .expect("a whole one");
            let sent = here.send("n", None, lane, FrameKind::Compare, b"body");
            assert_eq!(sent, Ok(()));
            let mut frame = [0; 28];
            // Heartbeats have no body and may come before.
            loop {
                let head = &mut frame[..24];
                timeout(PATIENCE, stream.read_exact(head))
                    .await
                    .expect("a frame")
                    .expect("a whole one");
                if head[5] != 2 {
                    break;
                }
                assert_eq!(
                    hex(head),
                    "4353000100020000151a27db0000000000000000d591a346"
                );
            }
            let body = &mut frame[24..];
            timeout(PATIENCE, stream.read_exact(body))
                .await
                .expect("a body")
                .expect("a whole one");
            assert_eq!(
                hex(&frame),
                "4353000100110000151a27db0000000000000004641051da626f6479",
                "{lane:?}"
            );
        });
    }
}
