//! Unit tests of `backoff.rs`.

use super::*;
use crate::net::control::discovery::LONGEST_PAUSE;

const FLEET: u64 = 100;
/// The largest fleet whose windows are not cut by the longest pause.
const UNCUT_FLEET: u32 = 36;
/// Mean part of a window that a pause takes.
const MEAN_PART: f64 = 0.625;

/// Most calls that fall into one tenth of a second if every front door's call fails from the same instant on.
fn busiest_tenth(from: Duration, to: Duration) -> usize {
    let mut tenths = vec![0; 600];
    for door in 0..FLEET {
        let mut backoff = Backoff::new(FLEET as u32, door);
        let mut at = Duration::ZERO;
        while at < to {
            at += backoff.after_rejection(Duration::MAX);
            if at >= from {
                tenths[(at.as_millis() / 100) as usize] += 1;
            }
        }
    }
    tenths.into_iter().max().unwrap_or(0)
}

/// Guards a service that a whole fleet lost at the same instant against being asked by all in step, and
/// against being kept overbooked by the calls that it turned away.
#[test]
fn a_fleet_that_fails_in_step_does_not_ask_in_step() {
    let first = busiest_tenth(Duration::ZERO, Duration::from_secs(2));
    assert!(
        first <= 9,
        "{first} of {FLEET} asked within a tenth of a second"
    );
    let later = busiest_tenth(Duration::from_secs(12), Duration::from_secs(40));
    assert!(
        later <= 6,
        "{later} of {FLEET} still ask within a tenth of a second"
    );
}

/// Guards a small fleet against waiting for others that it does not have, and any against a long pause where
/// the service is not short of anything.
#[test]
fn what_was_lost_is_asked_for_again_soon() {
    let (mut alone, mut many) = (Backoff::new(1, 7), Backoff::new(100, 7));
    assert!(alone.after_rejection(Duration::MAX) <= SOON);
    assert!((0..100)
        .map(|_| many.after_failure())
        .all(|pause| pause > Duration::ZERO && pause <= SOON));
}

/// Guards a front door against going without a list for long, however often it was turned away.
#[test]
fn the_pause_is_bounded_and_short_again_after_an_answer() {
    let mut backoff = Backoff::new(100, 3);
    let pauses: Vec<Duration> = (0..100)
        .map(|_| backoff.after_rejection(Duration::MAX))
        .collect();
    assert!(pauses
        .iter()
        .all(|pause| *pause > Duration::ZERO && *pause <= backoff.most()));
    assert!(pauses.iter().any(|pause| *pause > backoff.first()));
    backoff.reset();
    assert!(backoff.after_rejection(Duration::MAX) <= backoff.first());
}

/// Guards a pace that follows the fleet's size: as if it had been told that size from the start.
#[test]
fn windows_follow_the_size_that_is_learnt() {
    let (mut told, mut learnt) = (Backoff::new(300, 9), Backoff::new(3, 9));
    learnt.fleet_size().set(300);
    for _ in 0..6 {
        assert_eq!(
            told.after_rejection(Duration::MAX),
            learnt.after_rejection(Duration::MAX)
        );
    }
}

/// Calls of a fleet all of whose calls are turned away from the same instant on, in each tenth of a second.
fn calls_in_time(fleet: u32, tenths: usize) -> Vec<usize> {
    let mut calls = vec![0; tenths];
    for door in 0..fleet {
        let mut backoff = Backoff::new(fleet, u64::from(door));
        let mut at = backoff.after_rejection(LONGEST_PAUSE);
        while let Some(tenth) = calls.get_mut((at.as_millis() / 100) as usize) {
            *tenth += 1;
            at += backoff.after_rejection(LONGEST_PAUSE);
        }
    }
    calls
}

/// Guards a service that a whole fleet lost against being asked in step where the time of the list cuts the windows: up to 36
/// front doors stay under the bounds of an uncut window, and beyond that each asks no more often than the longest pause
/// makes it, with no tenth of a second busier than chance has it.
#[test]
fn a_fleet_whose_windows_are_cut_does_not_ask_in_step() {
    for fleet in [1, 36, 100, 300, 790] {
        let calls = calls_in_time(fleet, 400);
        let mean = f64::from(fleet) / (LONGEST_PAUSE.as_secs_f64() * 10.0 * MEAN_PART);
        // Calls that know nothing of each other stay within four deviations of their mean.
        let unrelated = (mean + 4.0 * mean.sqrt()) as usize;
        let (most_at_first, most_later) = if fleet <= UNCUT_FLEET {
            (9, 6)
        } else {
            (unrelated, unrelated)
        };
        let first = busiest(&calls[..60]);
        assert!(
            first <= most_at_first,
            "{first} of {fleet} asked within a tenth of a second"
        );
        let later = &calls[120..];
        assert!(
            busiest(later) <= most_later,
            "{} of {fleet} within a tenth of a second",
            busiest(later)
        );
        let asked = later.iter().sum::<usize>() as f64 / later.len() as f64;
        assert!(
            fleet <= UNCUT_FLEET || asked <= mean * 1.1,
            "{asked} of {fleet} in a tenth of a second"
        );
    }
}

fn busiest(calls: &[usize]) -> usize {
    calls.iter().copied().max().unwrap_or(0)
}

/// Guards the longest pause: whatever the fleet and however often it was turned away, and what is too short to be drawn
/// from is a short pause.
#[test]
fn no_pause_is_longer_than_its_caller_allows() {
    for fleet in [1, 36, 100, 300, 790, u32::MAX] {
        let mut backoff = Backoff::new(fleet, 11);
        let pauses: Vec<Duration> = (0..100)
            .map(|_| backoff.after_rejection(LONGEST_PAUSE))
            .collect();
        assert!(pauses
            .iter()
            .all(|pause| *pause > Duration::ZERO && *pause <= LONGEST_PAUSE));
        assert!((0..100).all(|_| backoff.after_rejection(Duration::ZERO) <= SOON));
    }
}
