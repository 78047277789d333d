//! The simulated fleet: what its figures rest on.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::flooding_customers;

fn spec(seed: u64) -> Spec {
    let class = Class {
        latency_objective: 1200.0,
        deadline: 3000.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    let faults = vec![
        (2000.0, Fault::Start(0)),
        (2000.0, Fault::Told(0, Availability::Draining)),
        (3000.0, Fault::Ill(0, Ill::Dead)),
        (4000.0, Fault::Cut(1, true)),
        (5000.0, Fault::Cut(1, false)),
        (5000.0, Fault::Ill(3, Ill::Errors(0.5))),
    ];
    Spec {
        settings: Settings {
            gateways: 20,
            plans: vec![Plan {
                rate: 1e4,
                burst: 1e5,
                ..Plan::default()
            }],
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            ..Settings::default()
        },
        classes: vec![ClassSpec {
            class,
            share: 1.0,
            work: 150.0,
            cv: 1.0,
        }],
        backends: (0..16)
            .map(|i| BackendSpec {
                zone: i % 2,
                ..BackendSpec::default()
            })
            .collect(),
        zones: 2,
        rate: 10.0,
        tells_less: true,
        charges_lag: true,
        patience: 0.3,
        pauses: vec![(2, 3000.0, 3600.0)],
        way: (0.2, 2.0),
        length: 8000.0,
        told_within: 500.0,
        cold: (0.25, 8000.0),
        table: Some(12),
        seed,
        faults,
        crowd: None,
    }
}

/// Guards the figures: one seed gives one day, and another gives another.
#[test]
fn a_seed_gives_one_day() {
    let (first, again, other) = (play(spec(1)), play(spec(1)), play(spec(2)));
    assert_eq!(first, again);
    assert_ne!(first, other);
}

/// Guards the sums: every request has one end, useful work is no more than was done, tables hold what they hold, and most
/// of a day with some trouble is served.
#[test]
fn a_days_sums_agree() {
    for seed in 1..6 {
        let tally = play(spec(seed));
        assert_eq!(tally.ends.iter().sum::<u64>(), tally.asked);
        assert!(
            tally.wasted >= 0.0 && tally.wasted < tally.work,
            "{} of {}",
            tally.wasted,
            tally.work
        );
        assert!(tally.firsts <= tally.asked && tally.firsts <= tally.sends);
        assert!(
            tally.peaks.iter().all(|peak| *peak <= 12),
            "{:?}",
            tally.peaks
        );
        assert!(
            tally.dials > 0 && tally.share() > 0.6 && tally.share() <= 1.0,
            "{}",
            tally.share()
        );
    }
}

/// Guards what quotas are judged by: a seed gives one ledger; what is served within the quotas is no more than was offered,
/// every try is sent or refused for a reason, and no ceiling is passed while one customer floods every door of its set and
/// two thirds of the front doors start anew.
#[test]
fn the_ledger_holds_every_try_and_no_ceiling_is_passed() {
    let flooded = |seed| {
        let ceiling = Ceiling {
            rate: 20.0,
            burst: 40.0,
            slack: 4.0,
        };
        let plan = Plan {
            rate: 10.0,
            burst: 20.0,
            over_quota_cost: 0.5,
            ceiling: Some(ceiling),
            ..Plan::default()
        };
        let crowd = flooding_customers(150.0);
        let mut spec = spec(seed);
        spec.faults = (0..14).map(|door| (4000.0, Fault::Restart(door))).collect();
        spec.settings = Settings {
            plans: vec![plan],
            meter_period: 500.0,
            ..spec.settings
        };
        Spec {
            crowd: Some(crowd),
            patience: 0.9,
            pauses: Vec::new(),
            table: None,
            ..spec
        }
    };
    for seed in 1..4 {
        let ledger = play(flooded(seed)).ledger;
        assert_eq!(ledger, play(flooded(seed)).ledger);
        let refused: u64 = ledger.why.values().sum();
        let sent = ledger.sent[0] + ledger.sent[1];
        assert!(
            sent + refused as f64 >= ledger.tries as f64 * 0.95,
            "{sent}, {refused}: {ledger:?}"
        );
        assert!(
            ledger.served <= ledger.offered && ledger.served > 0.5 * ledger.offered,
            "{ledger:?}"
        );
        assert!(
            ledger.ceiling_left >= 0.0,
            "a ceiling is passed: {ledger:?}"
        );
        assert!(ledger.why.contains_key("Ceiling"), "{ledger:?}");
    }
}
