//! Many front doors that start at once.

use cometspool_fault_injection::scripted_peers::{wait_for, ScriptedConnection};
use cometspool_fault_injection::{Cluster, ClusterConfig};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};

/// Front doors that start anew together.
const DOORS: usize = 40;
/// Backends in their list.
const BACKENDS: usize = 200;

/// Waits until a front door says that it is ready; it may not listen yet.
fn await_ready(name: &str, at: SocketAddr) {
    wait_for(&format!("{name} ready"), || {
        let mut client = ScriptedConnection::new(TcpStream::connect(at).ok()?);
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        (client.read().status() == 200).then_some(())
    });
}

/// Guards a restart of all front doors at once, as after a power cut: each becomes ready, also where none has kept a list
/// and all have to ask discovery for it in the same moment.
#[test]
fn forty_that_start_at_once_all_become_ready() {
    let plan = ClusterConfig {
        processes: DOORS,
        backends: BACKENDS,
        peers_per_process: Some(3),
        handover: true,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&plan).expect("a cluster");
    for keeps_its_list in [true, false] {
        for process in &mut cluster.processes {
            process.kill();
            if !keeps_its_list {
                process.config["known"] = Value::Null;
            }
        }
        (0..DOORS).for_each(|i| cluster.start_process(i).expect("a start"));
        for process in &cluster.processes {
            let at = process.config["listen"]
                .as_str()
                .and_then(|at| at.parse().ok());
            await_ready(&process.name, at.expect("an address"));
        }
        assert!(
            !cluster
                .processes
                .iter_mut()
                .any(cometspool_fault_injection::process::Process::has_crashed),
            "one has ended"
        );
    }
}
