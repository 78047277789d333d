//! Unit tests of `room.rs`.

use super::*;

/// Guards the machine's limits: what binds is the scarcer of descriptors and memory.
#[test]
fn links_fit_descriptors_and_memory() {
    assert_eq!(upstream_connection_limit(256, 32 << 20), 92);
    assert_eq!(upstream_connection_limit(1024, 32 << 20), 170);
    assert_eq!(upstream_connection_limit(1024, 192 << 20), 400);
    assert_eq!(upstream_connection_limit(32, 1 << 20), 3);
    assert_eq!(client_connection_limit(256), 140);
}
