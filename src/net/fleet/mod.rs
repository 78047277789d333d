//! The fleet layer: the gateways of one fleet find each other and exchange messages.
//!
//! It is off unless the configuration has a `fleet` section. Without one, it opens no socket,
//! spawns no task and is never called. `docs/FLEET.md` describes the layers and what each of them
//! guarantees.

mod frame;
mod membership;
mod outbox;
mod transport;

use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Clock;
use frame::FrameKind;
use membership::{MembershipService, ProcessStart};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use transport::Transport;

/// Why the fleet layer did not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetError {
    /// A listener could not be bound.
    #[error("fleet.listen: {address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The running fleet layer of one gateway.
pub(super) struct Fleet {
    section: FleetSection,
    transport: Rc<Transport>,
    membership: Option<Rc<MembershipService>>,
    load: Box<dyn Fn() -> u16>,
}

impl Fleet {
    /// Binds the listeners and starts the tasks that exchange messages with the other gateways.
    ///
    /// `configured_size` is the number of gateways in the fleet according to the settings. `seed`
    /// has to differ at each start. `load` returns how busy this gateway is, in thousandths of its
    /// capacity. `on_fleet_size` is called after each change of the view, with the number of
    /// gateways that are present or failed recently.
    ///
    /// # Errors
    ///
    /// [`FleetError::Bind`] if a listener cannot be bound.
    pub(super) async fn start(
        section: FleetSection,
        clock: Clock,
        configured_size: u32,
        seed: u64,
        load: Box<dyn Fn() -> u16>,
        on_fleet_size: Box<dyn Fn(u32)>,
    ) -> Result<Rc<Fleet>, FleetError> {
        let address = section.listen;
        let bind_error = |source| FleetError::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
        let start = ProcessStart {
            configured_size,
            instance_id: instance_id(seed, &clock),
            seed,
        };
        let transport = Transport::new(section.clone(), start.instance_id);
        let membership = section.membership_enabled.then(|| {
            let transport = transport.clone();
            MembershipService::new(&section, socket, transport, clock, start, on_fleet_size)
        });
        let fleet = Rc::new(Fleet {
            section,
            transport,
            membership,
            load,
        });
        fleet.spawn_tasks(listener);
        Ok(fleet)
    }

    /// Announces to the other gateways that this one is leaving. Called when a graceful shutdown
    /// begins.
    pub(super) fn leave(&self) {
        if let Some(membership) = &self.membership {
            membership.leave();
        }
    }

    fn spawn_tasks(self: &Rc<Self>, listener: TcpListener) {
        let fleet = self.clone();
        self.transport.set_handler(Rc::new(move |from, frame| {
            if let (Some(membership), Some(FrameKind::AntiEntropy)) =
                (&fleet.membership, frame.kind)
            {
                membership.receive_anti_entropy(from, frame.body());
            }
        }));
        tokio::task::spawn_local(self.transport.clone().accept(listener));
        if let Some(membership) = &self.membership {
            tokio::task::spawn_local(membership.clone().run());
        }
        tokio::task::spawn_local(self.clone().report_status());
    }

    /// At each report interval, reports the load to the other gateways and writes the status to the
    /// log. Runs for as long as the gateway does.
    async fn report_status(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.section.report_interval).await;
            if let Some(membership) = &self.membership {
                membership.report_load((self.load)());
            }
            let name = self.section.local_name.as_str();
            tracing::info!(what = "fleet", name, status = %self.status());
        }
    }

    /// The status for the log. Tools read its keys.
    fn status(&self) -> Value {
        let connections = self.transport.connection_counts();
        let members = self
            .membership
            .as_ref()
            .map(|membership| membership.status());
        json!({
            "dialled": connections.outbound,
            "accepted": connections.inbound,
            "way": *self.transport.counters.borrow(),
            "members": members,
        })
    }
}

/// Returns an id that distinguishes this process from every other process under its name: no two
/// starts have both the same seed and the same time.
fn instance_id(seed: u64, clock: &Clock) -> u64 {
    seed.rotate_left(32) ^ clock.now().to_bits()
}

#[cfg(test)]
mod tests;
