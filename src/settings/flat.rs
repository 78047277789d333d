//! Settings as a flat map from paths to texts, and typed access to it.

use super::SettingsError;
use std::collections::BTreeMap;
use std::error::Error;
use std::str::FromStr;

/// Settings by path, such as `plans.0.per_second`.
pub(super) struct FlatSettings<'a> {
    texts: BTreeMap<&'a str, &'a str>,
}

impl<'a> FlatSettings<'a> {
    /// Splits `path=value` lines. Lines without `=` are ignored; of several with one path the last counts.
    pub(super) fn from_lines(lines: &'a str) -> FlatSettings<'a> {
        let texts = lines
            .lines()
            .filter_map(|line| line.split_once('='))
            .collect();
        FlatSettings { texts }
    }

    /// The value at `path`, or `default` if it is missing.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if it is not of the type.
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

    /// The finite number at `path`, or `default` if it is missing.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] or [`SettingsError::NotFinite`].
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

    /// The words at `path`, which commas separate; empty if it is missing.
    pub(super) fn list(&self, path: &str) -> Vec<String> {
        self.text(path)
            .split(',')
            .filter(|word| !word.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// The value of `<list>.<index>.name` for each entry of a list; empty where an entry has none.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] if `<list>.count` is no number of entries.
    pub(super) fn entry_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        // The names are collected before the entries are parsed: 32 bits bound what a wrong count allocates.
        let count: i32 = self.get(&format!("{list}.count"), 0)?;
        let mut names = Vec::new();
        for index in 0..count {
            names.push(self.text(&format!("{list}.{index}.name")).to_owned());
        }
        Ok(names)
    }

    /// The value that `choices` have for the word at `path`, or `default` if it is missing.
    ///
    /// # Errors
    /// [`SettingsError::UnknownChoice`] if the word is none of them.
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

    /// The text at `path`; empty if it is missing.
    fn text(&self, path: &str) -> &str {
        self.texts.get(path).copied().unwrap_or_default()
    }
}
