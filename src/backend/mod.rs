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
mod pool;
pub mod registry;
mod watch;

pub use client::{Client, Connection, Failure, Unreachable};
pub use current::{Current, Server};
pub use executor::{Executor, Job, Outcome, Progress};
pub(crate) use executor::{contains_region, find_tenant};
pub use http::{Http, Settings};
pub use watch::{Watch, watch};
