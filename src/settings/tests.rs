//! Unit tests of `settings.rs`.

use super::*;

#[test]
fn what_is_told_is_read_and_the_rest_defaulted() {
    let text = "fleet_size=3\nme=2\nplans.count=1\nplans.0.per_second=2.5\nplans.0.cap_rate=5\nnew.key=x\n\
                grades.count=1\ngrades.0.idempotency=keyed\ngrades.0.group=zone\ngrades.0.memory_span=6000\n\
                report.names=depth,strange,concurrent\nregistry_mode=on_request";
    let ParsedSettings {
        settings,
        report_metrics: order,
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
    let told = load_report(&order, &[4.0, 9.0, 6.0]);
    assert_eq!(
        (told.queue, told.in_flight, told.utilisation),
        (Some(4.0), Some(6.0), None)
    );
}

#[test]
fn what_cannot_be_read_is_named() {
    assert_eq!(
        parse("tick=soon").unwrap_err(),
        "settings: tick=soon cannot be read"
    );
    assert_eq!(
        parse("registry_mode=maybe").unwrap_err(),
        "settings: registry_mode=maybe is not a known choice"
    );
    assert!(parse("extra.meter=NaN")
        .unwrap_err()
        .contains("extra.meter"));
}
