//! Measures the overhead of fault injection, which all figures measured with it contain, and the instructions that a
//! gateway executes per request.

use crate::address_block::AddressBlock;
use crate::cluster::{process_name, Cluster, ClusterConfig};
use crate::history::Event;
use crate::link::Direction;
use crate::proxy::Proxy;
use crate::scripted_peers::{request_with, ScriptedConnection};
use crate::stub_services::BackendBehavior;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::signal::{kill, Signal};
use nix::sys::time::TimeValLike;
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The round trips measured on a direct connection, and again through a proxy.
const ROUND_TRIPS: usize = 2000;
/// The length of the message that a round trip sends and gets back, bytes.
const MESSAGE_BYTES: usize = 64;
/// How long datagrams of the membership protocol are counted.
const MEMBERSHIP_PERIOD: Duration = Duration::from_secs(30);
/// How long a fleet may settle before instructions are counted.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// How long `perf` may take to attach itself to the gateway.
const PERF_START_TIME: Duration = Duration::from_millis(500);

/// Measures the start-up of a cluster, its membership protocol, and the latency of a link. Returns a Markdown table.
///
/// # Errors
///
/// Returns the error of a file, socket or process that cannot be opened or started.
pub fn cost_table(processes: usize) -> io::Result<String> {
    let startup = measure_startup(processes)?;
    let links = measure_links()?;
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    Ok(format!(
        "| measurement | value |\n| --- | --- |\n\
         | {processes} processes: proxies and stub services started | {:.0} ms |\n\
         | all processes serving | {:.0} ms |\n| all agree on members | {:.0} ms |\n| shutdown of all | {:.0} ms |\n\
         | membership protocol, per process and second: datagrams, bytes | {:.2}, {:.0} |\n\
         | one process killed: detected by the first, by the last | {:.1} s, {:.1} s |\n\
         | false detections of running processes | {} |\n\
         | round trip of 64 bytes, direct: median, 99th percentile | {:.0} us, {:.0} us |\n\
         | round trip of 64 bytes, through a proxy: median, 99th percentile | {:.0} us, {:.0} us |\n\
         | processor time per round trip: direct, added by the proxy | {:.1} us, {:.1} us |",
        ms(startup.prepared),
        ms(startup.serving),
        ms(startup.agreed),
        ms(startup.shutdown),
        startup.membership.datagrams_per_s,
        startup.membership.bytes_per_s,
        startup.membership.first_detection.as_secs_f64(),
        startup.membership.last_detection.as_secs_f64(),
        startup.membership.false_detections,
        links.direct.median_us,
        links.direct.p99_us,
        links.proxied.median_us,
        links.proxied.p99_us,
        links.direct.processor_us,
        links.proxied.processor_us - links.direct.processor_us
    ))
}

/// How long the phases of a cluster's life took.
struct StartupCost {
    /// From the start of the measurement until proxies and stub services were started.
    prepared: Duration,
    /// From the start of the measurement until all processes served.
    serving: Duration,
    /// From the start of the measurement until all processes agreed on the members.
    agreed: Duration,
    /// The duration of the shutdown of all processes.
    shutdown: Duration,
    membership: MembershipCost,
}

fn measure_startup(processes: usize) -> io::Result<StartupCost> {
    let start = Instant::now();
    let mut cluster = Cluster::new(&ClusterConfig {
        processes,
        ..ClusterConfig::default()
    })?;
    let prepared = start.elapsed();
    (0..processes).try_for_each(|process| cluster.start_process(process))?;
    cluster.wait_until_serving();
    let serving = start.elapsed();
    let all: Vec<usize> = (0..processes).collect();
    cluster.wait_for_agreement(&all, "agreement of all processes");
    let agreed = start.elapsed();
    let membership = measure_membership(&mut cluster, processes);
    let shutdown_start = start.elapsed();
    drop(cluster);
    Ok(StartupCost {
        prepared,
        serving,
        agreed,
        shutdown: start.elapsed() - shutdown_start,
        membership,
    })
}

/// The traffic of the membership protocol per process, and how soon the failure of a process is detected.
struct MembershipCost {
    datagrams_per_s: f64,
    bytes_per_s: f64,
    /// From the kill of a process until the first other process detected its failure.
    first_detection: Duration,
    /// From the kill of a process until all other processes had detected its failure.
    last_detection: Duration,
    /// Detected failures of processes that were running.
    false_detections: usize,
}

