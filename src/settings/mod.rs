//! Settings of one node, checked before anything starts.
//!
//! [`Name`] lists every setting once; flags, environment variables, help and
//! the printed form all follow from it. [`check`] reads raw values and reports
//! all faults together.

mod check;
mod name;
mod print;
#[cfg(test)]
mod tests;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use check::{Fault, Faults, check};
pub use name::Name;
pub use print::Print;

/// Everything a node is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: String,
    /// Service of the backend server beside the node.
    pub service: String,
    /// Region the instance runs in.
    pub region: String,
    /// Availability zone the instance runs in.
    pub zone: String,
    /// Where callers are accepted.
    pub caller_listen: SocketAddr,
    /// Where calls from other nodes are accepted.
    pub peer_listen: SocketAddr,
    /// Where the control service is offered to other nodes.
    pub control_listen: SocketAddr,
    /// Address announced for callers, when it is not the bound one.
    pub caller_advertise: Option<SocketAddr>,
    /// Address announced for calls, when it is not the bound one.
    pub peer_advertise: Option<SocketAddr>,
    /// Address announced for control, when it is not the bound one.
    pub control_advertise: Option<SocketAddr>,
    /// The backend server.
    pub backend_server: SocketAddr,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// Control addresses of nodes to learn from when the store is down.
    pub join: Vec<SocketAddr>,
    /// Where statsd metrics are sent over UDP.
    pub statsd: Option<SocketAddr>,
    /// The OTLP/HTTP trace collector.
    pub otlp: Option<SocketAddr>,
    /// Traces kept out of 10,000 calls; failed calls are always kept.
    pub trace_per_10k: u32,
    /// Longest time a graceful shutdown may take.
    pub shutdown_grace: Duration,
    /// Lines below this level are not logged.
    pub log_level: log::LevelFilter,
    /// Shape of the log lines.
    pub log_format: LogFormat,
    /// Seed of the generator that routing decisions draw from.
    pub seed: u64,
}

/// Shape of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Loopback address with a port chosen by the system.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            service: String::new(),
            region: String::new(),
            zone: String::new(),
            caller_listen: ANY_LOOPBACK_PORT,
            peer_listen: ANY_LOOPBACK_PORT,
            control_listen: ANY_LOOPBACK_PORT,
            caller_advertise: None,
            peer_advertise: None,
            control_advertise: None,
            backend_server: ANY_LOOPBACK_PORT,
            store: ANY_LOOPBACK_PORT,
            join: Vec::new(),
            statsd: None,
            otlp: None,
            trace_per_10k: 0,
            shutdown_grace: Duration::from_secs(30),
            log_level: log::LevelFilter::Info,
            log_format: LogFormat::Text,
            seed: 0,
        }
    }
}
