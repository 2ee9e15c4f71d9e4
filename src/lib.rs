//! A distributed load balancer without a front tier, for servers whose load changes within
//! milliseconds.
//!
//! Every backend server has a node beside it. A node is the entry for callers,
//! the gate of its backend server and a peer of the other nodes. This library
//! contains the implementation; the binaries only read settings and start it.

#[cfg(test)]
#[macro_use]
mod cases;

pub mod acceptance;
pub mod backend;
pub mod bench;
pub mod call;
pub mod clock;
pub mod coordination;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod gate;
pub mod headers;
pub mod membership;
mod memory;
pub mod node;
pub mod peer;
pub mod plan;
pub mod quota;
pub mod reason;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod sheet;
pub mod standin;
pub mod store;
mod task;
pub mod telemetry;
mod token_bucket;

pub use error::{Error, Result};
pub use settings::Settings;
