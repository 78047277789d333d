//! The client side of the gateway: connections of clients, and the requests read from them.

pub(super) mod connections;
pub(super) mod request;
