//! Tests of several gateway processes under injected faults.

use cometspool_fault_injection::load_generator::LoadProfile;
use cometspool_fault_injection::{check, Cluster, ClusterConfig};
use nix::sys::signal::Signal;

/// Guards the fault injection itself, on gateways that do not know each other. Under load, one
/// process is killed, one is paused and one shuts down. No invariant is violated, and the processes
/// that keep running lose no request.
#[test]
fn gateways_without_a_fleet_serve_through_kills_pauses_and_shutdowns() {
    let mut cluster = Cluster::start(&ClusterConfig {
        processes: 4,
        fleet: None,
        ..ClusterConfig::default()
    })
    .expect("a cluster");
    let load = cluster.start_load(LoadProfile::default());
    cluster.wait_for("all four gateways in rotation", |_| {
        (load.gateways_in_rotation() == 4).then_some(())
    });
    let wait_for_requests = |cluster: &mut Cluster, count: u64| {
        let until = load.sent() + count;
        cluster.wait_for("more requests", |_| (load.sent() >= until).then_some(()));
    };
    wait_for_requests(&mut cluster, 50);
    cluster.processes[0].kill();
    wait_for_requests(&mut cluster, 50);
    cluster.processes[1].signal(Signal::SIGSTOP);
    cluster.start_process(0).expect("a start");
    wait_for_requests(&mut cluster, 50);
    cluster.processes[1].signal(Signal::SIGCONT);
    cluster.processes[2].signal(Signal::SIGTERM);
    cluster.processes[2].wait_for_exit();
    cluster.start_process(2).expect("a start");
    cluster.wait_until_serving();
    wait_for_requests(&mut cluster, 50);
    cluster.finish_load(&load);
    let events = cluster.history.events();
    assert_eq!(check::check_all(&events), []);
    let count = |what: &str| events.iter().filter(|event| event.kind == what).count();
    assert!(
        count("asked") >= 200 && count("ran") >= 100,
        "{} asked, {} ran",
        count("asked"),
        count("ran")
    );
}

/// Guards the hand-over file against a disk that is full for a while, and a running gateway against
/// a clock step. The gateway reports that it cannot write the file, keeps serving, and writes the
/// file again once there is space. Requests that its predecessor has run are not run again.
#[test]
fn a_full_disk_and_a_clock_step_do_not_interrupt_service() {
    let cluster_config = ClusterConfig {
        processes: 2,
        fleet: None,
        handover: true,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&cluster_config).expect("a cluster");
    let load = cluster.start_load(LoadProfile::default());
    cluster.wait_for("both gateways in rotation", |_| {
        (load.gateways_in_rotation() == 2).then_some(())
    });
    let wait_for_log_line = |cluster: &mut Cluster, text: &str| {
        cluster.wait_for(text, |cluster| {
            let is_expected_line = |event: &cometspool_fault_injection::history::Event| {
                event.source == "n0" && event.is_log_line(text)
            };
            cluster
                .history
                .read(|events| events.iter().any(is_expected_line).then_some(()))
        });
    };
    cluster.processes[0]
        .reload(|config| config["clock"] = serde_json::json!({"ahead_ms": -3_600_000}))
        .expect("the configuration is reloaded");
    wait_for_log_line(&mut cluster, "configuration reloaded");
    cluster.processes[0]
        .set_disk_full(true)
        .expect("the limit is set");
    wait_for_log_line(&mut cluster, "hand-over suspended");
    let until = load.sent() + 100;
    cluster.wait_for("more requests", |_| (load.sent() >= until).then_some(()));
    cluster.processes[0]
        .set_disk_full(false)
        .expect("the limit is removed");
    wait_for_log_line(&mut cluster, "hand-over resumed");
    let file = std::fs::read_to_string(cluster.processes[0].data_folder().join("handover"))
        .expect("the hand-over file is read");
    let ends: Vec<f64> = file
        .lines()
        .filter_map(|line| line.split(' ').nth(1)?.parse().ok())
        .collect();
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock")
        .as_millis();
    // The clock was set back by an hour while the gateway ran. The times in the file must not have
    // moved with it.
    let is_not_set_back = |end: &f64| *end > now as f64 - 1_800_000.0;
    assert!(
        !ends.is_empty() && ends.iter().all(is_not_set_back),
        "{file}"
    );
    cluster.processes[0].kill();
    cluster.start_process(0).expect("a start");
    cluster.wait_until_serving();
    cluster.finish_load(&load);
    assert_eq!(check::check_all(&cluster.history.events()), []);
}

