//! A member's name, with its hash.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::hash::Hasher;
use std::ops::Deref;
use std::sync::Arc;

/// A member's name. For each datagram, the protocol library compares the hash of the sender and of
/// every member in it with those of all known members, so the hash is computed once and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Arc<str>", into = "Arc<str>")]
pub struct Name {
    hash: u64,
    text: Arc<str>,
}

impl Name {
    /// The hash of the text, the same in every process.
    pub(crate) fn fnv_hash(&self) -> u64 {
        self.hash
    }
}

impl From<Arc<str>> for Name {
    fn from(text: Arc<str>) -> Name {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(text.as_bytes());
        Name {
            hash: hasher.finish(),
            text,
        }
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name::from(Arc::<str>::from(text))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Arc<str> {
        name.text
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

// Names are ordered by their text alone, so that every process lists them in the same order and a
// map with names as keys can be searched with a `&str`.
impl Ord for Name {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.text.cmp(&other.text)
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.text
    }
}
