//! Unit tests of `capacity.rs`.

use super::*;

/// Guards the limits of the process: the scarcer of file descriptors and memory determines the connection limit.
#[test]
fn connection_limits_follow_the_scarcer_of_descriptors_and_memory() {
    assert_eq!(upstream_connection_limit(256, 32 << 20), 92);
    assert_eq!(upstream_connection_limit(1024, 32 << 20), 170);
    assert_eq!(upstream_connection_limit(1024, 192 << 20), 400);
    assert_eq!(upstream_connection_limit(32, 1 << 20), 3);
    assert_eq!(client_connection_limit(256), 140);
}
