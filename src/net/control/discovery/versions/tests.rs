//! Unit tests of `versions.rs`.

use super::*;

fn list(version: u64, is_full: bool) -> EndpointList {
    EndpointList {
        version,
        is_full,
        endpoints: Vec::new(),
    }
}

/// Guards the removal of an endpoint against the full list of an agent that lags, and a gateway against taking a new
/// numbering for an old list for good.
#[tokio::test(start_paused = true)]
async fn a_lower_version_is_stale_for_a_minute_and_current_after_it() {
    let mut versions = VersionTracker::new(Some(&list(9, true)));
    versions.require_full_list();
    tokio::time::advance(STALE_WINDOW - Duration::from_millis(1)).await;
    let update = versions.classify(&list(7, true)).expect("a list");
    assert_eq!(update, EndpointUpdate::Stale);
    versions.record(7, update);
    assert_eq!(versions.resume_from(), Some(7));
    // A stale list does not make the newest one any younger.
    tokio::time::advance(Duration::from_millis(1)).await;
    let update = versions.classify(&list(8, false)).expect("a list");
    assert_eq!(update, EndpointUpdate::Current);
}

#[tokio::test(start_paused = true)]
async fn changes_that_follow_an_earlier_version_are_an_error() {
    let mut versions = VersionTracker::new(Some(&list(9, true)));
    let error = versions.classify(&list(8, false)).unwrap_err();
    assert!(matches!(
        error,
        WatchError::VersionRegressed {
            known: 9,
            received: 8
        }
    ));
    let same = versions.classify(&list(9, false)).expect("a list");
    assert_eq!(same, EndpointUpdate::Current);
    // Without a version to resume from nothing is known that they could contradict.
    versions.require_full_list();
    let update = versions.classify(&list(8, false)).expect("a list");
    assert_eq!(update, EndpointUpdate::Stale);
}

#[tokio::test(start_paused = true)]
async fn a_gateway_without_a_cached_list_requests_the_full_one() {
    let mut versions = VersionTracker::new(None);
    assert_eq!(versions.resume_from(), None);
    let update = versions.classify(&list(3, true)).expect("a list");
    assert_eq!(update, EndpointUpdate::Current);
    versions.record(3, update);
    assert_eq!(versions.resume_from(), Some(3));
}
