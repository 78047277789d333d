//! Unit tests of `budget.rs`.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

/// Guards what a client tells: what is no time gets no budget, and no class waits for longer than it allows.
#[test]
fn only_a_sane_time_makes_a_budget() {
    for bad in [
        "", "NaN", "nan", "inf", "-inf", "-0.5", "0", "-0", "1e300", "80.001", "1,5", "0x1",
    ] {
        assert_eq!(Budget::from_header(bad, 1000.0, 8000.0), None, "{bad:?}");
    }
    assert_eq!(
        Budget::from_header("1.5", 1000.0, 8000.0).unwrap().end(),
        2500.0
    );
    assert_eq!(
        Budget::from_header("79", 1000.0, 8000.0).unwrap().end(),
        9000.0
    );
    assert_eq!(Budget::from_header("1.5", f64::NAN, 8000.0), None);
}

/// Guards a backend against being told more than there is, and against a nought that it would misread.
#[test]
fn a_backend_is_told_what_is_left_less_the_way_back() {
    let budget = Budget::from_header("1.5", 0.0, 8000.0).unwrap();
    let all = budget.attempt_deadline(100.0, None).unwrap();
    assert_eq!(all.header_value(100.0, 0.0), "1.400");
    assert_eq!(all.header_value(100.6, 2.0), "1.397");
    assert_eq!(all.header_value(1499.9, 5.0), "0.001");
    assert_eq!(budget.attempt_deadline(1500.0, None), None);
    assert_eq!(budget.attempt_deadline(100.0, Some(0.0)), None);
    assert_eq!(
        budget.attempt_deadline(100.0, Some(200.0)).unwrap().end(),
        300.0
    );
}

proptest! {
    /// Guards the one rule of budgets: whatever is cut out of one, and in whatever order, ends within it.
    #[test]
    fn nothing_cut_out_of_a_budget_outlives_it(
        told in 0.001f64..80.0, began in 0.0f64..1e12, most in 1.0f64..10_000.0,
        after in -1e4f64..1e5, limit in proptest::option::of(-10.0f64..1e6), wait in -10.0f64..1e6,
        stop in -1e4f64..1e5,
    ) {
        let now = began + after;
        if let Some(budget) = Budget::from_header(&told.to_string(), began, most) {
            prop_assert!(budget.end() <= began + most && budget.remaining(now) >= 0.0);
            let cut = budget.capped_at(began + stop);
            prop_assert!(cut.end() <= budget.end() && cut.end() <= began + stop);
            if let Some(part) = cut.attempt_deadline(now, limit) {
                prop_assert!(part.end() <= cut.end() && part.end() > now);
                prop_assert!(limit.is_none_or(|limit| part.end() <= now + limit));
                let waited = part.wait(now, wait);
                prop_assert!(waited >= 0.0 && now + waited <= cut.end() * (1.0 + 1e-12));
                let told: f64 = part.header_value(now, 0.0).parse().unwrap();
                prop_assert!(told <= 0.001 || 1000.0 * told <= part.end() - now);
            }
        }
    }
}

fn lag() -> StallMonitor {
    StallMonitor::new(WakeRecorder::new(), 1000.0)
}

fn wake_at(lag: &StallMonitor, now: Millis) {
    lag.woken.woke(((now - 1000.0) * 1000.0) as u64);
}

/// Guards a client's time against a pause in a sleep, which ends that sleep and shows what came only after the next one:
/// what is read then is taken to have come since the waking before the pause, and what is read after that is charged
/// nothing.
#[test]
fn a_pause_in_a_sleep_is_charged_to_what_sat_through_it() {
    let lag = lag();
    wake_at(&lag, 1101.0);
    lag.timer_fired(1100.0, 1101.0);
    assert_eq!(lag.arrival_time(1102.0), 1102.0);
    wake_at(&lag, 3200.0);
    lag.timer_fired(1200.0, 3200.0);
    lag.timer_fired(3199.0, 3200.0);
    assert_eq!(lag.arrival_time(3200.0), 1101.0);
    wake_at(&lag, 3200.5);
    assert_eq!(
        [lag.arrival_time(3201.0), lag.arrival_time(3230.0)],
        [1101.0; 2]
    );
    wake_at(&lag, 3231.0);
    assert_eq!(lag.arrival_time(3240.0), 3240.0);
    assert_eq!(
        (lag.take_longest_stall(), lag.take_longest_stall()),
        (Some(2099.0), None)
    );
}

/// Guards the same where the pause lies between a timer and the sleep: the next waking shows timer and bytes at once,
/// and whichever is seen first, also a timer that was set since and is on time, the bytes are charged.
#[test]
fn a_pause_between_two_sleeps_is_charged_whoever_is_woken_first() {
    for on_time_first in [false, true] {
        let lag = lag();
        wake_at(&lag, 1100.0);
        lag.timer_fired(1100.0, 1100.5);
        lag.expect(1200.0);
        wake_at(&lag, 1900.0);
        if on_time_first {
            lag.timer_fired(1895.0, 1900.0);
        }
        assert_eq!(lag.arrival_time(1900.5), 1100.5);
    }
}

/// Guards a loop that is too busy to sleep: timers that are on time again end what is charged, and what is charged
/// reaches back to the last thing that ran, not to a sleep long ago.
#[test]
fn a_loop_that_never_sleeps_is_charged_only_for_its_stalls() {
    let lag = lag();
    lag.timer_fired(5000.0, 5001.0);
    lag.timer_fired(5100.0, 5180.0);
    assert_eq!(lag.arrival_time(5181.0), 5001.0);
    lag.timer_fired(5280.0, 5281.0);
    assert_eq!(lag.arrival_time(5282.0), 5282.0);
}

/// Guards against charges for coarse timers.
#[test]
fn a_timer_that_is_a_little_late_charges_nothing() {
    let lag = lag();
    lag.timer_fired(1100.0, 1100.0 + TOLERANCE);
    assert_eq!(lag.arrival_time(1125.0), 1125.0);
}

/// Guards the hook's own clock: the waking before the last is told.
#[test]
fn wakings_are_noted_in_order() {
    let woken = WakeRecorder::new();
    woken.record_wake();
    std::thread::sleep(Duration::from_millis(2));
    woken.record_wake();
    let first = woken.before();
    woken.record_wake();
    assert!(woken.before() >= first + 2.0 && woken.times() == 3);
}
