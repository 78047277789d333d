//! The effect of each link fault as the two ends of the link observe it: compares what arrives with what was sent.

use cometspool_fault_injection::address_block::AddressBlock;
use cometspool_fault_injection::link::{Direction, LinkConditions, LinkCounters};
use cometspool_fault_injection::proxy::Proxy;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// The longest wait for an event that must happen.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The pause between two attempts to connect.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long nothing may arrive. Too short a time would make a test weaker, but never fail it.
const SILENCE: Duration = Duration::from_millis(300);
/// The datagrams of one run, so many that a fault with a fraction affects some of them but not all.
const DATAGRAMS: u32 = 400;

/// A proxy in front of a listener and a UDP socket, with both directions of the link.
struct LinkFixture {
    listener: TcpListener,
    socket: UdpSocket,
    proxy_address: SocketAddr,
    outbound: Arc<Direction>,
    inbound: Arc<Direction>,
}

/// The two ends of a connection through the proxy.
struct Connection {
    /// The end that connected to the proxy.
    downstream: TcpStream,
    /// The end that accepted the connection from the proxy.
    upstream: TcpStream,
}

/// The numbered datagrams that arrived.
struct Arrivals {
    /// The numbers of intact datagrams, in the order of arrival.
    numbers: Vec<u32>,
    /// The count of datagrams that differ from those sent.
    corrupted: u32,
}

impl Arrivals {
    fn count(&self) -> u32 {
        self.numbers.len() as u32
    }

    fn distinct(&self) -> usize {
        self.numbers.iter().collect::<BTreeSet<_>>().len()
    }

    /// The count of numbers that arrived exactly twice.
    fn duplicates(&self) -> usize {
        let mut counts = BTreeMap::new();
        for number in &self.numbers {
            *counts.entry(number).or_insert(0) += 1;
        }
        counts.values().filter(|count| **count == 2).count()
    }

    /// The count of adjacent arrivals in the wrong order.
    fn reordered(&self) -> usize {
        self.numbers
            .windows(2)
            .filter(|pair| pair[0] > pair[1])
            .count()
    }
}

impl LinkFixture {
    /// A link from process 0 to process `to`.
    async fn new(addresses: &AddressBlock, to: usize) -> LinkFixture {
        let target_address = addresses.fleet_address(to);
        let proxy_address = addresses.link_address(0, to);
        let outbound = Direction::new(7);
        let inbound = Direction::new(8);
        let proxy = Proxy {
            listen_address: proxy_address,
            target_address,
            outbound: outbound.clone(),
            inbound: inbound.clone(),
        };
        proxy.start().await.expect("a proxy");
        LinkFixture {
            listener: TcpListener::bind(target_address).await.unwrap(),
            socket: UdpSocket::bind(target_address).await.unwrap(),
            proxy_address,
            outbound,
            inbound,
        }
    }

    async fn connect(&self) -> Connection {
        let downstream = TcpStream::connect(self.proxy_address)
            .await
            .expect("a proxy that listens");
        let (upstream, _) = timeout(MAX_WAIT, self.listener.accept())
            .await
            .expect("a connection in time")
            .expect("a connection");
        Connection {
            downstream,
            upstream,
        }
    }

    /// Sends `DATAGRAMS` numbered datagrams at a steady rate, and one more after the fault has ended, which must
    /// arrive.
    async fn send_datagrams(&self) {
        let downstream = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for number in 0..DATAGRAMS + 1 {
            if number == DATAGRAMS {
                self.outbound.set_conditions(LinkConditions::default());
            }
            let mut datagram = number.to_be_bytes().to_vec();
            datagram.extend([0xAA; 16]);
            downstream
                .send_to(&datagram, self.proxy_address)
                .await
                .unwrap();
            tokio::time::sleep(Duration::from_micros(500)).await;
        }
    }

    /// Receives datagrams until the last one has arrived and no more follow, since it may overtake delayed ones.
    async fn receive_datagrams(&self) -> Arrivals {
        let mut arrivals = Arrivals {
            numbers: Vec::new(),
            corrupted: 0,
        };
        let mut last_arrived = false;
        let mut buffer = [0; 64];
        loop {
            let wait = if last_arrived { SILENCE } else { MAX_WAIT };
            let Ok(Ok((length, _))) = timeout(wait, self.socket.recv_from(&mut buffer)).await
            else {
                break;
            };
            let number = u32::from_be_bytes(buffer[..4].try_into().unwrap());
            let intact = length == 20 && buffer[4..20] == [0xAA; 16] && number <= DATAGRAMS;
            match (intact, number == DATAGRAMS) {
                (true, true) => last_arrived = true,
                (true, false) => arrivals.numbers.push(number),
                (false, _) => arrivals.corrupted += 1,
            }
        }
        assert!(last_arrived, "the last datagram did not arrive");
        arrivals
    }

