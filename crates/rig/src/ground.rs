//! Loopback addresses that belong to one rig, so that two of them run side by side and nothing is left behind.
//!
//! A rig owns one block `127.B.0.0/16` for as long as it holds the block's sentinel socket, which the system frees
//! with the process, however that ends. Within a block all addresses are fixed, so they can be read in a log:
//!
//! | address | what |
//! | --- | --- |
//! | `127.B.i.1` | process `i` itself |
//! | `127.B.i.(j+2)` | what process `i` dials to reach process `j`: the link between them |
//! | `127.B.250.k` | stand-ins |

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Processes that one rig holds at most: their links fill the last byte of an address.
pub const MOST_PROCESSES: usize = 200;
/// Where a process hears other front doors, and where a link is dialled; TCP and UDP.
pub const FLEET_PORT: u16 = 9100;
/// Where a process hears clients.
pub const CLIENT_PORT: u16 = 9000;
/// The sentinel's port.
const SENTINEL: u16 = 9999;
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
            let sentinel = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, block, 250, 250)), SENTINEL);
            match TcpListener::bind(sentinel) {
                Ok(held) => return Ok(Ground { block, _sentinel: held }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn at(&self, third: usize, fourth: usize, port: u16) -> SocketAddr {
        assert!(third < 256 && fourth < 256, "an address of the block");
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, third as u8, fourth as u8)), port)
    }

    /// Where process `i` hears clients.
    pub fn clients(&self, i: usize) -> SocketAddr {
        self.at(i, 1, CLIENT_PORT)
    }

    /// Where process `i` hears other front doors.
    pub fn fleet(&self, i: usize) -> SocketAddr {
        self.at(i, 1, FLEET_PORT)
    }

    /// What process `from` dials to reach process `to`.
    pub fn link(&self, from: usize, to: usize) -> SocketAddr {
        self.at(from, to + 2, FLEET_PORT)
    }

    /// The address of a stand-in.
    pub fn stand_in(&self, number: usize) -> SocketAddr {
        self.at(250, number, CLIENT_PORT)
    }
}
