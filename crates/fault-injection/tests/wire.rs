//! Each fault of a link, seen on the wire: what passes a link with the fault is held against what passes without it.

use cometspool_fault_injection::ground::Ground;
use cometspool_fault_injection::link::{Direction, Link, Quality};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// A wide limit for what has to come about.
const PATIENCE: Duration = Duration::from_secs(30);
/// A time in which nothing comes if nothing may: too short a one would only make a test milder.
const SILENCE: Duration = Duration::from_millis(300);
/// Datagrams of one run; any part of them that a fault takes is far from none and from all.
const MANY: u32 = 400;

struct Scene {
    listener: TcpListener,
    socket: UdpSocket,
    at: SocketAddr,
    forth: Arc<Direction>,
    back: Arc<Direction>,
}

/// A link from process 0 to this one.
async fn scene(ground: &Ground, to: usize) -> Scene {
    let (to, at) = (ground.fleet(to), ground.link(0, to));
    let (forth, back) = (Direction::new(7), Direction::new(8));
    Link {
        at,
        to,
        forth: forth.clone(),
        back: back.clone(),
    }
    .open()
    .await
    .expect("a link");
    let (listener, socket) = (
        TcpListener::bind(to).await.unwrap(),
        UdpSocket::bind(to).await.unwrap(),
    );
    Scene {
        listener,
        socket,
        at,
        forth,
        back,
    }
}

impl Scene {
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.at)
            .await
            .expect("a link that listens");
        let far = timeout(PATIENCE, self.listener.accept())
            .await
            .expect("a connection")
            .expect("a connection");
        (near, far.0)
    }

    /// How often each numbered datagram came, in the order of coming, after `MANY` were sent at a measured pace.
    async fn datagrams(&self) -> (Vec<u32>, u32) {
        let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let send = async {
            for number in 0..MANY + 1 {
                if number == MANY {
                    // The last word has to come, so it goes out once the fault is over.
                    self.forth.set(Quality::default());
                }
                let mut sent = number.to_be_bytes().to_vec();
                sent.extend([0xAA; 16]);
                near.send_to(&sent, self.at).await.unwrap();
                tokio::time::sleep(Duration::from_micros(500)).await;
            }
        };
        let hear = async {
            let (mut came, mut odd, mut last) = (Vec::new(), 0, false);
            let mut buffer = [0; 64];
            // The last word may overtake what was delayed: what is still to come is waited for a while.
            loop {
                let wait = if last { SILENCE } else { PATIENCE };
                let Ok(Ok((length, _))) = timeout(wait, self.socket.recv_from(&mut buffer)).await
                else {
                    break;
                };
                let number = u32::from_be_bytes(buffer[..4].try_into().unwrap());
                let whole = length == 20 && buffer[4..20] == [0xAA; 16] && number <= MANY;
                match (whole, number == MANY) {
                    (true, true) => last = true,
                    (true, false) => came.push(number),
                    (false, _) => odd += 1,
                }
            }
            (came, odd, last)
        };
        let ((), (came, odd, last)) = tokio::join!(send, hear);
        assert!(last, "the last word was due");
        (came, odd)
    }
}

async fn hears(stream: &mut TcpStream, wait: Duration) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 4096];
    let length = timeout(wait, stream.read(&mut buffer)).await.ok()?.ok()?;
    buffer.truncate(length);
    Some(buffer)
}

