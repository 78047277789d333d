//! Unit tests of `backoff.rs`.

use super::*;

const FLEET: u64 = 100;

/// Most calls that fall into one tenth of a second if every front door's call fails from the same instant on.
fn busiest_tenth(from: Duration, to: Duration) -> usize {
    let mut tenths = vec![0; 600];
    for door in 0..FLEET {
        let mut backoff = Backoff::new(FLEET as u32, door);
        let mut at = Duration::ZERO;
        while at < to {
            at += backoff.turned_away();
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
    assert!(first <= 9, "{first} of {FLEET} asked within a tenth of a second");
    let later = busiest_tenth(Duration::from_secs(12), Duration::from_secs(40));
    assert!(later <= 6, "{later} of {FLEET} still ask within a tenth of a second");
}

/// Guards a small fleet against waiting for others that it does not have, and any against a long pause where
/// the service is not short of anything.
#[test]
fn what_was_lost_is_asked_for_again_soon() {
    let (mut alone, mut many) = (Backoff::new(1, 7), Backoff::new(100, 7));
    assert!(alone.turned_away() <= SOON);
    assert!((0..100).map(|_| many.lost()).all(|pause| pause > Duration::ZERO && pause <= SOON));
}

/// Guards a front door against going without a list for long, however often it was turned away.
#[test]
fn the_pause_is_bounded_and_short_again_after_an_answer() {
    let mut backoff = Backoff::new(100, 3);
    let pauses: Vec<Duration> = (0..100).map(|_| backoff.turned_away()).collect();
    assert!(pauses.iter().all(|pause| *pause > Duration::ZERO && *pause <= backoff.most()));
    assert!(pauses.iter().any(|pause| *pause > backoff.first()));
    backoff.answered();
    assert!(backoff.turned_away() <= backoff.first());
}

/// Guards a pace that follows the fleet's size: as if it had been told that size from the start.
#[test]
fn windows_follow_the_size_that_is_learnt() {
    let (mut told, mut learnt) = (Backoff::new(300, 9), Backoff::new(3, 9));
    learnt.gateways().set(300);
    for _ in 0..6 {
        assert_eq!(told.turned_away(), learnt.turned_away());
    }
}
