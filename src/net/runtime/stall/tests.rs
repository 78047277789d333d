//! Unit tests of `stall.rs`.

use super::*;
use std::time::Duration;

fn monitor() -> StallMonitor {
    StallMonitor::new(WakeRecorder::new(), 1000.0)
}

fn wake_at(monitor: &StallMonitor, now: Millis) {
    monitor
        .wakes
        .record_wake_at(((now - 1000.0) * 1000.0) as u64);
}

/// Guards against a pause during a sleep that is not charged to the client. The pause ends that sleep, and the input is
/// visible only after the next one. Bytes read then count as arrived at the wake-up before the pause; bytes read later
/// are not charged.
#[test]
fn a_pause_during_a_sleep_is_charged_to_the_input_that_waited_through_it() {
    let monitor = monitor();
    wake_at(&monitor, 1101.0);
    monitor.timer_fired(1100.0, 1101.0);
    assert_eq!(monitor.arrival_time(1102.0), 1102.0);
    wake_at(&monitor, 3200.0);
    monitor.timer_fired(1200.0, 3200.0);
    monitor.timer_fired(3199.0, 3200.0);
    assert_eq!(monitor.arrival_time(3200.0), 1101.0);
    wake_at(&monitor, 3200.5);
    assert_eq!(
        [monitor.arrival_time(3201.0), monitor.arrival_time(3230.0)],
        [1101.0; 2]
    );
    wake_at(&monitor, 3231.0);
    assert_eq!(monitor.arrival_time(3240.0), 3240.0);
    assert_eq!(
        (monitor.take_longest_stall(), monitor.take_longest_stall()),
        (Some(2099.0), None)
    );
}

/// Guards against a pause between a timer and the next sleep that is not charged to the client. The next wake-up
/// delivers the timer and the bytes together. The bytes are charged whichever task runs first, even a later timer that
/// is on time.
#[test]
fn a_pause_between_two_sleeps_is_charged_whichever_task_runs_first() {
    for on_time_first in [false, true] {
        let monitor = monitor();
        wake_at(&monitor, 1100.0);
        monitor.timer_fired(1100.0, 1100.5);
        monitor.expect_timer(1200.0);
        wake_at(&monitor, 1900.0);
        if on_time_first {
            monitor.timer_fired(1895.0, 1900.0);
        }
        assert_eq!(monitor.arrival_time(1900.5), 1100.5);
    }
}

/// Guards against excessive charges in a loop that is too busy to sleep. The charge starts at the last timer that
/// fired, not at an old wake-up, and ends when timers are on time again.
#[test]
fn a_loop_that_never_sleeps_charges_only_its_stalls() {
    let monitor = monitor();
    monitor.timer_fired(5000.0, 5001.0);
    monitor.timer_fired(5100.0, 5180.0);
    assert_eq!(monitor.arrival_time(5181.0), 5001.0);
    monitor.timer_fired(5280.0, 5281.0);
    assert_eq!(monitor.arrival_time(5282.0), 5282.0);
}

/// Guards against charging the resolution of timers as a stall.
#[test]
fn a_timer_delay_within_the_tolerance_is_not_a_stall() {
    let monitor = monitor();
    monitor.timer_fired(1100.0, 1100.0 + TIMER_TOLERANCE);
    assert_eq!(monitor.arrival_time(1125.0), 1125.0);
}

/// Guards the times of the recorder: it reports the wake-up before the latest one, and the number of all wake-ups.
#[test]
fn the_recorder_reports_the_previous_wake_up_and_the_count() {
    let recorder = WakeRecorder::new();
    recorder.record_wake();
    std::thread::sleep(Duration::from_millis(2));
    recorder.record_wake();
    let first = recorder.previous_wake();
    recorder.record_wake();
    assert!(recorder.previous_wake() >= first + 2.0 && recorder.wake_count() == 3);
}
