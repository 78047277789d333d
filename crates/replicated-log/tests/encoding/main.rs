//! The exact bytes of every form that is stored or sent. Postcard encodes by the order of fields
//! and variants and keeps no names, so any change of that order shows here, and a change of names
//! does not.

mod agreement;
mod fixtures;
mod messages;
mod stored;
