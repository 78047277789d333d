//! Front doors that act together. Off unless the configuration has a `fleet` section: then nothing here exists, no socket, no
//! task, no call. `docs/FLEET.md` has the layers and what each promises.

mod frame;
mod membership;
mod outbox;
mod transport;

use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Clock;
use frame::FrameKind;
use membership::{MembershipService, Start};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use transport::Transport;

/// Has the events of the parts that act together written to standard error, each as a line of JSON: the rig and operators'
/// tools read them.
fn start_log() {
    let lines = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(std::io::stderr);
    // Whoever embeds this may have set another one: then that is written to.
    let _ = lines.try_init();
}

/// The fleet as its front door knows it.
pub(super) struct Fleet {
    section: FleetSection,
    transport: Rc<Transport>,
    membership: Option<Rc<MembershipService>>,
    load: Box<dyn Fn() -> u16>,
}

impl Fleet {
    /// Listens for the others and begins to look for them. `configured_size` is the fleet's size by the settings; `seed` is
    /// new with each start; `load` returns how busy it is, in parts of a thousand; `on_size` is called with how many front
    /// doors there seem to be.
    pub(super) async fn start(
        section: FleetSection,
        clock: Clock,
        configured_size: u32,
        seed: u64,
        load: Box<dyn Fn() -> u16>,
        on_size: Box<dyn Fn(u32)>,
    ) -> Result<Rc<Fleet>, String> {
        start_log();
        let no_listener = |error| format!("fleet.listen: {}: {error}", section.listen);
        let listener = TcpListener::bind(section.listen)
            .await
            .map_err(no_listener)?;
        let socket = UdpSocket::bind(section.listen).await.map_err(no_listener)?;
        // A start draws its life from its seed and from when it was: no two starts share both.
        let life = seed.rotate_left(32) ^ clock.now().to_bits();
        let start = Start {
            configured_size,
            life,
            seed,
        };
        let transport = Transport::new(section.clone(), life);
        let membership = section.membership.then(|| {
            MembershipService::new(&section, socket, transport.clone(), clock, start, on_size)
        });
        let fleet = Rc::new(Fleet {
            section,
            transport: transport.clone(),
            membership,
            load,
        });
        let receiver = fleet.clone();
        transport.set_handler(Rc::new(move |from, frame| {
            if let (Some(membership), Some(FrameKind::Compare)) = (&receiver.membership, frame.kind)
            {
                membership.receive_comparison(from, frame.body());
            }
        }));
        tokio::task::spawn_local(transport.accept(listener));
        if let Some(membership) = &fleet.membership {
            tokio::task::spawn_local(membership.clone().run());
        }
        tokio::task::spawn_local(fleet.clone().report());
        Ok(fleet)
    }

    /// Logs its counters from time to time, for as long as the front door runs.
    async fn report(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(self.section.tell_ms)).await;
            if let Some(membership) = &self.membership {
                membership.report_load((self.load)());
            }
            tracing::info!(what = "fleet", name = self.section.own.as_str(), status = %self.status());
        }
    }

    fn status(&self) -> Value {
        let (dialled, accepted) = self.transport.link_counts();
        let members = self
            .membership
            .as_ref()
            .map(|membership| membership.status());
        json!({"dialled": dialled, "accepted": accepted, "way": *self.transport.counters.borrow(), "members": members})
    }

    /// Tells the others that this one goes: a planned stop begins.
    pub(super) fn leave(&self) {
        if let Some(membership) = &self.membership {
            membership.leave();
        }
    }
}

#[cfg(test)]
mod tests;