/// Guards the table of faults on datagrams: each does what it says, and only that.
#[tokio::test(flavor = "multi_thread")]
async fn faults_on_datagrams_act_as_they_say() {
    let tame = Quality::default();
    type Holds =
        fn(came: &[u32], odd: u32, acted: &cometspool_fault_injection::link::Acted) -> bool;
    let distinct =
        |came: &[u32]| came.iter().collect::<std::collections::BTreeSet<_>>().len() as u32;
    fn twice(came: &[u32]) -> usize {
        let mut counts = BTreeMap::new();
        came.iter()
            .for_each(|number| *counts.entry(number).or_insert(0) += 1);
        counts.values().filter(|count| **count == 2).count()
    }
    fn out_of_order(came: &[u32]) -> usize {
        came.windows(2).filter(|pair| pair[0] > pair[1]).count()
    }
    let cases: [(&str, Quality, Holds); 7] = [
        ("none", tame.clone(), |came, odd, _| {
            came.len() as u32 == MANY && odd == 0 && out_of_order(came) == 0 && twice(came) == 0
        }),
        (
            "cut",
            Quality {
                cut: true,
                ..tame.clone()
            },
            |came, odd, acted| {
                came.is_empty() && odd == 0 && acted.lost.load(Ordering::Relaxed) == u64::from(MANY)
            },
        ),
        (
            "loss",
            Quality {
                loss: 0.3,
                ..tame.clone()
            },
            |came, odd, acted| {
                let lost = MANY as usize - came.len();
                odd == 0
                    && lost as u64 == acted.lost.load(Ordering::Relaxed)
                    && (60..200).contains(&lost)
            },
        ),
        (
            "duplicate",
            Quality {
                duplicate: 0.3,
                ..tame.clone()
            },
            |came, odd, acted| {
                odd == 0
                    && twice(came) as u64 == acted.duplicated.load(Ordering::Relaxed)
                    && (60..200).contains(&twice(came))
            },
        ),
        (
            "reorder",
            Quality {
                reorder: 0.3,
                ..tame.clone()
            },
            |came, odd, _| odd == 0 && came.len() as u32 == MANY && out_of_order(came) > 20,
        ),
        (
            "damage",
            Quality {
                damage: 0.3,
                ..tame.clone()
            },
            |came, odd, acted| {
                // A byte that changes within the number is seen as another number, or as an odd one.
                let damaged = acted.damaged.load(Ordering::Relaxed);
                (60..200).contains(&damaged)
                    && u64::from(odd) > damaged / 2
                    && (came.len() as u32) < MANY
            },
        ),
        (
            "spread",
            Quality {
                delay_ms: 5.0,
                spread_ms: 10.0,
                ..tame.clone()
            },
            |came, odd, acted| {
                odd == 0
                    && came.len() as u32 == MANY
                    && acted.delayed.load(Ordering::Relaxed) == u64::from(MANY)
            },
        ),
    ];
    let ground = Ground::take().expect("addresses");
    for (number, (name, quality, holds)) in cases.into_iter().enumerate() {
        let scene = scene(&ground, number + 1).await;
        scene.forth.set(quality);
        let (came, odd) = scene.datagrams().await;
        let figures = scene.forth.acted.figures();
        assert!(
            holds(&came, odd, &scene.forth.acted),
            "{name}: {} came, {} of them distinct, {odd} odd, {figures}",
            came.len(),
            distinct(&came)
        );
    }
}

/// Guards cuts, which may be of one way only, against telling anybody, and against losing what TCP holds.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_is_silent_and_one_way_and_passes_on_what_it_held() {
    let ground = Ground::take().expect("addresses");
    let scene = scene(&ground, 1).await;
    let (mut near, mut far) = scene.connect().await;
    scene.forth.set(Quality {
        cut: true,
        ..Quality::default()
    });
    near.write_all(b"forth").await.unwrap();
    far.write_all(b"back").await.unwrap();
    assert_eq!(
        hears(&mut near, PATIENCE).await.as_deref(),
        Some(&b"back"[..])
    );
    assert_eq!(hears(&mut far, SILENCE).await, None);
    scene.forth.set(Quality::default());
    assert_eq!(
        hears(&mut far, PATIENCE).await.as_deref(),
        Some(&b"forth"[..])
    );
    assert_eq!(scene.forth.acted.held.load(Ordering::Relaxed), 1);
    // An end is held too: whoever is cut off is not told that the other is gone.
    scene.forth.set(Quality {
        cut: true,
        ..Quality::default()
    });
    drop(near);
    assert_eq!(hears(&mut far, SILENCE).await, None);
    scene.forth.set(Quality::default());
    assert_eq!(hears(&mut far, PATIENCE).await.as_deref(), Some(&b""[..]));
}

