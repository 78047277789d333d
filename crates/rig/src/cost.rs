//! What the rig itself costs, so that figures taken with it can be read.

use crate::ground::Ground;
use crate::link::{Direction, Link};
use crate::rig::{Plan, Rig};
use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Round trips measured each way.
const ROUNDS: usize = 2000;

/// A table of starts and of a link's cost.
pub fn table(processes: usize) -> io::Result<String> {
    let begun = Instant::now();
    let mut rig = Rig::new(&Plan { processes, ..Plan::default() })?;
    let laid = begun.elapsed();
    (0..processes).try_for_each(|i| rig.start_one(i))?;
    rig.await_serving();
    let serving = begun.elapsed();
    rig.wait("a fleet that knows itself", |rig| {
        let knows = |i| {
            let told = rig.told(i);
            let present =
                told.as_ref().and_then(|event| event.more["members"]["present"].as_array().map(Vec::len));
            present == Some(processes)
        };
        (0..processes).all(knows).then_some(())
    });
    let agreed = begun.elapsed();
    drop(rig);
    let ended = begun.elapsed() - agreed;
    let (direct, through) = latency()?;
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    Ok(format!(
        "| what | figure |\n| --- | --- |\n\
         | {processes} processes: links and stand-ins laid out | {:.0} ms |\n\
         | all serve | {:.0} ms |\n| all know each other | {:.0} ms |\n| all ended | {:.0} ms |\n\
         | round trip of 64 bytes, direct: median, 99th | {:.0} us, {:.0} us |\n\
         | the same through a link | {:.0} us, {:.0} us |",
        ms(laid),
        ms(serving),
        ms(agreed),
        ms(ended),
        direct.0,
        direct.1,
        through.0,
        through.1
    ))
}

/// Median and 99th of a round trip, us: direct, and through a link.
fn latency() -> io::Result<((f64, f64), (f64, f64))> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let ground = Ground::take()?;
        let (to, at) = (ground.fleet(1), ground.link(0, 1));
        Link { at, to, forth: Direction::new(1), back: Direction::new(2) }.open().await?;
        let listener = TcpListener::bind(to).await?;
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                // Without it answers are late, and it is their time that is measured; an error shows there.
                let _ = stream.set_nodelay(true);
                let mut bytes = [0; 64];
                while stream.read_exact(&mut bytes).await.is_ok() && stream.write_all(&bytes).await.is_ok() {}
            }
        });
        Ok((rounds(TcpStream::connect(to).await?).await?, rounds(TcpStream::connect(at).await?).await?))
    })
}

async fn rounds(mut stream: TcpStream) -> io::Result<(f64, f64)> {
    stream.set_nodelay(true)?;
    let mut times = Vec::with_capacity(ROUNDS);
    let mut bytes = [7; 64];
    for _ in 0..ROUNDS {
        let begun = Instant::now();
        stream.write_all(&bytes).await?;
        stream.read_exact(&mut bytes).await?;
        times.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    Ok((times[ROUNDS / 2], times[ROUNDS * 99 / 100]))
}
