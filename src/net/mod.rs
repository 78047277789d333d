//! The front door on real sockets: the parts round the decision module and how they start and stop.

// Each imports only what stands above it here, and the driver alone knows both sides.
pub(crate) mod runtime;

mod control;
mod messages;

mod fleet;
mod upstream;

mod downstream;

mod driver;

use control::backoff::Backoff;
use control::config::Config;
use downstream::connections::{Clients, Desk};
use driver::Door;
use fleet::Fleet;
use runtime::budget::Woken;
use std::net::SocketAddr;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Why a front door did not start, and the exit code that tells it.
#[derive(Debug)]
pub(crate) struct Stopped {
    /// The exit code.
    pub code: u8,
    /// One plain line.
    pub why: String,
}

impl From<String> for Stopped {
    fn from(why: String) -> Stopped {
        Stopped { code: 1, why }
    }
}

/// Serves until a SIGTERM has been carried out.
pub(crate) async fn run(woken: Woken) -> Result<(), Stopped> {
    let no_signals = |error| format!("no signals: {error}");
    // Before anything else: until they are caught, both end the process.
    let mut reload = signal(SignalKind::hangup()).map_err(no_signals)?;
    let mut stop = signal(SignalKind::terminate()).map_err(no_signals)?;
    let config = Config::from_env().map_err(|error| Stopped {
        code: error.code(),
        why: error.to_string(),
    })?;
    let listen = config.listen;
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let bound = listener
        .local_addr()
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let door = Door::new(&config, woken)?;
    tokio::task::spawn_local(door.clone().keep_time());
    tokio::task::spawn_local(door.clone().tidy());
    let sockets = config.sockets();
    let agent = watch::Sender::new(config.discovery);
    let backoff = Backoff::new(door.site.settings.gateways, config.seed);
    let callers = backoff.gateways();
    tokio::task::spawn_local(control::discovery::follow(
        door.clone(),
        agent.subscribe(),
        config.known,
        backoff,
    ));
    let clients = Clients::new(door.clone(), door.site.clone(), sockets);
    tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::task::spawn_local(clients.clone().sweep());
    let fleet = match config.fleet {
        Some(section) => {
            let (desk, most) = (
                door.clone(),
                runtime::capacity::client_budget(sockets).max(1),
            );
            let load = move || (desk.unanswered() * 1000 / most).min(1000) as u16;
            let (pace, paced) = (section.pace, door.clone());
            let sized = move |doors: u32| {
                if pace.dials {
                    paced.fleet_of(doors);
                }
                if pace.trials {
                    paced.present(doors);
                }
                if pace.discovery {
                    callers.set(doors);
                }
            };
            let (clock, told) = (door.site.clock, door.site.settings.gateways);
            Some(
                Fleet::start(
                    section,
                    clock,
                    told,
                    config.seed,
                    Box::new(load),
                    Box::new(sized),
                )
                .await
                .map_err(|error| error.to_string())?,
            )
        }
        None => None,
    };
    eprintln!("{}: serving on {bound}", config.name);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => take_up(&config.name, &agent),
        }
    }
    eprintln!("{}: stopping", config.name);
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    clients.stop().await;
    Ok(())
}

/// Re-reads the configuration after SIGHUP. Only where discovery answers can change while the program runs; what
/// cannot be used is told, and the old goes on.
fn take_up(name: &str, agent: &watch::Sender<SocketAddr>) {
    match Config::told_discovery() {
        Ok(address) => {
            eprintln!("{name}: discovery is at {address}");
            // Also where it is the same: the watch is opened anew.
            agent.send_replace(address);
        }
        Err(error) => eprintln!("{name}: the old configuration goes on: {error}"),
    }
}
