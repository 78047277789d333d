//! Unit tests of `file.rs`.

use super::*;

/// A configuration file with only the required keys.
fn minimal_file() -> Value {
    serde_json::json!({"seed": "1", "limits": {"sockets": 256}, "settings": {}})
}

/// The minimal file with `key` added or replaced.
fn file_with(key: &str, value: Value) -> ConfigFile {
    let mut json = minimal_file();
    json[key] = value;
    serde_json::from_value(json).expect("a file")
}

/// The error of a file with `value` at `key`.
fn error_message(key: &str, value: Value) -> String {
    file_with(key, value).check().unwrap_err().to_string()
}

/// Guards against a renamed JSON key: the keys are defined by the platform and the operators.
#[test]
fn every_json_key_of_the_file_reaches_its_field() {
    let text = r#"{"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": {"seq": 7, "whole": true, "hosts": []}, "handover": "/data/handover",
        "fleet": {"name": "f", "listen": "127.0.0.1:1", "peers": [], "links": 5, "accepted": 6},
        "test": true, "clock": {"rate": 2.0, "ahead_ms": 60000.0}, "settings": {"tick": 2.5}, "strange": 1}"#;
    let file: ConfigFile = serde_json::from_str(text).expect("a file");
    assert_eq!(file.name, "n0");
    assert_eq!(file.listen, "127.0.0.1:8080");
    assert_eq!(file.discovery, "127.0.0.1:8500");
    assert_eq!(file.limits.sockets, 512);
    assert_eq!(file.limits.memory_mb, 192);
    assert_eq!(file.known.as_ref().map(|known| known.version), Some(7));
    assert_eq!(
        file.handover.as_deref(),
        Some(std::path::Path::new("/data/handover"))
    );
    assert!(file.test);
    let checked = file.check().expect("usable");
    assert_eq!(checked.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(checked.parsed.settings.tick, 2.5);
    let fleet = file
        .fleet_section("n0")
        .expect("usable")
        .expect("a section");
    assert_eq!(fleet.max_descriptors(), 5 + 6 + 3);
    let skewed = crate::net::runtime::clock::Clock::skewed(file.clock.expect("a clock"));
    let right = crate::net::runtime::clock::Clock::new();
    let ahead = skewed.now() - right.now();
    assert!((55_000.0..65_000.0).contains(&ahead), "{ahead} ms");
}

#[test]
fn optional_keys_of_the_file_default() {
    let file: ConfigFile = serde_json::from_value(minimal_file()).expect("a file");
    assert_eq!((file.name.as_str(), file.listen.as_str()), ("", ""));
    assert_eq!(file.discovery, "");
    assert_eq!(file.limits.memory_mb, 32);
    assert!(file.known.is_none() && file.handover.is_none() && file.clock.is_none());
    assert!(file.fleet_section("n0").expect("usable").is_none());
    assert!(!file.test);
    let checked = file.check().expect("usable");
    assert_eq!(checked.seed, 1);
    assert_eq!(checked.parsed, settings::parse("").expect("settings"));
    for key in ["seed", "limits", "settings"] {
        let mut json = minimal_file();
        json.as_object_mut().expect("an object").remove(key);
        let error = serde_json::from_value::<ConfigFile>(json).unwrap_err();
        assert_eq!(error.to_string(), format!("missing field `{key}`"));
    }
}

/// Guards the messages that operators read and tools match: each is one line that names the key, what was expected and
/// what was found.
#[test]
fn an_invalid_value_is_reported_with_its_key() {
    assert_eq!(
        error_message("seed", "xyz".into()),
        "seed: expected a hexadecimal number of at most 64 bits, got \"xyz\""
    );
    assert_eq!(
        error_message("limits", serde_json::json!({"sockets": 31})),
        "limits.sockets: expected at least 32 file descriptors, got 31"
    );
    assert_eq!(
        error_message("handover", "/".into()),
        "handover: expected a path that ends in a file name, got \"/\""
    );
    assert_eq!(
        error_message("clock", serde_json::json!({})),
        "clock: only a test may set the clock: expected \"test\" to be true, got false"
    );
    let mut json = minimal_file();
    json["test"] = true.into();
    json["clock"] = serde_json::json!({"rate": 0.05});
    let file: ConfigFile = serde_json::from_value(json).expect("a file");
    assert_eq!(
        file.check().unwrap_err().to_string(),
        "clock: expected a rate from 0.1 to 10 and a finite ahead_ms, got rate 0.05 and ahead_ms 0"
    );
    assert_eq!(
        error_message("settings", serde_json::json!({"tick": "soon"})),
        "settings: tick=soon cannot be read"
    );
}

#[test]
fn only_an_error_of_the_fleet_section_exits_with_code_2() {
    let section =
        serde_json::json!({"name": "f", "listen": "127.0.0.1:1", "peers": [], "links": 200});
    let error = file_with("fleet", section).fleet_section("n0").unwrap_err();
    assert_eq!(error.exit_code(), 2);
    assert_eq!(
        error.to_string(),
        "fleet.accepted: 64 and fleet.links: 200 require limits.sockets of at least 299, got 256"
    );
    assert_eq!(
        file_with("seed", "xyz".into())
            .check()
            .unwrap_err()
            .exit_code(),
        1
    );
    assert_eq!(
        ConfigError::MissingConfigPath.to_string(),
        "BALANCER_CONFIG: expected the path of the configuration file, but the variable is not set"
    );
}

#[test]
fn an_error_keeps_its_source() {
    use std::error::Error;
    let error = file_with("seed", "xyz".into()).check().unwrap_err();
    let source = error.source().expect("a source");
    assert_eq!(
        source.to_string(),
        u64::from_str_radix("xyz", 16).unwrap_err().to_string()
    );
    let settings = serde_json::json!({"fleet_size": -1});
    let error = file_with("settings", settings).check().unwrap_err();
    assert!(matches!(error, ConfigError::Settings(_)));
    assert!(error.source().is_some());
}
