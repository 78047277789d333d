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

/// Guards the memory limit of the process: what clients, long responses and backend connections may take leaves a part
/// of it, and even the smallest share holds one longest request.
#[test]
fn the_shares_of_memory_leave_a_part_of_the_limit() {
    let memory = 32 << 20;
    let connections = upstream_connection_limit(1024, memory) * 2 * CONNECTION_BUFFER_BYTES;
    let long_responses = memory / 4;
    let shares = request_memory(memory) + response_memory(memory) + connections + long_responses;
    assert!(shares < memory * 9 / 10, "{shares} of {memory} bytes");
    assert!(request_memory(1 << 20) >= 64 * 1024 + CONNECTION_BUFFER_BYTES * 3 / 2);
}
