//! Unit tests of `versions.rs`.

use super::*;

fn list(version: u64, is_full: bool) -> EndpointList {
    EndpointList {
        version,
        is_full,
        endpoints: Vec::new(),
    }
}

/// Guards against a lagging agent whose full list would undo the removal of an endpoint. Also guards against treating
/// lists as stale forever after discovery has restarted its version numbers.
#[tokio::test(start_paused = true)]
async fn a_lower_version_is_stale_for_a_minute_and_current_after_it() {
    let mut versions = VersionTracker::new(Some(&list(9, true)));
    versions.require_full_list();
    tokio::time::advance(STALE_WINDOW - Duration::from_millis(1)).await;
    let update = versions.classify(&list(7, true)).expect("a list");
    assert_eq!(update, EndpointUpdate::Stale);
    versions.record(7, update);
    assert_eq!(versions.resume_from(), Some(7));
    // A stale list does not extend the time for which lower versions count as stale.
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
    // Without a version to resume from there is no list that the changes could contradict.
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