/// What all processes together have sent for the membership protocol.
#[derive(Default)]
struct MembershipTraffic {
    datagrams: u64,
    bytes: u64,
}

fn membership_traffic(cluster: &Cluster, processes: usize) -> MembershipTraffic {
    let count = |process, name: &str| {
        cluster
            .last_fleet_report(process)
            .and_then(|event| event.fields["members"]["counts"][name].as_u64())
            .unwrap_or(0)
    };
    let mut traffic = MembershipTraffic::default();
    for process in 0..processes {
        traffic.datagrams += count(process, "sent");
        traffic.bytes += count(process, "sent_bytes");
    }
    traffic
}

fn measure_membership(cluster: &mut Cluster, processes: usize) -> MembershipCost {
    // Leaves time for the membership traffic of the start-up to end, so that it is not counted.
    std::thread::sleep(MEMBERSHIP_PERIOD / 3);
    let start = Instant::now();
    let before = membership_traffic(cluster, processes);
    std::thread::sleep(MEMBERSHIP_PERIOD);
    let after = membership_traffic(cluster, processes);
    let process_seconds = start.elapsed().as_secs_f64() * processes as f64;
    let victim = processes - 1;
    let victim_name = process_name(victim);
    cluster.processes[victim].kill();
    let killed = Instant::now();
    let failure = |event: &&Event| event.kind == "member" && event.text("change") == "failed";
    let detections = |cluster: &Cluster| {
        cluster.history.read(|events| {
            events
                .iter()
                .filter(failure)
                .filter(|event| event.text("member") == victim_name)
                .count()
        })
    };
    cluster.wait_for("the first detection", |cluster| {
        (detections(cluster) > 0).then_some(())
    });
    let first_detection = killed.elapsed();
    cluster.wait_for("detection by all", |cluster| {
        (detections(cluster) >= processes - 1).then_some(())
    });
    let last_detection = killed.elapsed();
    let false_detections = cluster.history.read(|events| {
        events
            .iter()
            .filter(failure)
            .filter(|event| event.text("member") != victim_name)
            .count()
    });
    MembershipCost {
        datagrams_per_s: (after.datagrams - before.datagrams) as f64 / process_seconds,
        bytes_per_s: (after.bytes - before.bytes) as f64 / process_seconds,
        first_detection,
        last_detection,
        false_detections,
    }
}

/// Latency and processor time of a round trip, µs.
struct RoundTrips {
    median_us: f64,
    p99_us: f64,
    /// The mean processor time that this process, which runs the proxy and both ends, spends on a round trip.
    processor_us: f64,
}

/// Round trips on a direct connection and through a proxy.
struct LinkCost {
    direct: RoundTrips,
    proxied: RoundTrips,
}

fn measure_links() -> io::Result<LinkCost> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let addresses = AddressBlock::acquire()?;
        let target = addresses.fleet_address(1);
        let proxy = addresses.link_address(0, 1);
        Proxy {
            listen_address: proxy,
            target_address: target,
            outbound: Direction::new(1),
            inbound: Direction::new(2),
        }
        .start()
        .await?;
        let listener = TcpListener::bind(target).await?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                echo(stream).await;
            }
        });
        Ok(LinkCost {
            direct: measure_round_trips(TcpStream::connect(target).await?).await?,
            proxied: measure_round_trips(TcpStream::connect(proxy).await?).await?,
        })
    })
}

/// Sends each message back until the connection ends.
async fn echo(mut stream: TcpStream) {
    // A failure only delays responses, which shows in the measured times.
    let _ = stream.set_nodelay(true);
    let mut message = [0; MESSAGE_BYTES];
    while stream.read_exact(&mut message).await.is_ok() && stream.write_all(&message).await.is_ok()
    {
    }
}

/// The processor time that this process has spent so far, divided by the number of round trips, µs.
fn processor_us() -> io::Result<f64> {
    let usage = getrusage(UsageWho::RUSAGE_SELF)?;
    let sum = usage.user_time() + usage.system_time();
    Ok(sum.num_microseconds() as f64 / ROUND_TRIPS as f64)
}