/// Returns a counter of the transport from the last report of a process.
fn transport_counter(cluster: &Cluster, process: usize, name: &str) -> u64 {
    cluster
        .last_fleet_report(process)
        .and_then(|event| event.fields["way"][name].as_u64())
        .unwrap_or_default()
}

/// Guards membership on real processes under load, through a start, a kill, a pause longer than all
/// timeouts, a partition that heals, and a graceful shutdown. Requests are served without a
/// violated invariant throughout.
#[test]
fn membership_converges_after_kill_pause_partition_and_leave() {
    // Enables everything whose rate depends on the number of present gateways.
    let pace = serde_json::json!({"pace": {"discovery": true, "dials": true, "trials": true}});
    let cluster_config = ClusterConfig {
        processes: 6,
        fleet: Some(pace),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&cluster_config).expect("a cluster");
    let load = cluster.start_load(LoadProfile {
        requests_per_s: 40.0,
        ..LoadProfile::default()
    });
    let all = [0, 1, 2, 3, 4, 5];
    cluster.wait_for_agreement(&all, "six gateways that know each other");
    cluster.wait_for("the loads of all gateways at each of them", |cluster| {
        let known = |i| {
            cluster.last_fleet_report(i).and_then(|event| {
                event.fields["members"]["loads"]
                    .as_object()
                    .map(serde_json::Map::len)
            })
        };
        all.iter().all(|i| known(*i) == Some(6)).then_some(())
    });
    cluster.processes[5].kill();
    cluster.wait_for_agreement(&all[..5], "five gateways after one was killed");
    cluster.start_process(5).expect("a start");
    cluster.wait_for_agreement(&all, "six gateways after the restart");
    cluster.processes[4].signal(Signal::SIGSTOP);
    cluster.wait_for_agreement(&[0, 1, 2, 3, 5], "five gateways without the paused one");
    cluster.processes[4].signal(Signal::SIGCONT);
    cluster.wait_for_agreement(&all, "six gateways after the pause");
    cluster.partition(&[&[0, 1], &[2, 3], &[4, 5]]);
    for third in [[0, 1], [2, 3], [4, 5]] {
        cluster.wait_for_agreement(&third, "one group of the partition");
    }
    cluster.heal_links();
    cluster.wait_for_agreement(&all, "six gateways after the partition");
    cluster.processes[0].signal(Signal::SIGTERM);
    cluster.processes[0].wait_for_exit();
    cluster.wait_for_agreement(&all[1..], "five gateways after one left");
    cluster.finish_load(&load);
    let events = cluster.history.events();
    assert_eq!(check::check_all(&events), []);
    let count_changes = |observer: &str, change: &str, member: &str| {
        let seen = |event: &&cometspool_fault_injection::history::Event| {
            event.source == observer
                && event.kind == "member"
                && event.text("change") == change
                && event.text("member") == member
        };
        events.iter().filter(seen).count()
    };
    for i in 1..6 {
        let observer = cometspool_fault_injection::cluster::process_name(i);
        assert_eq!(
            (
                count_changes(&observer, "left", "n0"),
                count_changes(&observer, "failed", "n0") > 1
            ),
            (1, false),
            "{observer}: a leave is not a failure"
        );
    }
    assert!(
        cluster.link_counters()["lost"] > 100,
        "the partition lost too few datagrams: {:?}",
        cluster.link_counters()
    );
}

