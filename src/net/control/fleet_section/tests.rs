//! Unit tests of `fleet_section.rs`.

use super::*;
use serde_json::json;

/// Guards the messages that operators read: each is one line that names the key, what was expected and what was found.
#[test]
fn an_invalid_section_is_reported_with_its_key() {
    let long = "n".repeat(65);
    let cases = [
        (
            json!(5),
            "fleet: invalid type: integer `5`, expected struct Raw",
        ),
        (
            json!([]),
            "fleet: invalid length 0, expected struct Raw with 16 elements",
        ),
        (
            json!({"name": "f", "listen": "127.0.0.1:9"}),
            "fleet: missing field `peers`",
        ),
        (
            section("peers", json!([3])),
            "fleet: invalid type: integer `3`, expected struct Peer",
        ),
        (
            section("peers", json!([{"name": "a"}])),
            "fleet: missing field `dial`",
        ),
        (
            section("pace", json!(3)),
            "fleet: invalid type: integer `3`, expected struct Pace",
        ),
        (
            section("lnks", json!(3)),
            "fleet: unknown field `lnks`, expected one of `name`, `generation`, `listen`, `advertise`, `peers`, \
             `zone`, `membership`, `pace`, `links`, `accepted`, `frame_bytes`, `queue_bytes`, `hello_ms`, `beat_ms`, \
             `keep_ms`, `tell_ms`",
        ),
        (
            section("name", json!("")),
            "fleet.name: expected names of 1 to 64 bytes for the fleet and the gateway, got 0 and 2 bytes",
        ),
        (
            section("name", json!(long)),
            "fleet.name: expected at most 64 bytes, got 65",
        ),
        (
            section("zone", json!(long)),
            "fleet.zone: expected at most 32 bytes, got 65",
        ),
        (
            section("listen", json!("127.0.0.1:0")),
            "fleet.listen: expected an IP address with a nonzero port, got \"127.0.0.1:0\"",
        ),
        (
            section("advertise", json!("x")),
            "fleet.advertise: expected an IP address with a nonzero port, got \"x\"",
        ),
        (
            section("peers", json!([{"name": "", "dial": "127.0.0.1:1"}])),
            "fleet.peers[0].name: expected a name of 1 to 64 bytes, got an empty one",
        ),
        (
            section("peers", json!([{"name": "a", "dial": "x"}])),
            "fleet.peers[0].dial: expected an IP address with a nonzero port, got \"x\"",
        ),
        (
            section(
                "peers",
                json!([{"name": "a", "dial": "127.0.0.1:1"}, {"name": "a", "dial": "127.0.0.1:2"}]),
            ),
            "fleet.peers[1].name: expected one address for \"a\", got 127.0.0.1:1 and 127.0.0.1:2",
        ),
        (
            section("links", json!(0)),
            "fleet.links: expected 1 to 4096, got 0",
        ),
        (
            section("accepted", json!(4097)),
            "fleet.accepted: expected 1 to 4096, got 4097",
        ),
        (
            section("frame_bytes", json!(4095)),
            "fleet.frame_bytes: expected 4096 to 16777216, got 4095",
        ),
        (
            section("queue_bytes", json!(67_108_865)),
            "fleet.queue_bytes: expected 4096 to 67108864, got 67108865",
        ),
        (
            section("hello_ms", json!(9)),
            "fleet.hello_ms: expected 10 to 60000, got 9",
        ),
        (
            section("beat_ms", json!(60_001)),
            "fleet.beat_ms: expected 10 to 60000, got 60001",
        ),
        (
            section("keep_ms", json!(99)),
            "fleet.keep_ms: expected 100 to 3600000, got 99",
        ),
        (
            section("tell_ms", json!(49)),
            "fleet.tell_ms: expected 50 to 3600000, got 49",
        ),
    ];
    for (value, expected) in cases {
        let error = FleetSection::parse(&value, "n0").expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
    let error = FleetSection::parse(&section("zone", json!("z")), "").expect_err("no name");
    assert_eq!(
        error.to_string(),
        "fleet.name: expected names of 1 to 64 bytes for the fleet and the gateway, got 1 and 0 bytes"
    );
}

/// A valid section with one key changed.
fn section(key: &str, value: Value) -> Value {
    let mut section = json!({"name": "f", "listen": "127.0.0.1:9", "peers": []});
    section[key] = value;
    section
}

/// Guards against a wrong default, and against a key that sets the wrong field.
#[test]
fn every_key_sets_its_value_and_has_its_default() {
    let defaults = FleetSection::parse(&section("zone", json!("")), "n0").expect("it is valid");
    assert_eq!(defaults.advertise, defaults.listen);
    assert_eq!(defaults.epoch, 0);
    assert!(defaults.membership_enabled && defaults.peers.is_empty());
    assert!(!defaults.pace.discovery && !defaults.pace.dials && !defaults.pace.trials);
    assert_eq!((defaults.max_outbound, defaults.max_inbound), (12, 64));
    assert_eq!(defaults.max_body_bytes, 262_144);
    assert_eq!(defaults.max_queue_bytes, 1_048_576);
    assert_eq!(defaults.handshake_timeout, Duration::from_millis(1000));
    assert_eq!(defaults.heartbeat_interval, Duration::from_millis(1000));
    assert_eq!(defaults.idle_timeout, Duration::from_millis(60_000));
    assert_eq!(defaults.report_interval, Duration::from_millis(10_000));
    let value = json!({
        "name": "f", "generation": 2, "listen": "127.0.0.1:9", "advertise": "127.0.0.1:10",
        "peers": [{"name": "n0", "dial": "127.0.0.1:1"}, {"name": "n1", "dial": "127.0.0.1:2"}],
        "zone": "z", "membership": false, "pace": {"discovery": true, "dials": true, "trials": true},
        "links": 3, "accepted": 4, "frame_bytes": 5000, "queue_bytes": 6000, "hello_ms": 70, "beat_ms": 80,
        "keep_ms": 900, "tell_ms": 1000,
    });
    let section = FleetSection::parse(&value, "n0").expect("it is valid");
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(section.local_name, "n0");
    assert_eq!(section.fleet_name, "f");
    assert_eq!(section.epoch, 2);
    assert_eq!(section.listen, address(9));
    assert_eq!(section.advertise, address(10));
    assert_eq!(section.peers, [("n1".to_owned(), address(2))].into());
    assert_eq!(section.zone, "z");
    assert!(!section.membership_enabled);
    assert!(section.pace.discovery && section.pace.dials && section.pace.trials);
    assert_eq!((section.max_outbound, section.max_inbound), (3, 4));
    assert_eq!(section.max_descriptors(), 10);
    assert_eq!(section.max_body_bytes, 5000);
    assert_eq!(section.max_queue_bytes, 6000);
    assert_eq!(section.handshake_timeout, Duration::from_millis(70));
    assert_eq!(section.heartbeat_interval, Duration::from_millis(80));
    assert_eq!(section.idle_timeout, Duration::from_millis(900));
    assert_eq!(section.report_interval, Duration::from_millis(1000));
}