    /// Sends `DATAGRAMS` datagrams and returns those that arrived.
    async fn exchange_datagrams(&self) -> Arrivals {
        let ((), arrivals) = tokio::join!(self.send_datagrams(), self.receive_datagrams());
        arrivals
    }
}

/// The next bytes of a stream: empty if the stream has ended, `None` if nothing arrives in time or the read fails.
async fn receive(stream: &mut TcpStream, wait: Duration) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 4096];
    let length = timeout(wait, stream.read(&mut buffer)).await.ok()?.ok()?;
    buffer.truncate(length);
    Some(buffer)
}

/// A fault on datagrams, and the condition that the arrivals and the counters must meet.
struct DatagramCase {
    name: &'static str,
    conditions: LinkConditions,
    holds: fn(&Arrivals, &LinkCounters) -> bool,
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Each fault, with a fraction of 0.3 where it has one.
fn datagram_cases() -> [DatagramCase; 7] {
    let default = LinkConditions::default;
    [
        DatagramCase {
            name: "none",
            conditions: default(),
            holds: |arrivals, _| {
                arrivals.count() == DATAGRAMS
                    && arrivals.corrupted == 0
                    && arrivals.reordered() == 0
                    && arrivals.duplicates() == 0
            },
        },
        DatagramCase {
            name: "blackhole",
            conditions: LinkConditions::blackhole(),
            holds: |arrivals, counters| {
                arrivals.numbers.is_empty()
                    && arrivals.corrupted == 0
                    && load(&counters.lost) == u64::from(DATAGRAMS)
            },
        },
        DatagramCase {
            name: "loss",
            conditions: LinkConditions {
                loss: 0.3,
                ..default()
            },
            holds: |arrivals, counters| {
                let lost = DATAGRAMS as usize - arrivals.numbers.len();
                arrivals.corrupted == 0
                    && lost as u64 == load(&counters.lost)
                    && (60..200).contains(&lost)
            },
        },
        DatagramCase {
            name: "duplicate",
            conditions: LinkConditions {
                duplicate: 0.3,
                ..default()
            },
            holds: |arrivals, counters| {
                arrivals.corrupted == 0
                    && arrivals.duplicates() as u64 == load(&counters.duplicated)
                    && (60..200).contains(&arrivals.duplicates())
            },
        },
        DatagramCase {
            name: "reorder",
            conditions: LinkConditions {
                reorder: 0.3,
                ..default()
            },
            holds: |arrivals, _| {
                arrivals.corrupted == 0
                    && arrivals.count() == DATAGRAMS
                    && arrivals.reordered() > 20
            },
        },
        DatagramCase {
            name: "corrupt",
            conditions: LinkConditions {
                corrupt: 0.3,
                ..default()
            },
            holds: |arrivals, counters| {
                // A bit that changes within the number makes it another number, or one that is too large.
                let corrupted = load(&counters.corrupted);
                (60..200).contains(&corrupted)
                    && u64::from(arrivals.corrupted) > corrupted / 2
                    && arrivals.count() < DATAGRAMS
            },
        },
        DatagramCase {
            name: "jitter",
            conditions: LinkConditions {
                delay_ms: 5.0,
                jitter_ms: 10.0,
                ..default()
            },
            holds: |arrivals, counters| {
                arrivals.corrupted == 0
                    && arrivals.count() == DATAGRAMS
                    && load(&counters.delayed) == u64::from(DATAGRAMS)
            },
        },
    ]
}

/// Each fault on datagrams has its documented effect, and no other.
#[tokio::test(flavor = "multi_thread")]
async fn each_datagram_fault_has_its_documented_effect_only() {
    let addresses = AddressBlock::acquire().expect("addresses");
    for (index, case) in datagram_cases().into_iter().enumerate() {
        let link = LinkFixture::new(&addresses, index + 1).await;
        link.outbound.set_conditions(case.conditions);
        let arrivals = link.exchange_datagrams().await;
        let counters = link.outbound.counters.to_json();
        assert!(
            (case.holds)(&arrivals, &link.outbound.counters),
            "{}: {} arrived, {} of them distinct, {} corrupted, {counters}",
            case.name,
            arrivals.count(),
            arrivals.distinct(),
            arrivals.corrupted
        );
    }
}

/// A blackhole can affect one direction only. It notifies neither side, and data that TCP has buffered passes when it
/// ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_blackhole_is_silent_and_loses_no_buffered_data() {
    let addresses = AddressBlock::acquire().expect("addresses");
    let link = LinkFixture::new(&addresses, 1).await;
    let Connection {
        mut downstream,
        mut upstream,
    } = link.connect().await;
    link.outbound.set_conditions(LinkConditions::blackhole());
    downstream.write_all(b"forth").await.unwrap();
    upstream.write_all(b"back").await.unwrap();
    assert_eq!(
        receive(&mut downstream, MAX_WAIT).await.as_deref(),
        Some(&b"back"[..])
    );
    assert_eq!(receive(&mut upstream, SILENCE).await, None);
    link.outbound.set_conditions(LinkConditions::default());
    assert_eq!(
        receive(&mut upstream, MAX_WAIT).await.as_deref(),
        Some(&b"forth"[..])
    );
    assert_eq!(link.outbound.counters.stalled.load(Ordering::Relaxed), 1);
    // A close is held back too: the other side is not notified.
    link.outbound.set_conditions(LinkConditions::blackhole());
    drop(downstream);
    assert_eq!(receive(&mut upstream, SILENCE).await, None);
    link.outbound.set_conditions(LinkConditions::default());
    assert_eq!(
        receive(&mut upstream, MAX_WAIT).await.as_deref(),
        Some(&b""[..])
    );
}

