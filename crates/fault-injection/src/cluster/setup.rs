//! The parts of a cluster: links, proxies, stub services, and the configuration of each process.

use super::{process_name, ClusterConfig, LinkEnds};
use crate::address_block::AddressBlock;
use crate::history::History;
use crate::link::Direction;
use crate::proxy::Proxy;
use crate::scripted_peers::{default_settings, endpoint, endpoint_list};
use crate::stub_services::{
    start_backend, start_counter, start_discovery, BackendBehavior, EndpointListSender, UsageMeter,
};
use rand::rngs::StdRng;
use rand::RngExt;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use tokio::sync::watch;

/// The number of the discovery service among the stub services.
const DISCOVERY: usize = 1;
/// The number of the counter service among the stub services.
const COUNTER: usize = 2;
/// The number of the first backend among the stub services.
const FIRST_BACKEND: usize = 10;

/// Handles that control the stub services of a cluster.
pub(super) struct StubServices {
    /// The endpoint list that the discovery service serves.
    pub(super) endpoint_list: EndpointListSender,
    /// How each backend behaves.
    pub(super) backend_behaviors: Vec<watch::Sender<BackendBehavior>>,
}

/// The directions of all links. A link has both directions, also if only one of the two processes is configured with
/// the other.
pub(super) fn directions(
    config: &ClusterConfig,
    rng: &mut StdRng,
) -> BTreeMap<LinkEnds, Arc<Direction>> {
    let ends: BTreeSet<LinkEnds> = config
        .links()
        .flat_map(|link| [link, link.reversed()])
        .collect();
    ends.into_iter()
        .map(|ends| (ends, Direction::new(rng.random())))
        .collect()
}

/// Starts the proxy of each link.
pub(super) async fn start_proxies(
    config: &ClusterConfig,
    addresses: &AddressBlock,
    directions: &BTreeMap<LinkEnds, Arc<Direction>>,
) -> io::Result<()> {
    for link in config.links() {
        let proxy = Proxy {
            listen_address: addresses.link_address(link.from, link.to),
            target_address: addresses.fleet_address(link.to),
            outbound: directions[&link].clone(),
            inbound: directions[&link.reversed()].clone(),
        };
        proxy.start().await?;
    }
    Ok(())
}

/// Starts the backends, the discovery service that lists them, and the counter service.
pub(super) async fn start_stubs(
    config: &ClusterConfig,
    addresses: &AddressBlock,
    meter: &Arc<UsageMeter>,
    history: &Arc<History>,
) -> io::Result<StubServices> {
    let mut backend_behaviors = Vec::new();
    let mut hosts = Vec::new();
    for number in 0..config.backends {
        let address = addresses.stub_address(number + FIRST_BACKEND);
        let name = format!("backend-{number}");
        let behavior = watch::Sender::new(BackendBehavior::default());
        hosts.push(endpoint(&name, address, "up"));
        start_backend(
            address,
            name,
            behavior.subscribe(),
            meter.clone(),
            history.clone(),
        )
        .await?;
        backend_behaviors.push(behavior);
    }
    let endpoint_list = EndpointListSender::new(endpoint_list(1, true, &hosts));
    start_discovery(addresses.stub_address(DISCOVERY), endpoint_list.subscribe()).await?;
    start_counter(addresses.stub_address(COUNTER)).await?;
    Ok(StubServices {
        endpoint_list,
        backend_behaviors,
    })
}

/// The configuration of a process, without its seed and the paths of its files. `known` is the initial endpoint list.
pub(super) fn process_configuration(
    config: &ClusterConfig,
    process: usize,
    addresses: &AddressBlock,
    known: &Value,
) -> Value {
    let mut settings = default_settings();
    settings["fleet_size"] = config.processes.into();
    settings["me"] = process.into();
    let mut configuration = json!({
        "name": process_name(process), "listen": addresses.client_address(process).to_string(),
        "discovery": addresses.stub_address(DISCOVERY).to_string(),
        "counter": addresses.stub_address(COUNTER).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
        "settings": settings, "test": true,
    });
    if let Some(overrides) = &config.fleet {
        configuration["fleet"] = fleet_section(config, process, addresses, overrides);
    }
    configuration
}

/// The fleet section of a process's configuration. Keys of `overrides` replace the defaults.
fn fleet_section(
    config: &ClusterConfig,
    process: usize,
    addresses: &AddressBlock,
    overrides: &Value,
) -> Value {
    let peer = |to: usize| json!({"name": process_name(to), "dial": addresses.link_address(process, to).to_string()});
    let peers: Vec<Value> = config.peers(process).into_iter().map(peer).collect();
    let mut section = json!({
        "name": "rig", "listen": addresses.fleet_address(process).to_string(), "peers": peers,
        "zone": format!("zone-{}", process % config.zones.max(1)), "tell_ms": 250,
    });
    if let (Some(section), Some(overrides)) = (section.as_object_mut(), overrides.as_object()) {
        section.extend(overrides.clone());
    }
    section
}
