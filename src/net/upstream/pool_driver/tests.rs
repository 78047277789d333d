//! Unit tests of the progress of requests: when a request counts as fully written.

use super::request_progress::RequestProgress;

const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards the distinction between the outcomes `ConnectFailed` and `Reset`, which depends on whether
/// the request was fully written: only its last byte completes a request, however the writes are
/// split.
#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let bytes = [HEAD, b"\r\n\r\nbody"].concat();
    for cut in 1..bytes.len() {
        let mut progress = RequestProgress::new(8);
        progress.record(&bytes[..cut]);
        assert!(!progress.is_complete(), "complete after {cut} bytes");
        progress.record(&bytes[cut..]);
        assert!(
            progress.is_complete(),
            "not complete when the writes are split after {cut} bytes"
        );
    }
}

/// Guards requests without a body: they are complete with the empty line after the head, even when
/// written byte by byte.
#[test]
fn a_request_without_a_body_is_complete_with_its_head() {
    let mut progress = RequestProgress::new(0);
    for byte in &HEAD[..HEAD.len() - 1] {
        progress.record(&[*byte]);
        assert!(!progress.is_complete());
    }
    progress.record(b"\n");
    assert!(progress.is_complete());
}
