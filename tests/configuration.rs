//! Tests of the configuration of a gateway at start-up and on SIGHUP, over loopback sockets.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::{json, Value};
use std::io::Read;

/// Guards against a gateway that starts with an invalid configuration: the error is reported on one line, and the
/// program exits with an error code.
#[test]
fn an_invalid_configuration_is_reported_on_one_line_and_fails_the_start() {
    let valid = json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256}, "settings": {},
    });
    let with = |key: &str, value: Value| {
        let mut config = valid.clone();
        config[key] = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "EOF"),
        (with("listen", "nowhere".into()), "BALANCER_LISTEN"),
        (with("seed", "xyz".into()), "seed"),
        (with("limits", json!({"sockets": 3})), "sockets"),
        (with("settings", json!({"tick": "soon"})), "tick=soon"),
    ];
    for (config, expected) in cases {
        let mut child = spawn_with_configuration(&config, &[]).child;
        let mut text = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        let status = child.wait().unwrap();
        assert!(
            !status.success() && text.contains(expected) && text.lines().count() == 1,
            "{text}"
        );
    }
}

/// Guards against a gateway that starts although it cannot open its hand-over file: the error names the configuration
/// key, and the program exits with an error code.
#[test]
fn an_unusable_hand_over_file_prevents_the_start() {
    let discovery = TestListener::new();
    for path in ["/", "/nowhere/at/all"] {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(),
            "seed": "1", "limits": {"sockets": 256}, "settings": default_settings(), "handover": path,
        });
        let child = spawn_with_configuration(&config.to_string(), &[]).child;
        let output = child.wait_with_output().expect("an exit");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            text.contains("handover") && text.lines().count() == 1,
            "{text}"
        );
    }
}

/// Guards the reload on SIGHUP. An invalid file changes nothing. A new address of discovery is used immediately, and
/// the watch is resumed there from the version last received, although the environment variable still holds the old
/// address. Requests in flight are completed.
#[test]
fn a_new_configuration_moves_the_watch_and_an_invalid_one_does_not() {
    let mut fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    let mut config = fixture.program.config.clone();
    for invalid in [
        "{",
        "{\"seed\":\"1\",\"limits\":{\"sockets\":256},\"settings\":{},\"discovery\":\"x\"}",
    ] {
        fixture.program.reload(invalid);
        let line = fixture.program.read_log_event();
        assert!(
            line.starts_with("invalid configuration ignored error="),
            "{line}"
        );
    }
    // The watch at the old address is still in use.
    let moved_backend = TestListener::new();
    let hosts = [endpoint("s-0", moved_backend.address(), "up")];
    fixture
        .watch
        .send_line(&endpoint_list(8, false, &hosts).to_string());
    let moved_discovery = TestListener::new();
    config["discovery"] = moved_discovery.address().to_string().into();
    wait_for("the watch event to be processed", || {
        fixture.program.reload(&config.to_string());
        let start_line = moved_discovery.accept().read().start_line;
        (start_line == watch_request(8)).then(|| fixture.watch.connection.expect_close())
    });
    // The request in flight is still answered.
    backend.respond(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
}
