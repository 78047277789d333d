//! Fault injection for gateways: a cluster of processes of the built program, stub
//! services around them, and proxies that inject faults into the links between them.
//!
//! [`Cluster`] starts all of these and records what happens in a [`history::History`]; [`check`] verifies that the
//! history breaks none of the rules. [`schedule`] describes a series of faults, generates one from a seed, runs it and
//! shrinks it. [`scripted_peers`] is for tests of a single gateway that control each of its peers message by message.
//!
//! `docs/FAULT_INJECTION.md` describes how to use this crate. Nothing in it is part of the product, and all traffic
//! stays on loopback.

#![forbid(unsafe_code)]

pub mod address_block;
pub mod check;
pub mod cluster;
pub mod cost;
mod gateway_client;
pub mod history;
pub mod link;
pub mod load_generator;
pub mod process;
pub mod proxy;
pub mod schedule;
pub mod scripted_peers;
pub mod stub_services;

pub use cluster::{Cluster, ClusterConfig};
