//! Queries the states of TCP sockets from the system over netlink (`sock_diag(7)`).
//!
//! The system returns only the sockets that a query selects, so that a query is cheap also where other programs have
//! tens of thousands of connections. With `/proc/net/tcp`, the system would format the table of all sockets for each
//! query, and this process would parse all of it.

use netlink_packet_core::{
    NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_DUMP, NLM_F_REQUEST,
};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP, TCP_ESTABLISHED, TCP_SYN_SENT};
use netlink_packet_sock_diag::inet::{
    ExtensionFlags, InetRequest, InetResponseHeader, SocketId, StateFlags,
};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::Socket;
use std::io;
use std::net::SocketAddr;

/// The cookie in a query for a socket whose own cookie is unknown.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// The error that the system returns for a socket that does not exist.
const NO_SUCH_SOCKET: io::ErrorKind = io::ErrorKind::NotFound;

/// The addresses of the two ends of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEnds {
    /// The end whose socket is queried.
    pub local: SocketAddr,
    /// The other end.
    pub remote: SocketAddr,
}

/// Whether any process has a connection attempt to this address that is still unanswered (state `SYN_SENT`).
pub fn is_connecting(address: SocketAddr) -> bool {
    let request = InetRequest {
        states: StateFlags::SYN_SENT,
        ..any_socket()
    };
    sockets(request, NLM_F_DUMP).iter().any(|socket| {
        let id = &socket.socket_id;
        let remote = SocketAddr::new(id.destination_address, id.destination_port);
        socket.state == TCP_SYN_SENT && remote == address
    })
}

/// Whether any of these connections is established, that is, neither closing nor closed nor reset at its local end.
pub fn any_established(connections: &[ConnectionEnds]) -> bool {
    connections.iter().any(|ends| is_established(*ends))
}

fn is_established(ends: ConnectionEnds) -> bool {
    let socket_id = SocketId {
        source_port: ends.local.port(),
        destination_port: ends.remote.port(),
        source_address: ends.local.ip(),
        destination_address: ends.remote.ip(),
        interface_id: 0,
        cookie: ANY_COOKIE,
    };
    let request = InetRequest {
        socket_id,
        ..any_socket()
    };
    sockets(request, 0)
        .iter()
        .any(|socket| socket.state == TCP_ESTABLISHED)
}

/// A query for all TCP sockets over IPv4.
fn any_socket() -> InetRequest {
    InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId::new_v4(),
    }
}

/// The sockets that a query selects: one by its two ends, or with the flag [`NLM_F_DUMP`] all in the given states.
fn sockets(request: InetRequest, flags: u16) -> Vec<InetResponseHeader> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG).expect("a netlink socket");
    socket.bind_auto().expect("a netlink address");
    let message = encode(request, NLM_F_REQUEST | flags);
    socket.send(&message, 0).expect("a request sent");
    let mut found = Vec::new();
    loop {
        let (datagram, _) = socket.recv_from_full().expect("an answer");
        let mut rest = &datagram[..];
        while !rest.is_empty() {
            let message = NetlinkMessage::<SockDiagMessage>::deserialize(rest).expect("a message");
            rest = &rest[(message.header.length as usize).min(rest.len())..];
            match message.payload {
                NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
                    found.push(response.header);
                    if flags & NLM_F_DUMP == 0 {
                        return found;
                    }
                }
                NetlinkPayload::Error(error) => {
                    let error = error.to_io();
                    assert_eq!(error.kind(), NO_SUCH_SOCKET, "{error}");
                    return found;
                }
                _ => return found,
            }
        }
    }
}

fn encode(request: InetRequest, flags: u16) -> Vec<u8> {
    let mut header = NetlinkHeader::default();
    header.flags = flags;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
