//! The lifecycle of a gateway process: start-up, configuration reload on SIGHUP, graceful shutdown on SIGTERM.

use super::control::backoff::Backoff;
use super::control::config::{Config, ConfigError};
use super::control::discovery::watch_endpoints;
use super::control::fleet_section::{FleetSection, Pace};
use super::downstream::connections::{DownstreamConnections, RequestHandler};
use super::driver::{Driver, DriverError};
use super::fleet::{Fleet, FleetError};
use super::runtime::capacity::client_connection_limit;
use super::runtime::log::{self, LogFormat};
use super::runtime::stall::WakeRecorder;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Reasons why a gateway failed to start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The asynchronous runtime could not be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handlers of SIGHUP and SIGTERM could not be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listener for clients could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The driver could not be initialized.
    #[error(transparent)]
    Driver(#[from] DriverError),
    /// The fleet layer did not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

impl StartError {
    /// The exit code of a process that fails to start with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            StartError::Config(error) => error.exit_code(),
            _ => 1,
        }
    }
}

/// The streams of the signals that a gateway handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the signal handlers. Before this call, either signal terminates the process.
    fn install() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

/// Runs the gateway until SIGTERM, then shuts it down gracefully and returns.
///
/// # Errors
///
/// Returns a [`StartError`] if start-up fails. No error is returned once `serving requests` has been logged.
pub(crate) async fn run(wake_recorder: WakeRecorder) -> Result<(), StartError> {
    let mut signals = Signals::install().map_err(StartError::Signals)?;
    let config = Config::from_env()?;
    log::init(log_format(&config));
    let listener = bind(config.listen).await?;
    let address = local_address(&listener, config.listen)?;
    let driver = Driver::new(&config, wake_recorder)?;
    spawn_local(driver.clone().run_timers());
    spawn_local(driver.clone().evict_idle_connections());
    let discovery = watch::Sender::new(config.discovery);
    let backoff = Backoff::new(driver.context.settings.gateways, config.seed);
    let backoff_fleet_size = backoff.fleet_size();
    let descriptors = config.descriptor_budget();
    let memory = config.limits.memory_bytes();
    spawn_local(watch_endpoints(
        driver.clone(),
        discovery.subscribe(),
        config.cached_endpoints,
        backoff,
    ));
    let connections =
        DownstreamConnections::new(driver.clone(), driver.context.clone(), descriptors, memory);
    spawn_local(connections.clone().accept(listener));
    spawn_local(connections.clone().close_expired_connections());
    let fleet = match config.fleet {
        Some(section) => {
            let max_clients = client_connection_limit(descriptors, memory).max(1);
            Some(
                start_fleet(
                    section,
                    &driver,
                    config.seed,
                    max_clients,
                    backoff_fleet_size,
                )
                .await?,
            )
        }
        None => None,
    };
    tracing::info!(gateway = %config.name, %address, "serving requests");
    serve_until_terminated(&mut signals, &discovery).await;
    tracing::info!(gateway = %config.name, "shutting down");
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    connections.shut_down().await;
    Ok(())
}

/// JSON in a fleet, since the fleet's tools parse the log; plain text otherwise.
fn log_format(config: &Config) -> LogFormat {
    match config.fleet {
        Some(_) => LogFormat::Json,
        None => LogFormat::Text,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// The address that the listener is bound to. If the `configured` port is 0, this holds the port that the system chose.
fn local_address(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen {
        address: configured,
        source,
    })
}

/// Starts the fleet layer. It announces the load of `driver` to the other gateways: the pending requests per thousand
/// of `max_clients`, the limit on client connections.
async fn start_fleet(
    section: FleetSection,
    driver: &Rc<Driver>,
    seed: u64,
    max_clients: usize,
    backoff_fleet_size: Rc<Cell<u32>>,
) -> Result<Rc<Fleet>, FleetError> {
    let handler = driver.clone();
    let load = move || (handler.pending_requests() * 1000 / max_clients).min(1000) as u16;
    let on_fleet_size = fleet_size_observer(section.pace, driver.clone(), backoff_fleet_size);
    Fleet::start(
        section,
        driver.context.clock,
        driver.context.settings.gateways,
        seed,
        Box::new(load),
        on_fleet_size,
    )
    .await
}

/// The callback for changes of the fleet's size: forwards the size to each component that `pace` enables.
fn fleet_size_observer(
    pace: Pace,
    driver: Rc<Driver>,
    backoff_fleet_size: Rc<Cell<u32>>,
) -> Box<dyn Fn(u32)> {
    Box::new(move |gateways| {
        if pace.dials {
            driver.set_dial_fleet_size(gateways);
        }
        if pace.trials {
            driver.report_fleet_size(gateways);
        }
        if pace.discovery {
            backoff_fleet_size.set(gateways);
        }
    })
}

/// Reloads the configuration on each SIGHUP; returns on SIGTERM.
async fn serve_until_terminated(signals: &mut Signals, discovery: &watch::Sender<SocketAddr>) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.hangup.recv() => reload(discovery),
        }
    }
}

/// Re-reads the configuration file. Only the address of discovery can change while the gateway runs. An invalid file is
/// logged and ignored.
fn reload(discovery: &watch::Sender<SocketAddr>) {
    match Config::reread_discovery_address() {
        Ok(address) => {
            tracing::info!(discovery = %address, "configuration reloaded");
            // Sent even if the address is unchanged, since a reload always reopens the watch.
            discovery.send_replace(address);
        }
        Err(error) => tracing::warn!(%error, "invalid configuration ignored"),
    }
}
