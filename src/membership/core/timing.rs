//! Intervals and timeouts of the core.

use std::time::Duration;

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of heartbeats to a monitored instance.
    pub heartbeat_interval: Duration,
    /// Interval of heartbeats to an instance that is down, and between relays.
    pub slow_heartbeat_interval: Duration,
    /// Time without a response after which an instance is accused.
    pub failure_timeout: Duration,
    /// Interval of accusations of the same instance.
    pub accusation_interval: Duration,
    /// Validity of an accusation.
    pub accusation_ttl: Duration,
    /// Minimum time between two batches of news.
    pub flush_interval: Duration,
    /// Gap between two ticks that shows that this process was paused.
    pub pause_threshold: Duration,
    /// Minimum time between two re-announcements of this node.
    pub reannounce_interval_min: Duration,
    /// Time without contact to a peer after which this node watches the store.
    pub isolation_timeout: Duration,
    /// Interval of attempts to join.
    pub join_interval: Duration,
    /// Timeout of a request to a peer.
    pub request_timeout: Duration,
    /// Interval of the removal of expired entries.
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
