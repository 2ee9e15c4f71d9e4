//! A backend server with slots, cold start, drain and misleading endpoints.
//!
//! [`Server`] decides in virtual time and keeps the books ([`Checks`]);
//! [`serve`] puts HTTP around it. `POST /-/control` takes a [`Control`],
//! `GET /-/checks` answers [`Checks`], `GET /-/executions` the number of
//! executions per request id.

mod checks;
mod control;
mod http;
mod server;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use checks::{Checks, Executions};
pub use control::Control;
pub use http::serve;
pub use server::{Arrival, Server, State, Verdict};

/// How one backend server behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Region it runs in.
    pub region: String,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that may wait for a slot before it sheds.
    pub backlog: u32,
    /// Mean time one request runs.
    pub service_time: Duration,
    /// Spread of the service time, as a fraction of it.
    pub noise: f64,
    /// Requests in hand that a cold start bears.
    pub cold_allowance: u32,
    /// Length of a cold start.
    pub cold_time: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            region: String::new(),
            slots: 9,
            backlog: 18,
            service_time: Duration::from_millis(5),
            noise: 0.5,
            cold_allowance: 2,
            cold_time: Duration::from_secs(1),
            seed: 0,
        }
    }
}
