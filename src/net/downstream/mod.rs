//! The client side of the gateway: client connections, and the parsing of the requests that arrive on them.

pub(super) mod connections;
pub(super) mod request;
