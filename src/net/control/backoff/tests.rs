//! Unit tests of `backoff.rs`.

use super::*;
use crate::net::control::discovery::MAX_BACKOFF;

/// Size of the fleet in `busiest_tenth`, in gateways.
const FLEET: u64 = 100;
/// Size of the largest fleet whose windows are not capped by [`MAX_BACKOFF`], in gateways.
const UNCAPPED_FLEET: u32 = 36;
/// Mean pause as a fraction of its window.
const MEAN_PAUSE_FRACTION: f64 = 0.625;

/// The maximum number of calls within one tenth of a second if the calls of every gateway are rejected from the same
/// instant on.
fn busiest_tenth(from: Duration, to: Duration) -> usize {
    let mut tenths = vec![0; 600];
    for gateway in 0..FLEET {
        let mut backoff = Backoff::new(FLEET as u32, gateway);
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

/// Guards against gateways that retry in step, and against retries that keep a service overloaded, after an entire
/// fleet has lost the service at the same instant.
#[test]
fn a_fleet_that_fails_together_does_not_retry_in_step() {
    let first = busiest_tenth(Duration::ZERO, Duration::from_secs(2));
    assert!(
        first <= 9,
        "{first} of {FLEET} called within a tenth of a second"
    );
    let later = busiest_tenth(Duration::from_secs(12), Duration::from_secs(40));
    assert!(
        later <= 6,
        "{later} of {FLEET} still call within a tenth of a second"
    );
}

/// Guards against a small fleet pausing as long as a large one, and against a long pause when the service is not
/// overloaded.
#[test]
fn the_pause_after_a_failure_is_short_for_any_fleet() {
    let mut alone = Backoff::new(1, 7);
    let mut many = Backoff::new(100, 7);
    assert!(alone.after_rejection(Duration::MAX) <= BASE_WINDOW);
    assert!((0..100)
        .map(|_| many.after_failure())
        .all(|pause| pause > Duration::ZERO && pause <= BASE_WINDOW));
}

/// Guards against a gateway that is without a list for long after many rejections.
#[test]
fn the_pause_after_rejections_is_bounded_and_reset_by_an_answer() {
    let mut backoff = Backoff::new(100, 3);
    let pauses: Vec<Duration> = (0..100)
        .map(|_| backoff.after_rejection(Duration::MAX))
        .collect();
    assert!(pauses
        .iter()
        .all(|pause| *pause > Duration::ZERO && *pause <= backoff.max_window()));
    assert!(pauses.iter().any(|pause| *pause > backoff.initial_window()));
    backoff.reset();
    assert!(backoff.after_rejection(Duration::MAX) <= backoff.initial_window());
}

/// Guards against windows that ignore the reported fleet size: the pauses must be those of a fleet configured with it.
#[test]
fn windows_follow_the_reported_fleet_size() {
    let mut configured = Backoff::new(300, 9);
    let mut reported = Backoff::new(3, 9);
    reported.fleet_size().set(300);
    for _ in 0..6 {
        assert_eq!(
            configured.after_rejection(Duration::MAX),
            reported.after_rejection(Duration::MAX)
        );
    }
}

/// The number of calls in each tenth of a second, for a fleet whose calls are all rejected from the same instant on.
fn calls_in_time(fleet: u32, tenths: usize) -> Vec<usize> {
    let mut calls = vec![0; tenths];
    for gateway in 0..fleet {
        let mut backoff = Backoff::new(fleet, u64::from(gateway));
        let mut at = backoff.after_rejection(MAX_BACKOFF);
        while let Some(tenth) = calls.get_mut((at.as_millis() / 100) as usize) {
            *tenth += 1;
            at += backoff.after_rejection(MAX_BACKOFF);
        }
    }
    calls
}

/// Guards against retries in step when the update deadline caps the windows. Up to 36 gateways stay within the bounds
/// of an uncapped window. In a larger fleet, each gateway calls no more often than the longest pause implies, and no
/// tenth of a second has more calls than independent calls would produce by chance.
#[test]
fn a_fleet_whose_windows_are_capped_does_not_retry_in_step() {
    for fleet in [1, 36, 100, 300, 790] {
        let calls = calls_in_time(fleet, 400);
        let mean = f64::from(fleet) / (MAX_BACKOFF.as_secs_f64() * 10.0 * MEAN_PAUSE_FRACTION);
        // Independent calls stay within four standard deviations of their mean.
        let independent = (mean + 4.0 * mean.sqrt()) as usize;
        let is_uncapped = fleet <= UNCAPPED_FLEET;
        let most_at_first = if is_uncapped { 9 } else { independent };
        let most_later = if is_uncapped { 6 } else { independent };
        let first = busiest(&calls[..60]);
        assert!(
            first <= most_at_first,
            "{first} of {fleet} called within a tenth of a second"
        );
        let later = &calls[120..];
        assert!(
            busiest(later) <= most_later,
            "{} of {fleet} within a tenth of a second",
            busiest(later)
        );
        let called = later.iter().sum::<usize>() as f64 / later.len() as f64;
        assert!(
            is_uncapped || called <= mean * 1.1,
            "{called} of {fleet} in a tenth of a second"
        );
    }
}

fn busiest(calls: &[usize]) -> usize {
    calls.iter().copied().max().unwrap_or(0)
}

/// Guards against a pause beyond the caller's maximum, whatever the fleet size and the number of rejections. A maximum
/// below the shortest window yields a pause of at most the shortest window.
#[test]
fn no_pause_exceeds_the_maximum_of_its_caller() {
    for fleet in [1, 36, 100, 300, 790, u32::MAX] {
        let mut backoff = Backoff::new(fleet, 11);
        let pauses: Vec<Duration> = (0..100)
            .map(|_| backoff.after_rejection(MAX_BACKOFF))
            .collect();
        assert!(pauses
            .iter()
            .all(|pause| *pause > Duration::ZERO && *pause <= MAX_BACKOFF));
        assert!((0..100).all(|_| backoff.after_rejection(Duration::ZERO) <= BASE_WINDOW));
    }
}
