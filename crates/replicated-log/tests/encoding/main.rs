//! Tests the exact bytes of every stored or sent type. Postcard encodes fields and variants by
//! their order and without names, so these tests fail if the order changes and pass if only a name
//! changes.

mod agreement;
mod fixtures;
mod messages;
mod stored;
