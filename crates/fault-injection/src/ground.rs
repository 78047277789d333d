//! Loopback addresses that belong to one rig, so that two of them run side by side and nothing is left behind.
//!
//! A rig owns one block `127.B.0.0/16` for as long as it holds the block's sentinel socket, which the system frees
//! with the process, however that ends. Within a block all addresses are fixed, so they can be read in a log. Each
//! process and each stand-in has an address of its own; links differ by their ports on the address of whoever dials:
//!
//! | address | what |
//! | --- | --- |
//! | `127.B.(1 + i/250).(1 + i%250)` | process `i` itself, ports 9000 and 9100 |
//! | the same, port `10000 + j` | what process `i` dials to reach process `j`: the link between them |
//! | `127.B.(100 + k/250).(1 + k%250)` | stand-in `k` |
//! | `127.B.250.250` | the sentinel |

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Processes that one rig holds at most: the ports of their links stay below those that Linux gives to dials.
pub const MOST_PROCESSES: usize = 16_384;
/// Stand-ins that one rig holds at most: they end below the sentinel's address.
pub const MOST_STAND_INS: usize = 32_768;
/// Where a process hears other front doors; TCP and UDP.
pub const FLEET_PORT: u16 = 9100;
/// Where a process hears clients, and a stand-in whoever calls it.
pub const CLIENT_PORT: u16 = 9000;
/// The port of the link to process 0; the others follow. TCP and UDP.
pub const FIRST_LINK_PORT: u16 = 10_000;
/// The third byte of the addresses of the first processes, and of the first stand-ins.
const PROCESSES_FROM: usize = 1;
const STAND_INS_FROM: usize = 100;
/// Hosts that share a third byte.
const HOSTS: usize = 250;
/// The sentinel's third and fourth byte, and its port.
const SENTINEL_HOST: u8 = 250;
const SENTINEL_PORT: u16 = 9999;
/// Blocks to look through: 127.0 and 127.1 are left to others.
const BLOCKS: std::ops::Range<u8> = 100..250;

/// A block of addresses, held until dropped.
#[derive(Debug)]
pub struct Ground {
    block: u8,
    _sentinel: TcpListener,
}

impl Ground {
    /// Takes the first block that nobody holds.
    pub fn take() -> io::Result<Ground> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for block in BLOCKS {
            let host = Ipv4Addr::new(127, block, SENTINEL_HOST, SENTINEL_HOST);
            match TcpListener::bind(SocketAddr::new(IpAddr::V4(host), SENTINEL_PORT)) {
                Ok(held) => {
                    return Ok(Ground {
                        block,
                        _sentinel: held,
                    })
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// The address of host `number`, where those of its kind begin at a third byte of `from`.
    fn host(&self, from: usize, number: usize) -> IpAddr {
        let (third, fourth) = (from + number / HOSTS, 1 + number % HOSTS);
        IpAddr::V4(Ipv4Addr::new(127, self.block, third as u8, fourth as u8))
    }

    fn process(&self, i: usize, port: u16) -> SocketAddr {
        assert!(i < MOST_PROCESSES, "process {i} of {MOST_PROCESSES}");
        SocketAddr::new(self.host(PROCESSES_FROM, i), port)
    }

    /// Where process `i` hears clients.
    pub fn clients(&self, i: usize) -> SocketAddr {
        self.process(i, CLIENT_PORT)
    }

    /// Where process `i` hears other front doors.
    pub fn fleet(&self, i: usize) -> SocketAddr {
        self.process(i, FLEET_PORT)
    }

    /// What process `from` dials to reach process `to`.
    pub fn link(&self, from: usize, to: usize) -> SocketAddr {
        assert!(to < MOST_PROCESSES, "process {to} of {MOST_PROCESSES}");
        self.process(from, FIRST_LINK_PORT + to as u16)
    }

    /// The address of a stand-in.
    pub fn stand_in(&self, number: usize) -> SocketAddr {
        assert!(
            number < MOST_STAND_INS,
            "stand-in {number} of {MOST_STAND_INS}"
        );
        SocketAddr::new(self.host(STAND_INS_FROM, number), CLIENT_PORT)
    }
}
