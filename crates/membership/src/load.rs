//! What members tell of how busy they are. It changes too often to be part of who a member is.

use crate::member::{Name, LONGEST_NAME, MOST};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// One member's word on its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Word {
    pub name: Name,
    pub number: u64,
    /// Grows with each word.
    pub sequence: u32,
    /// Parts of a thousand of what it can bear.
    pub load: u16,
}

impl Word {
    fn newer(&self, than: &Word) -> bool {
        (self.number, self.sequence) > (than.number, than.sequence)
    }
}

/// By which a later word takes the place of an earlier one on its way.
pub(crate) struct Key(Word);

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        self.0.name == other.0.name && !other.0.newer(&self.0)
    }
}

/// The last word of each. The protocol holds one handle and who asks for loads another.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads(Rc<RefCell<BTreeMap<Name, Word>>>);

impl Loads {
    /// What a member last said.
    pub fn of(&self, name: &str) -> Option<u16> {
        self.0.borrow().get(name).map(|word| word.load)
    }
}

impl<T> BroadcastHandler<T> for Loads {
    type Key = Key;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _sender: Option<&T>) -> Result<Option<Key>, postcard::Error> {
        let word: Word = postcard::from_bytes(data)?;
        let mut words = self.0.borrow_mut();
        let known = words.get(&word.name);
        let room = known.is_some() || words.len() < MOST;
        if !room || word.name.len() > LONGEST_NAME || known.is_some_and(|known| !word.newer(known)) {
            return Ok(None);
        }
        words.insert(word.name.clone(), word.clone());
        Ok(Some(Key(word)))
    }
}
