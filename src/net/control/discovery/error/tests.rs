//! Unit tests of `error.rs`.

use super::*;

fn invalid_list() -> serde_json::Error {
    serde_json::from_str::<u64>("{").unwrap_err()
}

/// The log of a gateway shows these texts, and tools read them.
#[test]
fn each_error_has_its_fixed_text() {
    let io = std::io::Error::other("reset");
    let json = invalid_list().to_string();
    let texts = [
        (WatchError::Io(io), "reset"),
        (
            WatchError::Status(StatusCode::NOT_FOUND),
            "status 404 Not Found",
        ),
        (WatchError::ResponseTimeout, "no answer in time"),
        (WatchError::Truncated, "an object that never ended"),
        (
            WatchError::InvalidList(invalid_list()),
            &format!("unreadable line: {json}"),
        ),
        (
            WatchError::Framing(FramingError::UnexpectedByte(b'<')),
            "unreadable line: no object begins with byte 60",
        ),
        (
            WatchError::Framing(FramingError::ObjectTooLarge),
            "an object of over 4194304 bytes",
        ),
        (
            WatchError::VersionRegressed {
                known: 9,
                received: 7,
            },
            "changes that lead back from version 9 to 7",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_has_its_fixed_text_and_is_resumed() {
    let never = std::future::pending::<()>();
    let elapsed = tokio::time::timeout(std::time::Duration::ZERO, never).await;
    let error = WatchError::from(elapsed.unwrap_err());
    assert_eq!(error.to_string(), "silent");
    assert!(!error.requires_full_list());
    assert_eq!(error.watch_end(), WatchEnd::Silent);
}

/// Guards an overloaded agent against requests for the full list, and a gateway against resuming a watch that cannot be
/// resumed.
#[test]
fn the_full_list_is_requested_only_where_the_watch_cannot_be_resumed() {
    for status in [429, 500, 503] {
        let error = WatchError::Status(StatusCode::from_u16(status).expect("a status"));
        assert!(!error.requires_full_list(), "{status}");
        assert_eq!(error.is_overload(), status != 500, "{status}");
    }
    for status in [400, 404, 410] {
        let error = WatchError::Status(StatusCode::from_u16(status).expect("a status"));
        assert!(error.requires_full_list(), "{status}");
        assert_eq!(error.watch_end(), WatchEnd::Failed);
    }
    assert!(!WatchError::ResponseTimeout.requires_full_list());
    assert!(WatchError::Truncated.requires_full_list());
    assert!(WatchError::InvalidList(invalid_list()).requires_full_list());
    assert!(WatchError::Framing(FramingError::ObjectTooLarge).requires_full_list());
}
