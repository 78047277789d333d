//! Unit tests of the settings parser and of load reports.

use super::*;
use crate::policy_api::*;

#[test]
fn present_settings_are_parsed_and_missing_ones_default() {
    let text = "fleet_size=3\nme=2\nplans.count=1\nplans.0.per_second=2.5\nplans.0.cap_rate=5\nnew.key=x\n\
                grades.count=1\ngrades.0.idempotency=keyed\ngrades.0.group=zone\ngrades.0.memory_span=6000\n\
                report.names=depth,strange,concurrent\nregistry_mode=on_request";
    let ParsedSettings {
        settings,
        report_metrics,
        ..
    } = parse(text).unwrap();
    assert_eq!(
        (
            settings.gateways,
            settings.gateway_index,
            settings.plans[0].rate
        ),
        (3, 2, 2.5)
    );
    assert_eq!(
        settings.plans[0].ceiling,
        Some(Ceiling {
            rate: 5.0,
            burst: 0.0,
            slack: 0.0
        })
    );
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::WithKey {
            scope: DeduplicationScope::Zone,
            retention: 6000.0
        }
    );
    assert_eq!(settings.discovery, DiscoveryMode::OnRequest);
    assert_eq!(settings.max_attempts, Settings::default().max_attempts);
    let report = load_report(&report_metrics, &[4.0, 9.0, 6.0]);
    assert_eq!(
        (report.queue, report.in_flight, report.utilisation),
        (Some(4.0), Some(6.0), None)
    );
}

#[test]
fn a_setting_that_cannot_be_used_is_reported_with_its_path() {
    assert_eq!(
        parse("tick=soon").unwrap_err().to_string(),
        "settings: tick=soon cannot be read"
    );
    assert_eq!(
        parse("registry_mode=maybe").unwrap_err().to_string(),
        "settings: registry_mode=maybe is not a known choice"
    );
    assert_eq!(
        parse("extra.meter=NaN").unwrap_err().to_string(),
        "settings: extra.meter=NaN is not a finite number"
    );
}

/// All wire names, each with a value that differs from its default.
const EVERY_KEY: &str = "fleet_size=3\nme=2\nmy_zone=1\ntick=2.5\nzones=east,west\nregistry_mode=on_request\n\
    grades.count=1\ngrades.0.name=read\ngrades.0.aim=410\ngrades.0.give_up=2010\ngrades.0.credit=1.5\n\
    grades.0.late_worth=0.3\ngrades.0.idempotency=keyed\ngrades.0.group=zone\ngrades.0.memory_span=6000\n\
    grades.0.streaming=true\n\
    plans.count=1\nplans.0.name=wide\nplans.0.per_second=12\nplans.0.peak_units=24\nplans.0.max_out=7\nplans.0.pays=1.25\n\
    plans.0.excess_worth=0.4\nplans.0.over_cost=0.2\nplans.0.cap_rate=50\nplans.0.never_over_depth=60\n\
    plans.0.hard_slack=9\n\
    extra.max_units=8\nextra.meter=750\nreport.via=on_probe\nreport.names=concurrent,depth,load_share,mean_ms,tps,err_ps,new\n\
    policy_limits.send_cap=4\npolicy_limits.second_copies=true\npolicy_limits.cancel=true\npolicy_limits.probes=true\n\
    policy_limits.retry_after=true\npolicy_limits.max_retry_after=3000\npolicy_limits.dial_timeout=333\n\
    policy_limits.idle_close=4444\n\
    charges.cross_zone=0.05\ncharges.handshake=0.06\ncharges.connection=0.07\n\
    rules.answer_slack=11\nrules.stop_sending_within=12\nrules.ask_within=13\nrules.start_capacity=0.14\nrules.warm_up=15\n\
    rules.overload_factor=16\nrules.fall=17";

fn every_setting() -> Settings {
    Settings {
        gateways: 3,
        gateway_index: 2,
        zone: ZoneId(1),
        tick: 2.5,
        classes: vec![Class {
            latency_objective: 410.0,
            deadline: 2010.0,
            priority_weight: 1.5,
            late_priority_weight: 0.3,
            idempotency: Idempotency::WithKey {
                scope: DeduplicationScope::Zone,
                retention: 6000.0,
            },
            streaming: true,
        }],
        plans: vec![Plan {
            rate: 12.0,
            burst: 24.0,
            max_concurrency: 7,
            weight_factor: 1.25,
            over_quota_weight: 0.4,
            over_quota_cost: 0.2,
            ceiling: Some(Ceiling {
                rate: 50.0,
                burst: 60.0,
                slack: 9.0,
            }),
        }],
        max_units: 8.0,
        meter_period: 750.0,
        discovery: DiscoveryMode::OnRequest,
        load_reports: LoadReportMode::OnHealthCheck,
        max_attempts: 4,
        hedging: true,
        cancellation: true,
        health_checks: true,
        retry_after: true,
        max_retry_after: 3000.0,
        cross_zone_cost: 0.05,
        answer_slack: 11.0,
        drain_grace: 12.0,
        poll_interval: 13.0,
        start_capacity: 0.14,
        warm_up: 15.0,
        overload_factor: 16.0,
        overload_window: 17.0,
    }
}

