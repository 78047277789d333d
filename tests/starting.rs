//! Many front doors that start at once.

use cometspool_fault_injection::scripted_peers::{wait_for, ScriptedConnection};
use cometspool_fault_injection::{Plan, Rig};
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
    let plan = Plan {
        processes: DOORS,
        backends: BACKENDS,
        told_peers: Some(3),
        handover: true,
        ..Plan::default()
    };
    let mut rig = Rig::start(&plan).expect("a rig");
    for keeps_its_list in [true, false] {
        for process in &mut rig.processes {
            process.kill();
            if !keeps_its_list {
                process.config["known"] = Value::Null;
            }
        }
        (0..DOORS).for_each(|i| rig.start_one(i).expect("a start"));
        for process in &rig.processes {
            let at = process.config["listen"]
                .as_str()
                .and_then(|at| at.parse().ok());
            await_ready(&process.name, at.expect("an address"));
        }
        assert!(
            !rig.processes
                .iter_mut()
                .any(cometspool_fault_injection::process::Process::crashed),
            "one has ended"
        );
    }
}
