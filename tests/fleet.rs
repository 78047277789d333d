//! Several processes of the program under faults, on the rig.

use cometspool_fault_injection::load_generator::LoadProfile;
use cometspool_fault_injection::{check, Cluster, ClusterConfig};
use nix::sys::signal::Signal;

/// Guards the rig's own ground on the program as it was before front doors spoke to each other: under load, a process
/// that is killed, one that stands still and one that is stopped break no rule, and those that went on lose nothing.
#[test]
fn processes_that_share_nothing_keep_the_rules_under_kills_and_pauses() {
    let mut rig = Cluster::start(&ClusterConfig {
        processes: 4,
        fleet: None,
        ..ClusterConfig::default()
    })
    .expect("a rig");
    let load = rig.start_load(LoadProfile::default());
    rig.wait_for("all four taken in", |_| {
        (load.gateways_in_rotation() == 4).then_some(())
    });
    let more = |rig: &mut Cluster, count: u64| {
        let until = load.sent() + count;
        rig.wait_for("more requests", |_| (load.sent() >= until).then_some(()));
    };
    more(&mut rig, 50);
    rig.processes[0].kill();
    more(&mut rig, 50);
    rig.processes[1].signal(Signal::SIGSTOP);
    rig.start_process(0).expect("a start");
    more(&mut rig, 50);
    rig.processes[1].signal(Signal::SIGCONT);
    rig.processes[2].signal(Signal::SIGTERM);
    rig.processes[2].wait_for_exit();
    rig.start_process(2).expect("a start");
    rig.wait_until_serving();
    more(&mut rig, 50);
    rig.finish_load(&load);
    let events = rig.history.events();
    assert_eq!(check::check_all(&events), []);
    let count = |what: &str| events.iter().filter(|event| event.kind == what).count();
    assert!(
        count("asked") >= 200 && count("ran") >= 100,
        "{} asked, {} ran",
        count("asked"),
        count("ran")
    );
}

/// Guards what a front door keeps for its successor against a disk that is full for a while, and a running front door against a
/// clock that is set: it says what it cannot hand over, goes on serving, writes anew once the disk takes it, and what its
/// predecessor left is still refused to run again.
#[test]
fn a_full_disk_and_a_clock_that_is_set_stop_nobody() {
    let plan = ClusterConfig {
        processes: 2,
        fleet: None,
        handover: true,
        ..ClusterConfig::default()
    };
    let mut rig = Cluster::start(&plan).expect("a rig");
    let load = rig.start_load(LoadProfile::default());
    rig.wait_for("both taken in", |_| {
        (load.gateways_in_rotation() == 2).then_some(())
    });
    let said = |rig: &mut Cluster, text: &str| {
        rig.wait_for(text, |rig| {
            let says = |event: &cometspool_fault_injection::history::Event| {
                event.source == "n0" && event.text("text").contains(text)
            };
            rig.history
                .read(|events| events.iter().any(says).then_some(()))
        });
    };
    rig.processes[0]
        .reload(|config| config["clock"] = serde_json::json!({"ahead_ms": -3_600_000}))
        .expect("told");
    said(&mut rig, "discovery is at");
    rig.processes[0].set_disk_full(true).expect("a limit");
    said(&mut rig, "nothing more is handed over for now");
    let until = load.sent() + 100;
    rig.wait_for("more requests", |_| (load.sent() >= until).then_some(()));
    rig.processes[0].set_disk_full(false).expect("no limit");
    said(&mut rig, "handed over again");
    let file =
        std::fs::read_to_string(rig.processes[0].data_folder().join("handover")).expect("the file");
    let ends: Vec<f64> = file
        .lines()
        .filter_map(|line| line.split(' ').nth(1)?.parse().ok())
        .collect();
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock")
        .as_millis();
    // The clock was set back an hour while it ran: its times did not move.
    let late = |end: &f64| *end > now as f64 - 1_800_000.0;
    assert!(!ends.is_empty() && ends.iter().all(late), "{file}");
    rig.processes[0].kill();
    rig.start_process(0).expect("a start");
    rig.wait_until_serving();
    rig.finish_load(&load);
    assert_eq!(check::check_all(&rig.history.events()), []);
}

