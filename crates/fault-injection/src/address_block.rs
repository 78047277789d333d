//! Loopback addresses of one cluster, so that clusters run side by side without sharing an address.
//!
//! A cluster owns one block `127.B.0.0/16` for as long as it holds the block's sentinel, a bound socket. The system
//! closes that socket with the process, however the process ends. Within a block all addresses are fixed, so that they
//! can be recognized in a log. Each process and each stub service has an IP address of its own; links differ by their
//! ports on the address of the process that connects:
//!
//! | address | owner |
//! | --- | --- |
//! | `127.B.(1 + i/250).(1 + i%250)` | process `i`, ports 9000 and 9100 |
//! | the same, port `10000 + j` | the proxy on the link from process `i` to process `j`: what `i` connects to |
//! | `127.B.(100 + k/250).(1 + k%250)` | stub service `k` |
//! | `127.B.250.250` | the sentinel |

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The most processes in one cluster: the ports of their links stay below the range from which Linux takes the ports of
/// outgoing connections.
pub const MAX_PROCESSES: usize = 16_384;
/// The most stub services in one cluster: their addresses end below the sentinel's.
pub const MAX_STUBS: usize = 32_768;
/// The port, TCP and UDP, on which a process receives traffic of other gateways.
pub const FLEET_PORT: u16 = 9100;
/// The TCP port on which a process serves clients, and a stub service its callers.
pub const CLIENT_PORT: u16 = 9000;
/// The port, TCP and UDP, of the link to process 0; the links to the others follow in order.
pub const FIRST_LINK_PORT: u16 = 10_000;
/// The third byte of the address of process 0.
const FIRST_PROCESS_BYTE: usize = 1;
/// The third byte of the address of stub service 0.
const FIRST_STUB_BYTE: usize = 100;
/// The number of addresses that share a third byte.
const ADDRESSES_PER_BYTE: usize = 250;
/// The sentinel's third and fourth byte.
const SENTINEL_BYTE: u8 = 250;
const SENTINEL_PORT: u16 = 9999;
/// The second bytes of all blocks. 127.0 and 127.1 are left to other programs.
const BLOCKS: std::ops::Range<u8> = 100..250;

/// A block of loopback addresses, released when dropped.
#[derive(Debug)]
pub struct AddressBlock {
    block: u8,
    _sentinel: TcpListener,
}

impl AddressBlock {
    /// Acquires the first free block.
    ///
    /// # Errors
    ///
    /// Returns the error of the last bind if all blocks are in use.
    pub fn acquire() -> io::Result<AddressBlock> {
        let mut last_error = io::ErrorKind::AddrInUse.into();
        for block in BLOCKS {
            let host = Ipv4Addr::new(127, block, SENTINEL_BYTE, SENTINEL_BYTE);
            match TcpListener::bind(SocketAddr::new(IpAddr::V4(host), SENTINEL_PORT)) {
                Ok(sentinel) => {
                    return Ok(AddressBlock {
                        block,
                        _sentinel: sentinel,
                    })
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// The address with this index in the range of addresses whose third byte starts at `first_byte`.
    fn ip_address(&self, first_byte: usize, index: usize) -> IpAddr {
        let third = first_byte + index / ADDRESSES_PER_BYTE;
        let fourth = 1 + index % ADDRESSES_PER_BYTE;
        IpAddr::V4(Ipv4Addr::new(127, self.block, third as u8, fourth as u8))
    }

    fn process_address(&self, process: usize, port: u16) -> SocketAddr {
        assert!(
            process < MAX_PROCESSES,
            "process {process} of {MAX_PROCESSES}"
        );
        SocketAddr::new(self.ip_address(FIRST_PROCESS_BYTE, process), port)
    }

    /// The address on which a process serves clients.
    pub fn client_address(&self, process: usize) -> SocketAddr {
        self.process_address(process, CLIENT_PORT)
    }

    /// The address on which a process receives traffic of other gateways.
    pub fn fleet_address(&self, process: usize) -> SocketAddr {
        self.process_address(process, FLEET_PORT)
    }

    /// The address of the proxy to which process `from` connects in order to reach process `to`.
    pub fn link_address(&self, from: usize, to: usize) -> SocketAddr {
        assert!(to < MAX_PROCESSES, "process {to} of {MAX_PROCESSES}");
        self.process_address(from, FIRST_LINK_PORT + to as u16)
    }

    /// The address of a stub service.
    pub fn stub_address(&self, stub: usize) -> SocketAddr {
        assert!(stub < MAX_STUBS, "stub service {stub} of {MAX_STUBS}");
        SocketAddr::new(self.ip_address(FIRST_STUB_BYTE, stub), CLIENT_PORT)
    }
}
