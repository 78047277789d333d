//! Unit tests of `config.rs`.

use super::*;

#[test]
fn an_address_without_a_port_is_reported_with_its_name() {
    let error = parse_address("BALANCER_LISTEN", "localhost").unwrap_err();
    assert_eq!(
        error.to_string(),
        "BALANCER_LISTEN: expected an IP address with a port, got \"localhost\""
    );
    assert_eq!(error.exit_code(), 1);
}