async fn measure_round_trips(mut stream: TcpStream) -> io::Result<RoundTrips> {
    stream.set_nodelay(true)?;
    let before = processor_us()?;
    let mut times_us = Vec::with_capacity(ROUND_TRIPS);
    let mut message = [7; MESSAGE_BYTES];
    for _ in 0..ROUND_TRIPS {
        let start = Instant::now();
        stream.write_all(&message).await?;
        stream.read_exact(&mut message).await?;
        times_us.push(start.elapsed().as_secs_f64() * 1e6);
    }
    let processor_us = processor_us()? - before;
    times_us.sort_by(f64::total_cmp);
    Ok(RoundTrips {
        median_us: times_us[ROUND_TRIPS / 2],
        p99_us: times_us[ROUND_TRIPS * 99 / 100],
        processor_us,
    })
}

/// The user-space instructions that one gateway executes per request, as `perf stat` counts them over `count` requests.
/// `fleet` is the number of peers in the gateway's fleet section, of which those beyond `processes` are not running;
/// `None` for no fleet section.
///
/// # Errors
///
/// Returns the error of a file, socket or process that cannot be opened or started, or an error with the output of
/// `perf` if it holds no count or a request did not get status 200.
pub fn instructions_per_request(
    count: usize,
    fleet: Option<usize>,
    processes: usize,
) -> io::Result<f64> {
    let cluster = start_measured_cluster(fleet, processes)?;
    let address = cluster.processes[0].config["listen"]
        .as_str()
        .and_then(|address| address.parse().ok());
    let mut client = ScriptedConnection::connect(address.ok_or(io::ErrorKind::InvalidInput)?);
    // One-time work and the traffic by which the members of a fleet discover each other are not counted.
    let warmed_up = send_requests(&mut client, 0, count / 4);
    std::thread::sleep(SETTLING_TIME);
    let id = cluster.processes[0].id().unwrap_or_default().to_string();
    let mut perf = Command::new("perf");
    perf.args(["stat", "-x", ",", "-e", "instructions:u", "-p", &id])
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    let perf = perf.spawn()?;
    std::thread::sleep(PERF_START_TIME);
    let served = send_requests(&mut client, count, count);
    // The signal fails if `perf` has ended already; its output then says why.
    let _ = kill(Pid::from_raw(perf.id() as i32), Signal::SIGINT);
    let output = String::from_utf8_lossy(&perf.wait_with_output()?.stderr).into_owned();
    let instructions = output
        .lines()
        .find_map(|line| line.split(',').next()?.parse::<f64>().ok());
    match instructions.filter(|_| warmed_up && served) {
        Some(instructions) => Ok(instructions / count as f64),
        None => Err(io::Error::other(format!(
            "perf counted no instructions, or a request failed: {}",
            output.trim()
        ))),
    }
}

/// Starts a cluster whose processes have settings for a fleet of one gateway, however many peers they are configured
/// with.
fn start_measured_cluster(fleet: Option<usize>, processes: usize) -> io::Result<Cluster> {
    let mut cluster = Cluster::new(&ClusterConfig {
        processes,
        backends: 1,
        fleet: fleet.map(|_| json!({})),
        ..ClusterConfig::default()
    })?;
    let immediate = BackendBehavior {
        work_ms: 0.0,
        ..BackendBehavior::default()
    };
    cluster.set_backend_behavior(0, immediate);
    for process in 0..processes {
        let config = &mut cluster.processes[process].config;
        config["settings"]["fleet_size"] = 1.into();
        config["settings"]["me"] = 0.into();
        if let Some(peers) = config
            .pointer_mut("/fleet/peers")
            .and_then(Value::as_array_mut)
        {
            let absent = peers.len()..fleet.unwrap_or_default();
            peers.extend(
                absent.map(|peer| json!({"name": format!("absent-{peer}"), "dial": "127.0.0.1:9"})),
            );
        }
        cluster.start_process(process)?;
    }
    cluster.wait_until_serving();
    Ok(cluster)
}

/// Sends requests one after another, with ids numbered from `first` on. Returns whether all responses had status 200.
fn send_requests(client: &mut ScriptedConnection, first: usize, count: usize) -> bool {
    (first..first + count).all(|number| {
        client.write(request_with(&format!("id-{number}"), "read", "wide", "8"));
        client.read().status() == 200
    })
}
