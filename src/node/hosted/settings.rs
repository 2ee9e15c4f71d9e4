//! Settings of a hosted node, with what fits shared machines of a platform.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::backend::registry;
use crate::membership::direct;
use crate::node::Tuning;
use crate::routing::{self, Location};
use crate::{backend, coordination, entry, gate, peer};

/// What such a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the node runs.
    pub location: Location,
    /// Service beside the node.
    pub service: String,
    /// The backend server.
    pub backend_server: SocketAddr,
    /// Where callers are accepted.
    pub caller_listen: SocketAddr,
    /// Where calls from other nodes are accepted.
    pub peer_listen: SocketAddr,
    /// Where the backend server reports.
    pub report_listen: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are fetched, when they are.
    pub metrics_listen: Option<SocketAddr>,
    /// Lines below this level are not logged.
    pub log_level: log::LevelFilter,
    /// Time in which callers are answered and sent elsewhere before the node
    /// closes its address.
    pub linger: Duration,
    /// Longest time from the order to stop to the end.
    pub grace: Duration,
    /// Seed of routing decisions.
    pub seed: u64,
    /// How the backend server is looked after.
    pub registry: registry::Settings,
    /// Connections to the backend server.
    pub backend: backend::Settings,
    /// How the node follows the store.
    pub membership: direct::Settings,
    /// Settings of what nodes coordinate.
    pub coordination: coordination::Settings,
    /// Settings of the slices on the data path.
    pub tuning: Tuning,
}

/// Share of a platform's grace in which calls are finished; the rest covers the end of the process.
const GRACE_SHARE: f64 = 0.9;
/// Share of the grace after which callers are no longer accepted, at the latest.
const LINGER_SHARE: f64 = 0.4;

/// An address that nobody listens at.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Settings {
    /// The same for a platform that ends the process `grace` after its order to stop.
    #[must_use]
    pub fn with_grace(self, grace: Duration) -> Self {
        Self {
            linger: self.linger.min(grace.mul_f64(LINGER_SHARE)),
            grace: grace.mul_f64(GRACE_SHARE),
            ..self
        }
    }
}

impl Settings {
    /// The same with hedged requests limited to `percent` of the calls of each service, within the
    /// bound of the platform on calls beyond the first; zero disables them.
    #[must_use]
    pub fn with_hedge_percent(mut self, percent: f64) -> Self {
        let ratio = (percent / 100.0).max(0.0);
        let tuning = &mut self.tuning;
        tuning.routing.hedge_ratio = tuning.routing.hedge_ratio.min(ratio);
        if ratio == 0.0 {
            tuning.entry.hedge_after_share = 0.0;
        }
        self
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            location: Location::default(),
            service: String::new(),
            backend_server: NOWHERE,
            caller_listen: NOWHERE,
            peer_listen: NOWHERE,
            report_listen: NOWHERE,
            ready_listen: NOWHERE,
            metrics_listen: None,
            log_level: log::LevelFilter::Info,
            linger: Duration::from_millis(2_300),
            grace: Duration::from_millis(5_400),
            seed: 0,
            registry: registry::Settings {
                gate: gate(),
                ..registry::Settings::default()
            },
            backend: backend::Settings {
                connect_timeout: Duration::from_millis(300),
                max_idle: Duration::from_secs(6),
                max_idle_fresh: Duration::from_secs(4),
                ..backend::Settings::default()
            },
            membership: direct::Settings::default(),
            coordination: coordination::Settings::default(),
            tuning: tuning(),
        }
    }
}

/// The backend servers state their slots and their coldness, and differ in the
/// work of their calls, so neither is learned from the time of answers.
fn gate() -> gate::Settings {
    gate::Settings {
        max_utilization: 0.8,
        queue_capacity: 128,
        late_queue_timeout: Duration::from_millis(150),
        initial_service_time: Duration::from_millis(100),
        slow_ratio: f64::INFINITY,
        backoff_max: Duration::from_secs(1),
        ..gate::Settings::default()
    }
}

fn tuning() -> Tuning {
    Tuning {
        entry: entry::Settings {
            idempotency_key_delay: None,
            forwards_to_home_region: true,
            refusals_skip_retry_budget: true,
            caller_transit_time: Duration::from_millis(16),
            estimates_call_age: true,
            retry_after: Duration::from_millis(100),
            retry_after_min: Duration::from_millis(20),
            retry_after_max: Duration::from_millis(300),
            retry_jitter_share: 0.25,
            hedge_after_share: 0.5,
            buffered_response_bytes: 64 * 1024,
            ..entry::Settings::default()
        },
        peer: peer::Settings {
            connect_timeout: Duration::from_millis(300),
            ping_interval: Duration::from_millis(300),
            ping_timeout: Duration::from_millis(900),
            ..peer::Settings::default()
        },
        routing: routing::Settings {
            initial_service_time: Duration::from_millis(100),
            service_time_half_life: Duration::from_millis(300),
            recall_min_tokens: f64::INFINITY,
            retry_ratio: 0.06,
            retry_burst: 2.0,
            retry_floor_per_s: 0.0,
            queue_timeout_max: Duration::from_millis(200),
            remote_penalty: Duration::from_millis(80),
            lateness_penalty: Duration::from_millis(300),
            hedge_ratio: 0.06,
            hedge_burst: 1.0,
            load_half_life: 2.0,
            ..routing::Settings::default()
        },
        follows_loads: true,
    }
}
