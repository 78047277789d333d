//! Unit tests of `discovery.rs`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards lists against their layout: whatever an object holds, in one line or indented over many, and with signs of
    /// life between, it comes out whole and once.
    #[test]
    fn objects_come_out_whole_however_they_are_laid_out(
        texts in proptest::collection::vec("[ -~\n\"\\\\{}\\[\\]]{0,12}", 1..5), indented in any::<bool>(),
    ) {
        let values: Vec<serde_json::Value> =
            texts.iter().map(|text| serde_json::json!({text: [text, {"a": [{}]}]})).collect();
        let mut objects = Objects::default();
        let (mut out, mut beats) = (Vec::<serde_json::Value>::new(), 0);
        for value in &values {
            let text = if indented { format!("{value:#}") } else { value.to_string() };
            for byte in format!("\n \r\n{text}\n").bytes() {
                match objects.push(byte).expect("well formed") {
                    Heard::Part => {}
                    Heard::Beat => beats += 1,
                    Heard::Object(object) => out.push(serde_json::from_slice(&object).expect("JSON")),
                }
            }
        }
        prop_assert_eq!(out, values);
        prop_assert!(objects.between() && beats == 3 * texts.len());
    }
}
