//! Intervals and timeouts of the core.

use std::time::Duration;

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats to an instance that is monitored.
    pub heartbeat_interval: Duration,
    /// Between two heartbeats to an instance that is down, and between relays.
    pub slow_heartbeat_interval: Duration,
    /// Without an answer for so long, an instance is accused.
    pub failure_timeout: Duration,
    /// Between two accusations of the same instance.
    pub accusation_interval: Duration,
    /// An accusation counts for so long.
    pub accusation_ttl: Duration,
    /// Between two batches of news.
    pub flush_interval: Duration,
    /// A gap between two ticks that says that the node itself has stood still.
    pub pause_threshold: Duration,
    /// Between two announcements of the node itself.
    pub reannounce_interval_min: Duration,
    /// Having heard no peer for so long, the node turns to the store.
    pub isolation_timeout: Duration,
    /// Between two attempts to join.
    pub join_interval: Duration,
    /// A question to a peer counts as unanswered after this.
    pub request_timeout: Duration,
    /// Between two looks for entries whose time has passed.
    pub prune_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(300),
            slow_heartbeat_interval: Duration::from_secs(1),
            failure_timeout: Duration::from_millis(600),
            accusation_interval: Duration::from_millis(200),
            accusation_ttl: Duration::from_secs(2),
            flush_interval: Duration::from_millis(50),
            pause_threshold: Duration::from_millis(250),
            reannounce_interval_min: Duration::from_secs(1),
            isolation_timeout: Duration::from_secs(3),
            join_interval: Duration::from_secs(1),
            request_timeout: Duration::from_secs(2),
            prune_interval: Duration::from_secs(1),
        }
    }
}
