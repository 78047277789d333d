//! Connections of clients and the requests read from them.

pub mod connections;
pub mod request;