/// Guards refusals and resets: both end what is open at once, and refusals last until they are taken back.
#[tokio::test(flavor = "multi_thread")]
async fn refused_dials_and_resets_end_connections_at_once() {
    let ground = Ground::take().expect("addresses");
    let scene = scene(&ground, 1).await;
    let (mut near, mut far) = scene.connect().await;
    scene.back.reset();
    for stream in [&mut near, &mut far] {
        let error = timeout(PATIENCE, stream.read(&mut [0; 8]))
            .await
            .expect("an end")
            .expect_err("a reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    scene.forth.set(Quality {
        refuse: true,
        ..Quality::default()
    });
    let end = Instant::now() + PATIENCE;
    loop {
        match TcpStream::connect(scene.at).await {
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => break,
            _ => assert!(Instant::now() < end, "a refusal was due"),
        }
    }
    scene.forth.set(Quality::default());
    while TcpStream::connect(scene.at).await.is_err() {
        assert!(Instant::now() < end, "a link that listens again was due");
    }
}

/// Guards the faults on a stream's bytes: later, slower, changed, or cut short in the middle of a frame; never lost,
/// repeated or out of order.
#[tokio::test(flavor = "multi_thread")]
async fn faults_on_streams_change_time_and_bytes_but_not_order() {
    let ground = Ground::take().expect("addresses");
    let scene = scene(&ground, 1).await;
    let (mut near, mut far) = scene.connect().await;
    let sent: Vec<u8> = (0..20_000u32).flat_map(u32::to_be_bytes).collect();
    let mut came = vec![0; sent.len()];

    // Delay and loss show as time; the lower bounds cannot be missed on a slow machine.
    scene.forth.set(Quality {
        delay_ms: 40.0,
        spread_ms: 20.0,
        ..Quality::default()
    });
    let begun = Instant::now();
    near.write_all(&sent).await.unwrap();
    timeout(PATIENCE, far.read_exact(&mut came))
        .await
        .expect("all")
        .unwrap();
    assert!(came == sent && begun.elapsed() >= Duration::from_millis(40));
    scene.forth.set(Quality {
        loss: 1.0,
        ..Quality::default()
    });
    let begun = Instant::now();
    near.write_all(b"late").await.unwrap();
    assert_eq!(
        hears(&mut far, PATIENCE).await.as_deref(),
        Some(&b"late"[..])
    );
    assert!(begun.elapsed() >= Duration::from_millis(200));

    // 80,000 bytes at 400,000 a second take 0.2 s.
    scene.forth.set(Quality {
        bytes_per_s: Some(400_000.0),
        ..Quality::default()
    });
    let begun = Instant::now();
    near.write_all(&sent).await.unwrap();
    timeout(PATIENCE, far.read_exact(&mut came))
        .await
        .expect("all")
        .unwrap();
    assert!(came == sent && begun.elapsed() >= Duration::from_millis(190));

    // A changed byte is one bit of one byte.
    scene.forth.set(Quality {
        damage: 1.0,
        ..Quality::default()
    });
    near.write_all(b"frame").await.unwrap();
    let heard = hears(&mut far, PATIENCE).await.expect("a frame");
    let changed: u32 = heard
        .iter()
        .zip(b"frame")
        .map(|(a, b)| (a ^ b).count_ones())
        .sum();
    assert_eq!((heard.len(), changed), (5, 1));

    // A half-sent frame ends in a reset.
    scene.forth.set(Quality::default());
    scene.forth.halve(3);
    near.write_all(b"frame").await.unwrap();
    let mut half = Vec::new();
    let error = timeout(PATIENCE, far.read_to_end(&mut half))
        .await
        .expect("an end")
        .expect_err("a reset");
    assert_eq!(
        (half.as_slice(), error.kind()),
        (&b"fra"[..], std::io::ErrorKind::ConnectionReset)
    );
}
