//! Tests of the transport on loopback, against scripted peers.

use super::handshake::Hello;
use super::*;
use crate::net::fleet::frame::{encode_body, VERSION};
use serde_json::json;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Generous limit on how long a test waits for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A frame that a transport received.
#[derive(Debug)]
struct ReceivedFrame {
    from: String,
    body_bytes: usize,
}

/// A transport, the address that it listens on, and the frames that it received.
struct TestTransport {
    transport: Rc<Transport>,
    address: SocketAddr,
    received: Rc<RefCell<Vec<ReceivedFrame>>>,
}

impl TestTransport {
    fn outbound(&self) -> usize {
        self.transport.connection_counts().outbound
    }

    fn inbound(&self) -> usize {
        self.transport.connection_counts().inbound
    }

    fn send(&self, to: &str, at: Option<SocketAddr>, body: &[u8]) -> Result<(), SendError> {
        self.transport
            .send(to, at, Lane::BestEffort, FrameKind::AntiEntropy, body)
    }

    fn counters(&self) -> TransportCounters {
        *self.transport.counters.borrow()
    }
}

/// Starts a transport called `name` with a short heartbeat interval, small outboxes and few
/// connections.
async fn transport(name: &str, peers: &[(&str, SocketAddr)]) -> TestTransport {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let peers: Vec<_> = peers
        .iter()
        .map(|(name, dial)| json!({"name": name, "dial": dial.to_string()}))
        .collect();
    let raw = json!({
        "name": "f", "listen": address.to_string(), "peers": peers, "links": 2, "accepted": 3, "beat_ms": 50,
        "queue_bytes": 600_000, "hello_ms": 500,
    });
    let section = FleetSection::parse(&raw, name).expect("a valid section");
    let transport = Transport::new(section, u64::from(name.as_bytes()[0]));
    let received: Rc<RefCell<Vec<ReceivedFrame>>> = Rc::default();
    let frames = received.clone();
    transport.set_handler(Rc::new(move |from, frame| {
        frames.borrow_mut().push(ReceivedFrame {
            from: from.to_owned(),
            body_bytes: frame.body().len(),
        });
    }));
    tokio::task::spawn_local(transport.clone().accept(listener));
    TestTransport {
        transport,
        address,
        received,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Connects as a scripted peer called `name`, and sends its hello.
async fn connect(at: SocketAddr, codec: FrameCodec, name: &str, to: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a listener");
    let hello = Hello {
        name: name.to_owned(),
        to: to.to_owned(),
        instance_id: 9,
    };
    stream
        .write_all(
            &codec
                .encode(FrameKind::Hello, &encode_body(&hello))
                .expect("it fits"),
        )
        .await
        .expect("the write succeeds");
    stream
}

/// Guards against a peer that delays the others or uses up this gateway's memory. A peer that never
/// reads fills only its own outbox, loses its connection and delays no other peer. A peer that
/// sends one byte at a time and one that sends nothing lose their connections too.
#[test]
fn a_peer_that_stalls_or_sends_slowly_loses_only_its_own_connection() {
    run(async {
        let other = transport("b", &[]).await;
        let local = transport("a", &[("b", other.address)]).await;
        let codec = local.transport.codec;
        let _never_reads = connect(local.address, codec, "n", "a").await;
        wait_for("the connection of the peer that never reads", || {
            local.outbound() == 0 && local.inbound() == 1
        })
        .await;
        let big = vec![0; 100_000];
        let mut rejected = 0;
        for _ in 0..100 {
            rejected += u32::from(
                local
                    .transport
                    .send("n", None, Lane::Replication, FrameKind::AntiEntropy, &big)
                    .is_err(),
            );
            assert_eq!(
                local.transport.send(
                    "b",
                    None,
                    Lane::Replication,
                    FrameKind::AntiEntropy,
                    b"small"
                ),
                Ok(())
            );
            tokio::task::yield_now().await;
        }
        assert!(rejected > 0, "the outbox never became full");
        wait_for("all frames at the other peer", || {
            other.received.borrow().len() == 100
        })
        .await;
        wait_for("the close of the stalled connection", || {
            local.counters().timed_out >= 1
        })
        .await;

        let mut slow = connect(local.address, codec, "d", "a").await;
        let frame = codec
            .encode(FrameKind::AntiEntropy, &[0; 1000])
            .expect("it fits");
        let before = local.counters().timed_out;
        for byte in &frame {
            // The peer writes until its connection closes, and never completes a frame in time.
            if slow.write_all(&[*byte]).await.is_err() {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        wait_for("the close of the slow connection", || {
            local.counters().timed_out > before
        })
        .await;
        assert!(!other
            .received
            .borrow()
            .iter()
            .any(|frame| frame.from == "d"));
        assert_eq!(
            other.inbound(),
            1,
            "the peer that reads keeps its connection"
        );
    });
}

/// Guards the handshake and the compatibility of versions. A hello that is for or from another
/// gateway leads to no connection. A hello of the next version does, and frames of an unknown kind
/// on that connection are ignored.
#[test]
fn a_handshake_with_the_wrong_name_fails_and_the_next_version_connects() {
    run(async {
        let other = transport("b", &[]).await;
        // Gateway `b` now listens at the address that is configured for `x`.
        let local = transport("a", &[("x", other.address)]).await;
        assert_eq!(local.send("x", Some(other.address), b"for x"), Ok(()));
        wait_for("the rejection of a hello for another gateway", || {
            other.counters().wrong_name >= 1
        })
        .await;
        let none = ConnectionCounts::default();
        assert_eq!(local.transport.connection_counts(), none);
        assert_eq!(other.transport.connection_counts(), none);

        let mut next = TcpStream::connect(local.address).await.expect("a listener");
        let mut hello = encode_body(&Hello {
            name: "n".to_owned(),
            to: "a".to_owned(),
            instance_id: 9,
        });
        hello.extend(encode_body(&("a field that is new", 77u32)));
        for (kind, content) in [
            (FrameKind::Hello as u16, &hello[..]),
            (999, b"?"),
            (FrameKind::AntiEntropy as u16, b"good"),
        ] {
            let frame = local
                .transport
                .codec
                .encode_as(VERSION + 1, kind, content)
                .expect("it fits");
            next.write_all(&frame).await.expect("the write succeeds");
        }
        wait_for("the frame of the next version", || {
            local
                .received
                .borrow()
                .iter()
                .any(|frame| frame.from == "n" && frame.body_bytes == 4)
        })
        .await;
        assert_eq!(local.counters().unknown_kind, 1);
    });
}

/// Guards the limits on connections. No more are dialed or accepted than the configuration allows,
/// the least recently used one is closed to make room, and two gateways that dial each other at the
/// same time keep one connection.
#[test]
fn connections_stay_within_their_limits_and_simultaneous_dials_keep_one() {
    run(async {
        let b = transport("b", &[]).await;
        let c = transport("c", &[]).await;
        let d = transport("d", &[]).await;
        let local = transport("a", &[]).await;
        for (name, peer) in [("b", &b), ("c", &c), ("d", &d)] {
            assert_eq!(local.send(name, Some(peer.address), b"hello"), Ok(()));
            wait_for("a frame", || !peer.received.borrow().is_empty()).await;
            assert!(local.outbound() <= 2);
        }
        wait_for("the close of the least recently used connection", || {
            b.transport.connection_counts() == ConnectionCounts::default()
        })
        .await;
        // Both gateways dial at the same time. Whichever connection opens first, one remains, and
        // frames pass in both directions.
        assert_eq!(local.send("b", Some(b.address), b"1"), Ok(()));
        assert_eq!(b.send("a", Some(local.address), b"2"), Ok(()));
        wait_for("both frames", || {
            let from_b = local
                .received
                .borrow()
                .iter()
                .any(|frame| frame.from == "b");
            from_b && b.received.borrow().len() == 2
        })
        .await;
        wait_for("one connection", || b.outbound() + b.inbound() == 1).await;

        let mut connections_without_hello = Vec::new();
        for _ in 0..6 {
            connections_without_hello
                .push(TcpStream::connect(local.address).await.expect("a listener"));
        }
        wait_for("the rejection of connections beyond the limit", || {
            local.counters().over_limit >= 3
        })
        .await;
        // A connection without a hello receives nothing and is closed.
        let mut rest = Vec::new();
        let ended = timeout(
            WAIT_TIMEOUT,
            connections_without_hello[0].read_to_end(&mut rest),
        )
        .await
        .expect("the connection closes");
        assert!(ended.is_err() || rest.is_empty());
    });
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards the bytes of a hello, because gateways of two versions have to complete a handshake.
#[test]
fn a_hello_keeps_its_bytes_on_the_connection() {
    let body = encode_body(&Hello {
        name: "n1".to_owned(),
        to: "n2".to_owned(),
        instance_id: 0x0123_4567_89ab_cdef,
    });
    assert_eq!(hex(&body), "026e31026e32ef9bafcdf8acd19101");
    run(async {
        let local = transport("a", &[]).await;
        let mut stream = connect(local.address, local.transport.codec, "n", "a").await;
        let mut reply = [0; 29];
        timeout(WAIT_TIMEOUT, stream.read_exact(&mut reply))
            .await
            .expect("a reply in time")
            .expect("a complete read");
        assert_eq!(
            hex(&reply),
            "4353000100010000151a27db0000000000000005e2637adc0161016e61"
        );
    });
}

/// Guards the bytes of frames in each lane: the lane decides when a frame is sent, and does not
/// change its bytes.
#[test]
fn a_frame_of_each_lane_keeps_its_bytes_on_the_connection() {
    for lane in [Lane::Consensus, Lane::Replication, Lane::BestEffort] {
        run(async move {
            let local = transport("a", &[]).await;
            let mut stream = connect(local.address, local.transport.codec, "n", "a").await;
            let mut reply = [0; 29];
            timeout(WAIT_TIMEOUT, stream.read_exact(&mut reply))
                .await
                .expect("a reply in time")
                .expect("a complete read");
            let sent = local
                .transport
                .send("n", None, lane, FrameKind::AntiEntropy, b"body");
            assert_eq!(sent, Ok(()));
            let mut frame = [0; 28];
            // Heartbeats have no body and may arrive before the frame.
            loop {
                let head = &mut frame[..24];
                timeout(WAIT_TIMEOUT, stream.read_exact(head))
                    .await
                    .expect("a frame in time")
                    .expect("a complete read");
                if head[5] != 2 {
                    break;
                }
                assert_eq!(
                    hex(head),
                    "4353000100020000151a27db0000000000000000d591a346"
                );
            }
            let body = &mut frame[24..];
            timeout(WAIT_TIMEOUT, stream.read_exact(body))
                .await
                .expect("a body in time")
                .expect("a complete read");
            assert_eq!(
                hex(&frame),
                "4353000100110000151a27db0000000000000004641051da626f6479",
                "{lane:?}"
            );
        });
    }
}