/// Guards the wire names, which the platform fixes, when fields are renamed: each wire name has to set its own field.
/// `EVERY_KEY` has all wire names, and `every_setting` lists all fields.
#[test]
fn every_wire_name_reaches_its_field() {
    let parsed = parse(EVERY_KEY).expect("settings");
    let names = |list: &[&str]| list.iter().map(|&name| name.to_owned()).collect::<Vec<_>>();
    let expected = ParsedSettings {
        settings: every_setting(),
        report_metrics: vec![
            Metric::InFlight,
            Metric::Queue,
            Metric::Utilisation,
            Metric::Latency,
            Metric::Throughput,
            Metric::Errors,
            Metric::Unknown,
        ],
        names: Names {
            classes: names(&["read"]),
            plans: names(&["wide"]),
            zones: names(&["east", "west"]),
            metrics: names(&[
                "concurrent",
                "depth",
                "load_share",
                "mean_ms",
                "tps",
                "err_ps",
                "new",
            ]),
        },
        connections: ConnectionSettings {
            dial_timeout: 333.0,
            idle_timeout: 4444.0,
            handshake_cost: 0.06,
            connection_cost: 0.07,
        },
    };
    assert_eq!(parsed, expected);
}

#[test]
fn empty_settings_are_the_defaults() {
    let expected = ParsedSettings {
        settings: Settings::default(),
        report_metrics: Vec::new(),
        names: Names::default(),
        connections: ConnectionSettings::default(),
    };
    assert_eq!(parse("").expect("settings"), expected);
}

#[test]
fn every_choice_has_its_wire_word() {
    let classes = [
        ("safe", Idempotency::Idempotent),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    for (word, expected) in classes {
        let text = format!("grades.count=1\ngrades.0.idempotency={word}");
        let parsed = parse(&text).expect("settings");
        assert_eq!(parsed.settings.classes[0].idempotency, expected);
    }
    let scopes = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    for (word, scope) in scopes {
        let text = format!("grades.count=1\ngrades.0.idempotency=keyed\ngrades.0.group={word}");
        let parsed = parse(&text).expect("settings");
        let expected = Idempotency::WithKey {
            scope,
            retention: 0.0,
        };
        assert_eq!(parsed.settings.classes[0].idempotency, expected);
    }
    let modes = [
        ("pushed", DiscoveryMode::Pushed),
        ("on_request", DiscoveryMode::OnRequest),
    ];
    for (word, expected) in modes {
        let parsed = parse(&format!("registry_mode={word}")).expect("settings");
        assert_eq!(parsed.settings.discovery, expected);
    }
    let modes = [
        ("off", LoadReportMode::Off),
        ("inline", LoadReportMode::Inline),
        ("on_probe", LoadReportMode::OnHealthCheck),
    ];
    for (word, expected) in modes {
        let parsed = parse(&format!("report.via={word}")).expect("settings");
        assert_eq!(parsed.settings.load_reports, expected);
    }
}

#[test]
fn an_unreadable_setting_keeps_the_error_of_its_parser() {
    let error = parse("fleet_size=-1").unwrap_err();
    let source = std::error::Error::source(&error).expect("a source");
    assert_eq!(
        source.to_string(),
        "-1".parse::<u32>().unwrap_err().to_string()
    );
}

/// Guards against an implausible count, which would allocate too much memory at start, and checks the order in which
/// errors are reported.
#[test]
fn a_count_out_of_range_is_reported_and_not_allocated() {
    for (list, count) in [("grades", "4000000000"), ("plans", "-1"), ("grades", "x")] {
        let error = parse(&format!("{list}.count={count}")).unwrap_err();
        assert_eq!(
            error.to_string(),
            format!("settings: {list}.count={count} cannot be read")
        );
    }
    let error = parse("grades.count=-1\nme=x").unwrap_err();
    assert_eq!(error.to_string(), "settings: me=x cannot be read");
}