/// A counter of the way that a process tells.
fn way(rig: &Cluster, i: usize, name: &str) -> u64 {
    rig.last_fleet_report(i)
        .and_then(|event| event.fields["way"][name].as_u64())
        .unwrap_or_default()
}

/// Guards membership on real processes: a start, a death, a pause past all limits, a planned stop, and a split that heals,
/// under load; the ordinary path keeps its rules throughout.
#[test]
fn processes_find_lose_and_find_each_other() {
    // With all that the live size paces switched on.
    let pace = serde_json::json!({"pace": {"discovery": true, "dials": true, "trials": true}});
    let plan = ClusterConfig {
        processes: 6,
        fleet: Some(pace),
        ..ClusterConfig::default()
    };
    let mut rig = Cluster::start(&plan).expect("a rig");
    let load = rig.start_load(LoadProfile {
        requests_per_s: 40.0,
        ..LoadProfile::default()
    });
    let all = [0, 1, 2, 3, 4, 5];
    rig.wait_for_agreement(&all, "six that know each other");
    rig.wait_for("the loads of all at each", |rig| {
        let known = |i| {
            rig.last_fleet_report(i).and_then(|event| {
                event.fields["members"]["loads"]
                    .as_object()
                    .map(serde_json::Map::len)
            })
        };
        all.iter().all(|i| known(*i) == Some(6)).then_some(())
    });
    rig.processes[5].kill();
    rig.wait_for_agreement(&all[..5], "five that miss one");
    rig.start_process(5).expect("a start");
    rig.wait_for_agreement(&all, "six again");
    rig.processes[4].signal(Signal::SIGSTOP);
    rig.wait_for_agreement(&[0, 1, 2, 3, 5], "five without the one that stands still");
    rig.processes[4].signal(Signal::SIGCONT);
    rig.wait_for_agreement(&all, "six after it woke");
    rig.partition(&[&[0, 1], &[2, 3], &[4, 5]]);
    for third in [[0, 1], [2, 3], [4, 5]] {
        rig.wait_for_agreement(&third, "a third on its own");
    }
    rig.heal_links();
    rig.wait_for_agreement(&all, "six after the split");
    rig.processes[0].signal(Signal::SIGTERM);
    rig.processes[0].wait_for_exit();
    rig.wait_for_agreement(&all[1..], "five after one left");
    rig.finish_load(&load);
    let events = rig.history.events();
    assert_eq!(check::check_all(&events), []);
    let saw = |by: &str, change: &str, member: &str| {
        let seen = |event: &&cometspool_fault_injection::history::Event| {
            event.source == by
                && event.kind == "member"
                && event.text("change") == change
                && event.text("member") == member
        };
        events.iter().filter(seen).count()
    };
    for i in 1..6 {
        let by = cometspool_fault_injection::cluster::process_name(i);
        assert_eq!(
            (saw(&by, "left", "n0"), saw(&by, "failed", "n0") > 1),
            (1, false),
            "{by}: leaving is no failure"
        );
    }
    assert!(
        rig.link_counters()["lost"] > 100,
        "the split acted: {:?}",
        rig.link_counters()
    );
}

