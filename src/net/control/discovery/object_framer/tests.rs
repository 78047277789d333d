//! Unit tests of `object_framer.rs`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards against objects that are lost or split because of their layout: every object, on one line or
    /// pretty-printed, with heartbeats in between, is returned complete and exactly once.
    #[test]
    fn objects_are_framed_completely_whatever_their_layout(
        texts in proptest::collection::vec("[ -~\n\"\\\\{}\\[\\]]{0,12}", 1..5), indented in any::<bool>(),
    ) {
        let values: Vec<serde_json::Value> =
            texts.iter().map(|text| serde_json::json!({text: [text, {"a": [{}]}]})).collect();
        let mut framer = ObjectFramer::default();
        let mut objects = Vec::<serde_json::Value>::new();
        let mut heartbeats = 0;
        for value in &values {
            let text = if indented { format!("{value:#}") } else { value.to_string() };
            for byte in format!("\n \r\n{text}\n").bytes() {
                match framer.push(byte).expect("well formed") {
                    FrameEvent::Incomplete => {}
                    FrameEvent::Heartbeat => heartbeats += 1,
                    FrameEvent::Object(object) => objects.push(serde_json::from_slice(&object).expect("JSON")),
                }
            }
        }
        prop_assert_eq!(objects, values);
        prop_assert!(framer.is_between_objects() && heartbeats == 3 * texts.len());
    }
}

#[test]
fn a_byte_that_opens_no_object_is_an_error() {
    let mut framer = ObjectFramer::default();
    assert_eq!(framer.push(b' '), Ok(FrameEvent::Incomplete));
    assert_eq!(framer.push(b'['), Err(FramingError::UnexpectedByte(b'[')));
}

/// Guards against unbounded memory use by an object that never ends.
#[test]
fn an_object_over_the_limit_is_an_error() {
    let mut framer = ObjectFramer::default();
    assert_eq!(framer.push(b'{'), Ok(FrameEvent::Incomplete));
    for _ in 1..MAX_OBJECT_BYTES {
        assert_eq!(framer.push(b' '), Ok(FrameEvent::Incomplete));
    }
    assert!(!framer.is_between_objects());
    assert_eq!(framer.push(b'}'), Err(FramingError::ObjectTooLarge));
}
