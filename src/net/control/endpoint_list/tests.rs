//! Unit tests of `endpoint_list.rs`: the JSON keys of the platform's protocol.

use super::*;

fn parse(json: &str) -> EndpointList {
    serde_json::from_str(json).expect("an endpoint list")
}

/// Guards against a renamed JSON key: the keys are defined by the protocol, whatever the names of the Rust fields.
#[test]
fn every_json_key_of_an_endpoint_reaches_its_field() {
    let list = parse(
        r#"{"seq": 41, "whole": true, "hosts": [{"host": "s-7", "dial": "127.0.0.1:9001", "site": "z 2",
            "block": 3, "health": "draining", "share": 2.5, "born_ms": 1764600000000.5}]}"#,
    );
    assert_eq!(list.version, 41);
    assert!(list.is_full);
    assert_eq!(list.endpoints.len(), 1);
    let endpoint = &list.endpoints[0];
    assert_eq!(endpoint.name, "s-7");
    assert_eq!(endpoint.address.to_string(), "127.0.0.1:9001");
    assert_eq!(endpoint.zone, "z 2");
    assert_eq!(endpoint.cell, 3);
    assert_eq!(endpoint.health, Health::Draining);
    assert_eq!(endpoint.weight, 2.5);
    assert_eq!(endpoint.started_at_ms, 1_764_600_000_000.5);
}

#[test]
fn optional_keys_default_and_unknown_keys_are_ignored() {
    let list = parse(
        r#"{"seq": 0, "whole": false, "future": {"a": 1},
            "hosts": [{"host": "s-0", "dial": "[::1]:80", "health": "up", "cores": 4}]}"#,
    );
    assert_eq!(list.version, 0);
    assert!(!list.is_full);
    let endpoint = &list.endpoints[0];
    assert_eq!(endpoint.address.to_string(), "[::1]:80");
    assert_eq!(endpoint.zone, "");
    assert_eq!(endpoint.cell, 0);
    assert_eq!(endpoint.health, Health::Up);
    assert_eq!(endpoint.weight, 1.0);
    assert_eq!(endpoint.started_at_ms, 0.0);
}

#[test]
fn health_has_exactly_three_spellings() {
    let health = |text: &str| serde_json::from_value::<Health>(text.into()).ok();
    assert_eq!(health("up"), Some(Health::Up));
    assert_eq!(health("draining"), Some(Health::Draining));
    assert_eq!(health("removed"), Some(Health::Removed));
    for unknown in ["Up", "UP", "down", "drain", ""] {
        assert_eq!(health(unknown), None, "{unknown:?}");
    }
}

#[test]
fn a_missing_required_key_is_named_in_the_error() {
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": []});
    let endpoint = serde_json::json!({"host": "s-0", "dial": "127.0.0.1:1", "health": "up"});
    for key in ["seq", "whole", "hosts"] {
        let mut list = list.clone();
        list.as_object_mut().expect("an object").remove(key);
        let error = serde_json::from_value::<EndpointList>(list).unwrap_err();
        assert_eq!(error.to_string(), format!("missing field `{key}`"));
    }
    for key in ["host", "dial", "health"] {
        let mut endpoint = endpoint.clone();
        endpoint.as_object_mut().expect("an object").remove(key);
        let error = serde_json::from_value::<Endpoint>(endpoint).unwrap_err();
        assert_eq!(error.to_string(), format!("missing field `{key}`"));
    }
}
