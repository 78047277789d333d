//! Settings as a flat map from paths to text values, with typed access.

use super::SettingsError;
use std::collections::BTreeMap;
use std::error::Error;
use std::str::FromStr;

/// The text values of settings by path, such as `plans.0.per_second`.
pub(super) struct FlatSettings<'a> {
    texts: BTreeMap<&'a str, &'a str>,
}

impl<'a> FlatSettings<'a> {
    /// Splits `path=value` lines. Lines without `=` are ignored. If a path occurs several times, the last value counts.
    pub(super) fn from_lines(lines: &'a str) -> FlatSettings<'a> {
        let texts = lines
            .lines()
            .filter_map(|line| line.split_once('='))
            .collect();
        FlatSettings { texts }
    }

    /// Parses the value at `path`; returns `default` if there is none.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if the value does not parse as `T`.
    pub(super) fn get<T>(&self, path: &str, default: T) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Error + Send + Sync + 'static,
    {
        let Some(text) = self.texts.get(path) else {
            return Ok(default);
        };
        text.trim()
            .parse()
            .map_err(|source: T::Err| SettingsError::Unreadable {
                path: path.to_owned(),
                text: (*text).to_owned(),
                source: Box::new(source),
            })
    }

    /// Parses the number at `path`; returns `default` if there is none.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if the value is not a number, [`SettingsError::NotFinite`] if it is infinite or
    /// NaN.
    pub(super) fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        let value: f64 = self.get(path, default)?;
        if value.is_finite() {
            return Ok(value);
        }
        Err(SettingsError::NotFinite {
            path: path.to_owned(),
            value,
        })
    }

    /// The comma-separated words at `path`; empty if there is no value.
    pub(super) fn list(&self, path: &str) -> Vec<String> {
        self.text(path)
            .split(',')
            .filter(|word| !word.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// The value of `<list>.<index>.name` for each entry of a list; an empty string for an entry without a name.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if `<list>.count` does not parse as a 32-bit integer.
    pub(super) fn entry_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        // The names are read before the entries are parsed, so this is where a wrong count is found. The 32-bit type
        // limits what such a count can allocate.
        let count: i32 = self.get(&format!("{list}.count"), 0)?;
        let mut names = Vec::new();
        for index in 0..count {
            names.push(self.text(&format!("{list}.{index}.name")).to_owned());
        }
        Ok(names)
    }

    /// Maps the word at `path` to its value in `choices`; returns `default` if there is no word.
    ///
    /// # Errors
    /// [`SettingsError::UnknownChoice`] if `choices` does not contain the word.
    pub(super) fn choice<T: Copy>(
        &self,
        path: &str,
        default: T,
        choices: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        let Some(text) = self.texts.get(path) else {
            return Ok(default);
        };
        match choices.iter().find(|(word, _)| word == text) {
            Some((_, value)) => Ok(*value),
            None => Err(SettingsError::UnknownChoice {
                path: path.to_owned(),
                text: (*text).to_owned(),
            }),
        }
    }

    /// The text value at `path`; empty if there is none.
    fn text(&self, path: &str) -> &str {
        self.texts.get(path).copied().unwrap_or_default()
    }
}
