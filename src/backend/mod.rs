//! The backend server beside this node.
//!
//! [`Client`] is the only way to it. Connecting and sending are two steps, so
//! that a refused connection is still "not run". [`Executor`] is the gate's side
//! of a call: it checks the plan, asks for admission, and only then sends.

mod answer;
mod client;
mod current;
mod executor;
mod http;
mod job;
mod pool;
pub mod registry;
mod rule;
mod watch;

pub use client::{Client, Connection, Failure, Unreachable};
pub use current::{Current, Server};
pub use executor::Executor;
pub use http::{Http, Settings};
pub use job::{Job, Outcome, Progress};
pub(crate) use rule::{contains_region, find_tenant};
pub use watch::{Watch, watch};
