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
use downstream::connections::{DownstreamConnections, RequestHandler};
use driver::Driver;
use fleet::Fleet;
use runtime::stall::WakeRecorder;
use std::net::SocketAddr;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Why a front door did not start, and the exit code that tells it.
#[derive(Debug)]
pub(crate) struct StartError {
    /// The exit code.
    pub code: u8,
    /// One plain line.
    pub why: String,
}

impl From<String> for StartError {
    fn from(why: String) -> StartError {
        StartError { code: 1, why }
    }
}

/// Serves until a SIGTERM has been carried out.
pub(crate) async fn run(woken: WakeRecorder) -> Result<(), StartError> {
    let no_signals = |error| format!("no signals: {error}");
    // Before anything else: until they are caught, both end the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(no_signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(no_signals)?;
    let config = Config::from_env().map_err(|error| StartError {
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
    let door = Driver::new(&config, woken).map_err(|error| error.to_string())?;
    tokio::task::spawn_local(door.clone().run_timers());
    tokio::task::spawn_local(door.clone().evict_idle_connections());
    let sockets = config.descriptor_budget();
    let agent = watch::Sender::new(config.discovery);
    let backoff = Backoff::new(door.context.settings.gateways, config.seed);
    let callers = backoff.fleet_size();
    tokio::task::spawn_local(control::discovery::watch_endpoints(
        door.clone(),
        agent.subscribe(),
        config.cached_endpoints,
        backoff,
    ));
    let clients = DownstreamConnections::new(door.clone(), door.context.clone(), sockets);
    tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::task::spawn_local(clients.clone().close_expired_connections());
    let fleet = match config.fleet {
        Some(section) => {
            let (desk, most) = (
                door.clone(),
                runtime::capacity::client_connection_limit(sockets).max(1),
            );
            let load = move || (desk.pending_requests() * 1000 / most).min(1000) as u16;
            let (pace, paced) = (section.pace, door.clone());
            let sized = move |doors: u32| {
                if pace.dials {
                    paced.set_dial_fleet_size(doors);
                }
                if pace.trials {
                    paced.report_fleet_size(doors);
                }
                if pace.discovery {
                    callers.set(doors);
                }
            };
            let (clock, told) = (door.context.clock, door.context.settings.gateways);
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
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&config.name, &agent),
        }
    }
    eprintln!("{}: stopping", config.name);
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    clients.shut_down().await;
    Ok(())
}

/// Re-reads the configuration after SIGHUP. Only where discovery answers can change while the program runs; what
/// cannot be used is told, and the old goes on.
fn reload(name: &str, agent: &watch::Sender<SocketAddr>) {
    match Config::reread_discovery_address() {
        Ok(address) => {
            eprintln!("{name}: discovery is at {address}");
            // Also where it is the same: the watch is opened anew.
            agent.send_replace(address);
        }
        Err(error) => eprintln!("{name}: the old configuration goes on: {error}"),
    }
}