/// Guards the transport against foreign bytes, and against peers whose frames are corrupted or
/// truncated. Each fault is counted and closes its connection, and membership recovers.
#[test]
fn foreign_corrupted_and_truncated_frames_are_counted_and_close_their_connection() {
    use std::io::{Read, Write};
    let mut cluster = Cluster::start(&ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    })
    .expect("a cluster");
    cluster.wait_for_agreement(&[0, 1], "two gateways that know each other");
    let at: std::net::SocketAddr = cluster.processes[0].config["fleet"]["listen"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let mut header = b"CS\0\x01\0\x01\0\0".to_vec();
    header.extend([0; 16]);
    let foreign: [(&str, Vec<u8>); 3] = [
        ("mark", b"GET / HTTP/1.1\r\nHost: somebody\r\n\r\n".to_vec()),
        ("fleet", header),
        ("silent", b"CS".to_vec()),
    ];
    for (counter, bytes) in foreign {
        let mut stream = std::net::TcpStream::connect(at).expect("a listener");
        stream.write_all(&bytes).expect("the write succeeds");
        let mut rest = Vec::new();
        // The connection is closed, or reset if some bytes were not read.
        let _ = stream.read_to_end(&mut rest);
        assert_eq!(rest, b"", "{counter}: a foreign connection is sent nothing");
        cluster.wait_for(counter, |cluster| {
            (transport_counter(cluster, 0, counter) >= 1).then_some(())
        });
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let before = transport_counter(&cluster, 0, "mark");
    socket.send_to(b"no frame", at).expect("sent");
    cluster.wait_for("a counter of the malformed datagram", |cluster| {
        (transport_counter(cluster, 0, "mark") > before).then_some(())
    });
    // From now on one byte of each datagram is changed. The checksums detect every change, so the
    // two gateways declare each other failed.
    let corrupting = cometspool_fault_injection::link::LinkConditions {
        corrupt: 1.0,
        ..Default::default()
    };
    cluster.set_links_between(&[0], &[1], &corrupting);
    cluster.wait_for("checksum mismatches", |cluster| {
        (transport_counter(cluster, 0, "checksum") + transport_counter(cluster, 1, "checksum") >= 5)
            .then_some(())
    });
    cluster.wait_for_agreement(&[0], "one gateway alone");
    cluster.heal_links();
    cluster.wait_for_agreement(&[0, 1], "two gateways again");
}

/// Guards a running fleet against an invalid fleet section at SIGHUP: the error is reported with
/// its key, and the previous configuration stays in force.
#[test]
fn an_invalid_section_at_sighup_keeps_the_old_configuration() {
    let mut cluster = Cluster::start(&ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    })
    .expect("a cluster");
    cluster.wait_for_agreement(&[0, 1], "two gateways that know each other");
    cluster.processes[0]
        .reload(|config| config["fleet"]["links"] = 0.into())
        .expect("the configuration is written");
    cluster.wait_for("a log line on the invalid key", |cluster| {
        let is_reported = |event: &cometspool_fault_injection::history::Event| {
            event.is_log_line("invalid configuration ignored")
                && event.text("error").contains("fleet.links")
        };
        cluster
            .history
            .read(|events| events.iter().any(is_reported).then_some(()))
    });
    // The gateway still finds the other one after that is restarted.
    cluster.processes[1].kill();
    cluster.wait_for_agreement(&[0], "one gateway alone");
    cluster.start_process(1).expect("a start");
    cluster.wait_for_agreement(&[0, 1], "two gateways again");
    assert_eq!(check::no_crash(&cluster.history.events()), []);
}

