//! Ejection of backends that answer with errors, and their return by trial.

mod common;
use cometspool::*;
use common::*;
use std::collections::BTreeMap;

fn gateway(me: u32, gateways: u32, backends: u32) -> Stage {
    let plan = Plan {
        rate: 1e5,
        burst: 1e6,
        ..Plan::default()
    };
    let set = Settings {
        gateway_index: me,
        max_units: 1.0,
        ..settings(plan, gateways)
    };
    Stage::seeded(
        set,
        u64::from(me),
        (0..backends).map(|id| ready(id * 7919, 0)).collect(),
    )
}

/// Plays one request a `gap`, from `from` to `to`, of `class`; backends in `bad` answer with errors in a millisecond, the
/// others well in 20 ms. Tells what was sent to whom, first attempts and further ones.
fn play(
    stage: &mut Stage,
    span: (f64, f64, f64),
    class: usize,
    bad: &dyn Fn(BackendId) -> bool,
) -> BTreeMap<BackendId, u32> {
    let (from, to, gap) = span;
    let mut sent = BTreeMap::new();
    let mut now = from;
    while now < to {
        let id = now as u32;
        let mut at = stage.arrive(now, request(id, class, now));
        for attempt in 0.. {
            let Some(backend) = at else { break };
            *sent.entry(backend).or_default() += 1;
            let (outcome, took) = if bad(backend) {
                (Outcome::Error, 1.0)
            } else {
                (Outcome::Ok, 20.0)
            };
            let end = AttemptCompleted {
                elapsed: took,
                ..settled(id, attempt, backend, outcome)
            };
            stage.play(now + took, Event::AttemptCompleted(end));
            at = stage.sent();
        }
        now += gap;
    }
    sent
}

/// Guards against a backend that errs at once and so is always free: however many gateways meet it, together they try it
/// about once an aim at first, and ever less, while it goes on so.
#[test]
fn the_fleets_trials_of_a_bad_backend_are_bounded_whatever_its_size() {
    for (gateways, backends) in [(3, 12), (30, 20), (300, 200)] {
        let (mut early, mut late) = (0, 0);
        for me in 0..gateways {
            let mut stage = gateway(me, gateways, backends);
            let bad = |backend: BackendId| backend.0 == 0;
            play(&mut stage, (0.0, 5000.0, 100.0), 0, &bad);
            early += play(&mut stage, (5000.0, 25_000.0, 100.0), 0, &bad)
                .get(&BackendId(0))
                .copied()
                .unwrap_or(0);
            late += play(&mut stage, (60_000.0, 80_000.0, 100.0), 0, &bad)
                .get(&BackendId(0))
                .copied()
                .unwrap_or(0);
        }
        // Over 20 s, by an aim of a second.
        // Two errors tell each of the eighteen that meet it; then about one trial an aim of all.
        assert!(
            early <= 2 * 18 + 28,
            "{gateways} gateways: {early} trials in the first 20 s"
        );
        assert!(
            late <= 20,
            "{gateways} gateways: {late} trials in 20 s after a minute"
        );
    }
}

/// Guards the sum of trials where more front doors are present than the settings tell, and the told size as the least.
#[test]
fn trials_follow_the_front_doors_present_but_never_fewer_than_told() {
    let trials = |present: u32| {
        let doors = (0..18).map(|me| {
            let mut stage = gateway(me, 18, 12);
            stage.play(0.0, Event::FleetSizeChanged(present));
            let sent = play(&mut stage, (0.0, 60_000.0, 100.0), 0, &|backend| {
                backend.0 == 0
            });
            sent.get(&BackendId(0)).copied().unwrap_or(0)
        });
        doors.sum::<u32>()
    };
    let [told, fewer, more] = [18, 3, 180].map(trials);
    assert_eq!(fewer, told);
    assert!(
        more < told * 2 / 3,
        "{more} trials where {told} are due to the told size"
    );
}

/// Guards the return: once a backend is well again it is found out by a request that may be repeated, and has its share
/// after; one that must not run twice is no trial.
#[test]
fn a_backend_returns_by_safe_trials_alone() {
    let mut stage = gateway(0, 1, 4);
    let well = |_| false;
    play(&mut stage, (0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let unsafe_ones = play(&mut stage, (30_000.0, 130_000.0, 50.0), 2, &well);
    assert_eq!(
        unsafe_ones.get(&BackendId(0)),
        None,
        "an unsafe request was the trial"
    );
    play(&mut stage, (130_000.0, 140_000.0, 50.0), 0, &well);
    let after = play(&mut stage, (140_000.0, 150_000.0, 50.0), 2, &well);
    assert!(
        after
            .get(&BackendId(0))
            .is_some_and(|sent| (25..=75).contains(sent)),
        "{after:?}"
    );
}

/// Guards against a cause that all have in common: where every backend errs, none is left alone, and as soon as it is over
/// all are used.
#[test]
fn what_all_have_in_common_ejects_nobody_for_long() {
    let mut stage = gateway(0, 1, 8);
    play(&mut stage, (0.0, 10_000.0, 20.0), 0, &|_| true);
    let after = play(&mut stage, (10_000.0, 12_000.0, 20.0), 0, &|_| false);
    assert!(after.values().sum::<u32>() >= 90, "{after:?}");
    let later = play(&mut stage, (40_000.0, 50_000.0, 20.0), 0, &|_| false);
    assert_eq!(later.len(), 8, "{later:?}");
}

/// Guards the rest against noise: an error now and then ejects nobody.
#[test]
fn an_error_now_and_then_ejects_nobody() {
    let mut stage = gateway(0, 1, 8);
    let count = std::cell::Cell::new(0u32);
    let noisy = |_| {
        count.set(count.get() + 1);
        count.get().is_multiple_of(100)
    };
    let sent = play(&mut stage, (0.0, 100_000.0, 20.0), 0, &noisy);
    assert!(
        sent.values().all(|sent| (500..=800).contains(sent)),
        "{sent:?}"
    );
}

/// Guards a clean start: a new process behind the same id owes nothing for the one before.
#[test]
fn a_new_start_is_not_ejected_for_the_process_before() {
    let mut stage = gateway(0, 1, 4);
    play(&mut stage, (0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let before = play(&mut stage, (30_000.0, 32_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    assert!(
        before.get(&BackendId(0)).is_none_or(|sent| *sent <= 1),
        "{before:?}"
    );
    let anew = BackendEntry {
        started_at: Some(-1e6),
        ..ready(0, 0)
    };
    stage.play(
        32_000.0,
        Event::EndpointsChanged(ListKind::Changes, vec![anew]),
    );
    let sent = play(&mut stage, (32_000.0, 34_000.0, 50.0), 0, &|_| false);
    assert!(
        sent.get(&BackendId(0)).is_some_and(|sent| *sent >= 5),
        "{sent:?}"
    );
}
