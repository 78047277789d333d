//! What the rig itself costs, so that figures taken with it can be read.

use crate::ground::Ground;
use crate::link::{Direction, Link};
use crate::rig::{Plan, Rig};
use crate::scripted_peers::{request_with, ScriptedConnection};
use crate::standins::Manner;
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

/// Round trips measured each way.
const ROUNDS: usize = 2000;

/// A table of starts and of a link's cost.
pub fn table(processes: usize) -> io::Result<String> {
    let begun = Instant::now();
    let mut rig = Rig::new(&Plan {
        processes,
        ..Plan::default()
    })?;
    let laid = begun.elapsed();
    (0..processes).try_for_each(|i| rig.start_one(i))?;
    rig.await_serving();
    let serving = begun.elapsed();
    rig.agree(
        &(0..processes).collect::<Vec<_>>(),
        "a fleet that knows itself",
    );
    let agreed = begun.elapsed();
    let steady = members(&mut rig, processes);
    let ended_from = begun.elapsed();
    drop(rig);
    let ended = begun.elapsed() - ended_from;
    let (direct, through) = latency()?;
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    Ok(format!(
        "| what | figure |\n| --- | --- |\n\
         | {processes} processes: links and stand-ins laid out | {:.0} ms |\n\
         | all serve | {:.0} ms |\n| all know each other | {:.0} ms |\n| all ended | {:.0} ms |\n\
         | membership, each a second: datagrams, their bytes | {:.2}, {:.0} |\n\
         | one killed: first and last to miss it | {:.1} s, {:.1} s |\n\
         | failures seen of those that run | {} |\n\
         | round trip of 64 bytes, direct: median, 99th | {:.0} us, {:.0} us |\n\
         | the same through a link | {:.0} us, {:.0} us |\n\
         | processor time of a round trip, direct, and of a link besides | {:.1} us, {:.1} us |",
        ms(laid),
        ms(serving),
        ms(agreed),
        ms(ended),
        steady.datagrams,
        steady.bytes,
        steady.first.as_secs_f64(),
        steady.all.as_secs_f64(),
        steady.wrong,
        direct.median,
        direct.late,
        through.median,
        through.late,
        direct.spent,
        through.spent - direct.spent
    ))
}

/// What membership costs each process, and how soon a death is known.
struct Members {
    datagrams: f64,
    bytes: f64,
    first: Duration,
    all: Duration,
    wrong: usize,
}

/// Time in which datagrams are counted.
const STEADY: Duration = Duration::from_secs(30);

fn members(rig: &mut Rig, processes: usize) -> Members {
    let sums = |rig: &Rig| {
        let of = |i, name: &str| {
            rig.told(i)
                .and_then(|event| event.more["members"]["counts"][name].as_u64())
                .unwrap_or(0)
        };
        (0..processes).fold((0, 0), |sum, i| {
            (sum.0 + of(i, "sent"), sum.1 + of(i, "sent_bytes"))
        })
    };
    // What the start set in motion is let come to rest.
    std::thread::sleep(STEADY / 3);
    let (begun, before) = (Instant::now(), sums(rig));
    std::thread::sleep(STEADY);
    let (after, seconds) = (sums(rig), begun.elapsed().as_secs_f64() * processes as f64);
    let dead = crate::rig::name(processes - 1);
    rig.processes[processes - 1].kill();
    let killed = Instant::now();
    let missed = |rig: &Rig| {
        let saw = |event: &&crate::history::Event| {
            event.what == "member"
                && event.text("change") == "failed"
                && event.text("member") == dead
        };
        rig.history.read(|events| events.iter().filter(saw).count())
    };
    rig.wait("somebody who misses it", |rig| {
        (missed(rig) > 0).then_some(())
    });
    let first = killed.elapsed();
    rig.wait("all to miss it", |rig| {
        (missed(rig) >= processes - 1).then_some(())
    });
    let all = killed.elapsed();
    let failed =
        |event: &&crate::history::Event| event.what == "member" && event.text("change") == "failed";
    let wrong = rig.history.read(|events| {
        events
            .iter()
            .filter(failed)
            .filter(|event| event.text("member") != dead)
            .count()
    });
    Members {
        datagrams: (after.0 - before.0) as f64 / seconds,
        bytes: (after.1 - before.1) as f64 / seconds,
        first,
        all,
        wrong,
    }
}

/// What round trips took, us.
struct Trips {
    median: f64,
    late: f64,
    /// Processor time of this process for each.
    spent: f64,
}

