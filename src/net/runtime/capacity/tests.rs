//! Unit tests of `capacity.rs`.

use super::*;

/// Guards the limits of the process: the scarcer of file descriptors and memory determines the connection limit.
#[test]
fn connection_limits_follow_the_scarcer_of_descriptors_and_memory() {
    assert_eq!(upstream_connection_limit(256, 32 << 20), 92);
    assert_eq!(upstream_connection_limit(1024, 32 << 20), 170);
    assert_eq!(upstream_connection_limit(1024, 192 << 20), 400);
    assert_eq!(upstream_connection_limit(32, 1 << 20), 3);
    assert_eq!(client_connection_limit(256, 32 << 20), 140);
    assert_eq!(client_connection_limit(1024, 32 << 20), 600);
    assert_eq!(client_connection_limit(4096, 32 << 20), 614);
}

/// Guards the memory limit of the process: whatever the descriptors, all that it can hold at once is less than the
/// limit, and even the smallest share holds one longest request.
#[test]
fn the_shares_of_memory_leave_a_part_of_the_limit() {
    for megabytes in 32..=4096 {
        let memory = megabytes << 20;
        for descriptors in [256, 768, 1024, 4096, 65_536] {
            let total = most_without_customers(descriptors, memory);
            assert!(
                total < memory * 9 / 10,
                "{total} of {memory} bytes with {descriptors} descriptors"
            );
            let customers = customer_limit(descriptors, memory) * CUSTOMER_BYTES;
            assert!(
                total + customers < memory,
                "{total} and {customers} of {memory} bytes with {descriptors} descriptors"
            );
        }
    }
    assert!(customer_limit(1024, 64 << 20) >= 50_000);
    let smallest = MemoryShares::of(1 << 20);
    assert!(smallest.read_buffers >= LARGE_READ_BUFFER_BYTES);
    assert!(smallest.request_bodies >= 64 * 1024 && smallest.responses >= 64 * 1024);
}