/// Resets and rejections close open connections at once, and new connections are rejected until the fault ends.
#[tokio::test(flavor = "multi_thread")]
async fn rejections_and_resets_close_open_connections_at_once() {
    let addresses = AddressBlock::acquire().expect("addresses");
    let link = LinkFixture::new(&addresses, 1).await;
    let Connection {
        mut downstream,
        mut upstream,
    } = link.connect().await;
    link.inbound.reset_connections();
    for stream in [&mut downstream, &mut upstream] {
        let error = timeout(MAX_WAIT, stream.read(&mut [0; 8]))
            .await
            .expect("an end")
            .expect_err("a reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    link.outbound.set_conditions(LinkConditions {
        reject_connections: true,
        ..LinkConditions::default()
    });
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        match TcpStream::connect(link.proxy_address).await {
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => break,
            _ => assert!(
                Instant::now() < deadline,
                "timed out waiting for a rejected connection"
            ),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    link.outbound.set_conditions(LinkConditions::default());
    while TcpStream::connect(link.proxy_address).await.is_err() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for a proxy that listens again"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Faults on a stream delay, limit, change or truncate its bytes; they never lose, repeat or reorder them.
#[tokio::test(flavor = "multi_thread")]
async fn stream_faults_never_lose_or_reorder_bytes() {
    let addresses = AddressBlock::acquire().expect("addresses");
    let link = LinkFixture::new(&addresses, 1).await;
    let Connection {
        mut downstream,
        mut upstream,
    } = link.connect().await;
    let sent: Vec<u8> = (0..20_000u32).flat_map(u32::to_be_bytes).collect();
    let mut received = vec![0; sent.len()];

    // Delay and loss show only in the elapsed time, of which the test checks lower bounds: a slow machine meets them
    // too.
    link.outbound.set_conditions(LinkConditions {
        delay_ms: 40.0,
        jitter_ms: 20.0,
        ..LinkConditions::default()
    });
    let start = Instant::now();
    downstream.write_all(&sent).await.unwrap();
    timeout(MAX_WAIT, upstream.read_exact(&mut received))
        .await
        .expect("all")
        .unwrap();
    assert!(received == sent && start.elapsed() >= Duration::from_millis(40));
    link.outbound.set_conditions(LinkConditions {
        loss: 1.0,
        ..LinkConditions::default()
    });
    let start = Instant::now();
    downstream.write_all(b"late").await.unwrap();
    assert_eq!(
        receive(&mut upstream, MAX_WAIT).await.as_deref(),
        Some(&b"late"[..])
    );
    assert!(start.elapsed() >= Duration::from_millis(200));

    // 80,000 bytes at 400,000 a second take 0.2 s.
    link.outbound.set_conditions(LinkConditions {
        bytes_per_s: Some(400_000.0),
        ..LinkConditions::default()
    });
    let start = Instant::now();
    downstream.write_all(&sent).await.unwrap();
    timeout(MAX_WAIT, upstream.read_exact(&mut received))
        .await
        .expect("all")
        .unwrap();
    assert!(received == sent && start.elapsed() >= Duration::from_millis(190));

    // Corruption changes one bit of one byte.
    link.outbound.set_conditions(LinkConditions {
        corrupt: 1.0,
        ..LinkConditions::default()
    });
    downstream.write_all(b"frame").await.unwrap();
    let received = receive(&mut upstream, MAX_WAIT).await.expect("a frame");
    let changed: u32 = received
        .iter()
        .zip(b"frame")
        .map(|(a, b)| (a ^ b).count_ones())
        .sum();
    assert_eq!((received.len(), changed), (5, 1));

    // A truncated frame is followed by a reset.
    link.outbound.set_conditions(LinkConditions::default());
    link.outbound.truncate_connection(3);
    downstream.write_all(b"frame").await.unwrap();
    let mut truncated = Vec::new();
    let error = timeout(MAX_WAIT, upstream.read_to_end(&mut truncated))
        .await
        .expect("an end")
        .expect_err("a reset");
    assert_eq!(
        (truncated.as_slice(), error.kind()),
        (&b"fra"[..], std::io::ErrorKind::ConnectionReset)
    );
}