/// Round trips direct, and through a link.
fn latency() -> io::Result<(Trips, Trips)> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let ground = Ground::take()?;
        let (to, at) = (ground.fleet(1), ground.link(0, 1));
        Link {
            at,
            to,
            forth: Direction::new(1),
            back: Direction::new(2),
        }
        .open()
        .await?;
        let listener = TcpListener::bind(to).await?;
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                // Without it answers are late, and it is their time that is measured; an error shows there.
                let _ = stream.set_nodelay(true);
                let mut bytes = [0; 64];
                while stream.read_exact(&mut bytes).await.is_ok()
                    && stream.write_all(&bytes).await.is_ok()
                {}
            }
        });
        Ok((
            rounds(TcpStream::connect(to).await?).await?,
            rounds(TcpStream::connect(at).await?).await?,
        ))
    })
}

/// Processor time that this process has spent so far, us over the rounds.
fn spent() -> io::Result<f64> {
    let usage = getrusage(UsageWho::RUSAGE_SELF)?;
    let sum = usage.user_time() + usage.system_time();
    Ok(sum.num_microseconds() as f64 / ROUNDS as f64)
}

async fn rounds(mut stream: TcpStream) -> io::Result<Trips> {
    stream.set_nodelay(true)?;
    let before = spent()?;
    let mut times = Vec::with_capacity(ROUNDS);
    let mut bytes = [7; 64];
    for _ in 0..ROUNDS {
        let begun = Instant::now();
        stream.write_all(&bytes).await?;
        stream.read_exact(&mut bytes).await?;
        times.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    let spent = spent()? - before;
    times.sort_by(f64::total_cmp);
    Ok(Trips {
        median: times[ROUNDS / 2],
        late: times[ROUNDS * 99 / 100],
        spent,
    })
}

/// Instructions that one front door runs for each request, as `perf stat` counts them; with a fleet block that names so many
/// others (nobody answers for those beyond `processes`), or without one.
pub fn instructions(count: usize, fleet: Option<usize>, processes: usize) -> io::Result<f64> {
    let plan = Plan {
        processes,
        backends: 1,
        fleet: fleet.map(|_| json!({})),
        ..Plan::default()
    };
    let mut rig = Rig::new(&plan)?;
    rig.act(
        0,
        Manner {
            work_ms: 0.0,
            ..Manner::default()
        },
    );
    for i in 0..processes {
        // All play at a fleet of one size by the settings, whatever they are told of others.
        rig.processes[i].config["settings"]["fleet_size"] = 1.into();
        rig.processes[i].config["settings"]["me"] = 0.into();
        if let Some(peers) = rig.processes[i]
            .config
            .pointer_mut("/fleet/peers")
            .and_then(Value::as_array_mut)
        {
            let more = peers.len()..fleet.unwrap_or_default();
            peers.extend(
                more.map(|j| json!({"name": format!("absent-{j}"), "dial": "127.0.0.1:9"})),
            );
        }
        rig.start_one(i)?;
    }
    rig.await_serving();
    let at = rig.processes[0].config["listen"]
        .as_str()
        .and_then(|at| at.parse().ok());
    let mut client = ScriptedConnection::connect(at.ok_or(io::ErrorKind::InvalidInput)?);
    let mut ask = |from: usize, count: usize| {
        (from..from + count).all(|i| {
            client.write(request_with(&format!("id-{i}"), "read", "wide", "8"));
            client.read().status() == 200
        })
    };
    // What is done once, and what a fleet does to find itself, is not counted.
    let warm = ask(0, count / 4);
    std::thread::sleep(Duration::from_secs(5));
    let id = rig.processes[0].id().unwrap_or_default().to_string();
    let mut perf = Command::new("perf");
    perf.args(["stat", "-x", ",", "-e", "instructions:u", "-p", &id])
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    let perf = perf.spawn()?;
    std::thread::sleep(Duration::from_millis(500));
    let served = ask(count, count);
    // It may have ended by itself: then it has said why.
    let _ = kill(Pid::from_raw(perf.id() as i32), Signal::SIGINT);
    let said = String::from_utf8_lossy(&perf.wait_with_output()?.stderr).into_owned();
    let counted = said
        .lines()
        .find_map(|line| line.split(',').next()?.parse::<f64>().ok());
    match counted.filter(|_| warm && served) {
        Some(counted) => Ok(counted / count as f64),
        None => Err(io::Error::other(format!("no count: {}", said.trim()))),
    }
}
