//! Unit tests of `error.rs`.

use super::*;

fn invalid_list() -> serde_json::Error {
    serde_json::from_str::<u64>("{").unwrap_err()
}

/// Guards the messages in the log of a gateway, which tools match.
#[test]
fn each_error_has_its_fixed_message() {
    let io = std::io::Error::other("reset");
    let json = invalid_list().to_string();
    let texts = [
        (WatchError::Io(io), "reset"),
        (
            WatchError::Status(StatusCode::NOT_FOUND),
            "expected status 200 OK, got 404 Not Found",
        ),
        (
            WatchError::ResponseTimeout,
            "no response head within the response timeout",
        ),
        (
            WatchError::Truncated,
            "the response ended or fell silent within an object",
        ),
        (
            WatchError::InvalidList(invalid_list()),
            &format!("invalid endpoint list: {json}"),
        ),
        (
            WatchError::Framing(FramingError::UnexpectedByte(b'<')),
            "expected an opening brace or white space between objects, got byte 60",
        ),
        (
            WatchError::Framing(FramingError::ObjectTooLarge),
            "expected objects of at most 4194304 bytes, got a longer one",
        ),
        (
            WatchError::VersionRegressed {
                known: 9,
                received: 7,
            },
            "expected changes of version 9 or later, got version 7",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_has_its_fixed_message_and_is_resumed() {
    let never = std::future::pending::<()>();
    let elapsed = tokio::time::timeout(std::time::Duration::ZERO, never).await;
    let error = WatchError::from(elapsed.unwrap_err());
    assert_eq!(error.to_string(), "no object or heartbeat within 4.25s");
    assert!(!error.requires_full_list());
    assert_eq!(error.watch_end(), WatchEnd::Silent);
}

/// Guards against requesting the full list from an overloaded agent, and against resuming a watch that cannot be
/// resumed.
#[test]
fn the_full_list_is_requested_only_if_the_watch_cannot_be_resumed() {
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
