//! States of TCP sockets as the system's table (`/proc/net/tcp`) shows them.

use std::collections::HashSet;
use std::net::SocketAddr;

/// The table's code for an established connection.
const ESTABLISHED: &str = "01";
/// The table's code for a connection attempt without an answer yet.
const SYN_SENT: &str = "02";

/// The addresses of the two ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEnds {
    /// The end whose socket is looked for.
    pub local: SocketAddr,
    /// The other end.
    pub remote: SocketAddr,
}

/// Both ends of a socket, in the notation of the table.
#[derive(PartialEq, Eq, Hash)]
struct TableEntry {
    local: String,
    remote: String,
}

/// Whether any process has a connection attempt to this address that the system has not answered yet.
pub fn is_connecting(address: SocketAddr) -> bool {
    let remote = table_notation(address);
    sockets_in_state(SYN_SENT)
        .iter()
        .any(|entry| entry.remote == remote)
}

/// Whether any of these connections is established, that is, neither closed nor reset at its local end.
pub fn any_established(connections: &[ConnectionEnds]) -> bool {
    let established = sockets_in_state(ESTABLISHED);
    connections.iter().any(|ends| {
        established.contains(&TableEntry {
            local: table_notation(ends.local),
            remote: table_notation(ends.remote),
        })
    })
}

fn sockets_in_state(state: &str) -> HashSet<TableEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    let entry = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.len() > 3 && fields[3] == state).then(|| TableEntry {
            local: fields[1].to_owned(),
            remote: fields[2].to_owned(),
        })
    };
    table.lines().filter_map(entry).collect()
}

/// An address in the notation of the table. The IP address is part of it: other programs on this machine may have the
/// same ports on other addresses.
fn table_notation(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not in the table of IPv4 sockets")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    )
}
