//! Optional terms of routes, services and callers.
//!
//! A plan that does not state them gets the defaults, which change nothing.

use std::time::Duration;

use super::key;

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the head of a request.
    pub max_head_bytes: usize,
    /// Bytes of the body of a request.
    pub max_body_bytes: u64,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time a connection may be idle.
    pub idle_timeout: Duration,
}

/// How far a call of one route may go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Backend servers that one call may be sent to; as the entry allows when absent.
    pub attempts: Option<u32>,
    /// Time within which an answer has its full worth.
    pub objective: Option<Duration>,
    /// Services that share the calls; the route's own service when empty.
    pub targets: Vec<Target>,
    /// Whether calls need no API key.
    pub open: bool,
}

/// Calls that all nodes together may run for one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls a second over time.
    pub per_s: f64,
    /// Calls beyond that at once.
    pub burst: f64,
}

/// One of several services that share the calls of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service called.
    pub service: key::Service,
    /// Share of the calls, relative to the other targets.
    pub weight: u32,
}

/// How the backend servers of one service are looked after.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Upkeep {
    /// Path of the health endpoint, where it is not the usual one.
    pub health_path: Option<String>,
    /// Connections that one backend server accepts.
    pub max_connections: Option<u32>,
    /// Calls a second that a cold backend server can bear; unbounded when absent.
    pub cold_per_s: Option<u32>,
    /// Time for which a backend server is cold after its start.
    pub cold_time: Option<Duration>,
}
