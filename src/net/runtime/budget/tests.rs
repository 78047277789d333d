//! Unit tests of `budget.rs`.

use super::*;
use proptest::prelude::*;

/// Guards the parsing of the timeout header: an invalid value yields no budget, and a budget never exceeds the limit of
/// the class.
#[test]
fn an_invalid_timeout_yields_no_budget_and_a_long_one_is_clamped_to_the_class() {
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

/// Guards against sending a backend a timeout beyond the remaining time, or a zero that it could interpret as no
/// timeout.
#[test]
fn the_timeout_sent_to_a_backend_is_the_remaining_time_less_the_response_delay() {
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
    /// Guards the invariant of budgets: everything that is derived from a budget, in any order, ends within the budget.
    #[test]
    fn nothing_derived_from_a_budget_outlives_it(
        requested in 0.001f64..80.0, started_at in 0.0f64..1e12, class_limit in 1.0f64..10_000.0,
        after in -1e4f64..1e5, limit in proptest::option::of(-10.0f64..1e6), wait in -10.0f64..1e6,
        stop in -1e4f64..1e5,
    ) {
        let now = started_at + after;
        if let Some(budget) = Budget::from_header(&requested.to_string(), started_at, class_limit) {
            prop_assert!(budget.end() <= started_at + class_limit && budget.remaining(now) >= 0.0);
            let capped = budget.capped_at(started_at + stop);
            prop_assert!(capped.end() <= budget.end() && capped.end() <= started_at + stop);
            if let Some(deadline) = capped.attempt_deadline(now, limit) {
                prop_assert!(deadline.end() <= capped.end() && deadline.end() > now);
                prop_assert!(limit.is_none_or(|limit| deadline.end() <= now + limit));
                let waited = deadline.wait(now, wait);
                prop_assert!(waited >= 0.0 && now + waited <= capped.end() * (1.0 + 1e-12));
                let sent: f64 = deadline.header_value(now, 0.0).parse().unwrap();
                prop_assert!(sent <= 0.001 || 1000.0 * sent <= deadline.end() - now);
            }
        }
    }
}
