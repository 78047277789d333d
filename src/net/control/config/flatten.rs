//! Converts nested JSON settings to the `path=value` lines that the simulator sends, so that one parser handles both.
//!
//! The keys of nested objects are joined by dots. A list of objects becomes one entry for each index and an entry
//! `count`. A list of scalars is joined by commas. Null values are omitted.

use cometspool::settings;
use serde_json::Value;

/// Converts the settings to lines. Each line ends with a line feed.
pub(super) fn to_lines(settings: &Value) -> String {
    let mut lines = String::new();
    push_value("", settings, &mut lines);
    lines
}

fn push_value(path: &str, value: &Value, lines: &mut String) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                push_value(&join(path, key), value, lines);
            }
        }
        Value::Array(items) if items.iter().any(is_nested) => {
            push_line(&join(path, "count"), &items.len().to_string(), lines);
            for (index, item) in items.iter().enumerate() {
                push_value(&join(path, &index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().filter_map(scalar_text).collect();
            push_line(path, &texts.join(","), lines);
        }
        scalar => {
            if let Some(text) = scalar_text(scalar) {
                push_line(path, &text, lines);
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn is_nested(value: &Value) -> bool {
    value.is_object() || value.is_array()
}

fn push_line(path: &str, text: &str, lines: &mut String) {
    lines.push_str(path);
    lines.push('=');
    lines.push_str(text);
    lines.push('\n');
}

/// The text of a scalar value; `None` for null, lists and objects.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(settings::normalize_name(text)),
        Value::Bool(_) | Value::Number(_) => Some(value.to_string()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}

#[cfg(test)]
mod tests;