/// Guards the check of the configuration at the start: an error in the fleet section is reported
/// with its key, on one line, with exit code 2. A simulated clock error is rejected outside a test.
#[test]
fn an_invalid_fleet_section_at_start_names_its_key() {
    use cometspool_fault_injection::scripted_peers::{default_settings, spawn_with_configuration};
    use serde_json::json;
    let valid = json!({"name": "f", "listen": "127.0.0.1:9", "peers": []});
    let cases = [
        ("fleet.listen", json!({"listen": "nowhere"})),
        ("fleet.listen", json!({"listen": "127.0.0.1:0"})),
        (
            "fleet.peers[0].dial",
            json!({"peers": [{"name": "a", "dial": "x"}]}),
        ),
        (
            "fleet.peers[1].name",
            json!({"peers": [{"name": "a", "dial": "127.0.0.1:1"}, {"name": "a", "dial": "127.0.0.1:2"}]}),
        ),
        ("fleet.links", json!({"links": 0})),
        ("fleet.frame_bytes", json!({"frame_bytes": 1})),
        ("fleet.zone", json!({"zone": "z".repeat(40)})),
        ("fleet.accepted", json!({"accepted": 250})),
        ("lnks", json!({"lnks": 3})),
    ];
    for (key, change) in cases {
        let mut fleet = valid.clone();
        fleet
            .as_object_mut()
            .unwrap()
            .extend(change.as_object().unwrap().clone());
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "limits": {"sockets": 256}, "settings": default_settings(), "fleet": fleet,
        });
        let child = spawn_with_configuration(&config.to_string(), &[]).child;
        let output = child.wait_with_output().expect("an exit");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{key}: {text}");
        assert!(
            text.contains(key) && text.lines().count() == 1,
            "{key}: {text}"
        );
    }
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"sockets": 256}, "settings": default_settings(), "clock": {"rate": 2.0},
    });
    let output = spawn_with_configuration(&config.to_string(), &[])
        .child
        .wait_with_output()
        .expect("an exit");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(1) && text.contains("clock: only a test"),
        "{text}"
    );
}

/// Guards the invariants under the fixed fault schedules. The faults that a schedule names must
/// show in its history, so that no schedule passes without having injected them.
#[test]
fn fixed_fault_schedules_inject_their_faults_and_violate_no_invariant() {
    use cometspool_fault_injection::schedule::{run, Schedule};
    // The faults that must show for each schedule, in the counters of the links or among the
    // events.
    let schedules: [(&str, &str, &[&str]); 3] = [
        (
            "thirds",
            include_str!("schedules/thirds.toml"),
            &["lost", "signal SIGKILL", "member failed", "member up"],
        ),
        (
            "bad links",
            include_str!("schedules/bad-links.toml"),
            &[
                "lost",
                "duplicated",
                "reordered",
                "damaged",
                "delayed",
                "ended",
                "reset",
                "halve",
                "refusals",
            ],
        ),
        (
            "clocks and stops",
            include_str!("schedules/clocks-and-stops.toml"),
            &[
                "signal SIGSTOP",
                "signal SIGCONT",
                "signal SIGTERM",
                "member left",
                "wipe",
                "backend",
                "turned-away",
                "disk",
                "signal SIGHUP",
            ],
        ),
    ];
    for (name, text, expected_faults) in schedules {
        let schedule = Schedule::read(text).unwrap_or_else(|error| panic!("{name}: {error}"));
        let outcome = run(&schedule, None, None).expect("a cluster");
        assert_eq!(outcome.violations, [], "{name}");
        let count_seen = |fault: &&str| {
            let count_in = |map: &std::collections::BTreeMap<String, u64>| {
                map.get(*fault).copied().unwrap_or_default()
            };
            count_in(&outcome.link_counters) + count_in(&outcome.event_counts)
        };
        for fault in expected_faults {
            assert!(
                count_seen(fault) > 0,
                "{name}: {fault} was not seen in {:?} and {:?}",
                outcome.link_counters,
                outcome.event_counts
            );
        }
    }
}
