//! Limits on callers.

use std::time::Duration;

/// What callers may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Connections at the same time.
    pub max_connections: usize,
    /// Longest time for the head of a request; also how long an idle
    /// connection is kept.
    pub head_timeout: Duration,
    /// Bytes of the head of a request.
    pub max_head_bytes: usize,
    /// Header fields of a request.
    pub max_headers: usize,
    /// Streams on one HTTP/2 connection at the same time.
    pub max_streams: u32,
    /// Bytes in flight on one HTTP/2 stream.
    pub stream_window_bytes: u32,
    /// Bytes in flight on one HTTP/2 connection.
    pub connection_window_bytes: u32,
    /// Backend servers that one call may be sent to.
    pub max_attempts: u32,
    /// Time since the node's start before it takes calls with idempotency keys.
    /// Until nodes know each other, they would claim a key at different holders.
    pub idempotency_key_delay: Duration,
    /// Whether an entry outside the home regions of a call may send it there,
    /// instead of naming addresses to the caller.
    pub forwards_to_home_region: bool,
    /// Whether a refusal by a gate leaves the retry budget alone. Such a call
    /// has reached no backend server.
    pub refusals_skip_retry_budget: bool,
    /// Share of the objective after which an idempotent call without an answer is
    /// sent to a second backend server; none when zero.
    pub hedge_after_share: f64,
    /// Time that a request and its answer take between caller and entry; objectives
    /// are met by the caller's stopwatch.
    pub caller_transit_time: Duration,
    /// Whether a call with less time left than is usual on its route counts as
    /// one that has come back, whose objective is nearer.
    pub estimates_call_age: bool,
    /// When a caller whose call was refused may come back, where nothing else
    /// is known.
    pub retry_after: Duration,
    /// The same, where a backend server refused beside free ones.
    pub retry_after_min: Duration,
    /// Longest such time, where all backend servers are full.
    pub retry_after_max: Duration,
    /// Share of these times by which they are made shorter or longer at random.
    pub retry_jitter_share: f64,
    /// Bytes of an answer to an idempotent call that are read before its head
    /// is sent to the caller, so that a cut answer can be replaced.
    pub buffered_response_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            head_timeout: Duration::from_secs(30),
            max_head_bytes: 64 * 1024,
            max_headers: 100,
            max_streams: 128,
            stream_window_bytes: 256 * 1024,
            connection_window_bytes: 4 * 1024 * 1024,
            max_attempts: 4,
            idempotency_key_delay: Duration::ZERO,
            forwards_to_home_region: false,
            refusals_skip_retry_budget: false,
            hedge_after_share: 0.0,
            caller_transit_time: Duration::ZERO,
            estimates_call_age: false,
            retry_after: Duration::from_secs(1),
            retry_after_min: Duration::from_secs(1),
            retry_after_max: Duration::from_secs(1),
            retry_jitter_share: 0.0,
            buffered_response_bytes: 0,
        }
    }
}