/// Guards the way against what comes from outside, and against peers that are cut off in the middle: each is counted, ends
/// its connection, and membership goes on.
#[test]
fn foreign_damaged_and_halved_frames_are_counted_and_end_their_connection() {
    use std::io::{Read, Write};
    let mut rig = Cluster::start(&ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    })
    .expect("a rig");
    rig.wait_for_agreement(&[0, 1], "two that know each other");
    let at: std::net::SocketAddr = rig.processes[0].config["fleet"]["listen"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let mut head = b"CS\0\x01\0\x01\0\0".to_vec();
    head.extend([0; 16]);
    let strangers: [(&str, Vec<u8>); 3] = [
        ("mark", b"GET / HTTP/1.1\r\nHost: somebody\r\n\r\n".to_vec()),
        ("fleet", head),
        ("silent", b"CS".to_vec()),
    ];
    for (counter, bytes) in strangers {
        let mut stream = std::net::TcpStream::connect(at).expect("a listener");
        stream.write_all(&bytes).expect("room");
        let mut rest = Vec::new();
        // It is closed, or reset for what it has not read.
        let _ = stream.read_to_end(&mut rest);
        assert_eq!(rest, b"", "{counter}: a stranger is told nothing");
        rig.wait_for(counter, |rig| (way(rig, 0, counter) >= 1).then_some(()));
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let before = way(&rig, 0, "mark");
    socket.send_to(b"no frame", at).expect("sent");
    rig.wait_for("a counted datagram", |rig| {
        (way(rig, 0, "mark") > before).then_some(())
    });
    // From now on one byte of each datagram is changed: checksums find all of them, and each takes the other for gone.
    let damaged = cometspool_fault_injection::link::LinkConditions {
        corrupt: 1.0,
        ..Default::default()
    };
    rig.set_links_between(&[0], &[1], &damaged);
    rig.wait_for("damage found", |rig| {
        (way(rig, 0, "checksum") + way(rig, 1, "checksum") >= 5).then_some(())
    });
    rig.wait_for_agreement(&[0], "one alone");
    rig.heal_links();
    rig.wait_for_agreement(&[0, 1], "two again");
}

/// Guards a running fleet against a bad section at SIGHUP: it is told with its key, and the old one goes on.
#[test]
fn a_bad_section_at_sighup_changes_nothing() {
    let mut rig = Cluster::start(&ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    })
    .expect("a rig");
    rig.wait_for_agreement(&[0, 1], "two that know each other");
    rig.processes[0]
        .reload(|config| config["fleet"]["links"] = 0.into())
        .expect("a file");
    rig.wait_for("a word on the bad key", |rig| {
        let told = |text: &str| {
            text.contains("the old configuration goes on") && text.contains("fleet.links")
        };
        rig.history.read(|events| {
            events
                .iter()
                .any(|event| told(event.text("text")))
                .then_some(())
        })
    });
    // It still finds the other when that comes back.
    rig.processes[1].kill();
    rig.wait_for_agreement(&[0], "one alone");
    rig.start_process(1).expect("a start");
    rig.wait_for_agreement(&[0, 1], "two again");
    assert_eq!(check::no_crash(&rig.history.events()), []);
}

/// Guards the start: what is wrong in the section is told with its key, on one line, with exit code 2. A clock that is off is a
/// test's alone.
#[test]
fn a_bad_fleet_section_names_its_key() {
    use cometspool_fault_injection::scripted_peers::{default_settings, spawn_with_configuration};
    use serde_json::json;
    let good = json!({"name": "f", "listen": "127.0.0.1:9", "peers": []});
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
        let mut fleet = good.clone();
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

/// Guards the rules under the fixed schedules, each of which has to act: what it says it does must show in its history.
#[test]
fn fixed_schedules_break_no_rule_and_their_faults_act() {
    use cometspool_fault_injection::schedule::{run, Schedule};
    // What is to be found of each: in the counters of the links, or among the events.
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
    for (name, text, acts) in schedules {
        let schedule = Schedule::read(text).unwrap_or_else(|error| panic!("{name}: {error}"));
        let outcome = run(&schedule, None, None).expect("a rig");
        assert_eq!(outcome.violations, [], "{name}");
        let seen = |act: &&str| {
            let of = |map: &std::collections::BTreeMap<String, u64>| {
                map.get(*act).copied().unwrap_or_default()
            };
            of(&outcome.link_counters) + of(&outcome.event_counts)
        };
        for act in acts {
            assert!(
                seen(act) > 0,
                "{name}: {act} was not seen in {:?} and {:?}",
                outcome.link_counters,
                outcome.event_counts
            );
        }
    }
}
