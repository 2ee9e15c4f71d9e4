//! Limits, retry behaviour and timeouts of an entry.

use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest number of concurrent connections; further ones are closed at once.
    pub max_connections: usize,
    /// Timeout for reading the head of a request; also the keep-alive timeout of idle connections.
    pub head_timeout: Duration,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest number of header fields in an HTTP/1 request.
    pub max_headers: usize,
    /// Largest number of concurrent streams on one HTTP/2 connection.
    pub max_streams: u32,
    /// Initial flow-control window of an HTTP/2 stream, in bytes.
    pub stream_window_bytes: u32,
    /// Initial flow-control window of an HTTP/2 connection, in bytes.
    pub connection_window_bytes: u32,
    /// Largest number of pipelined calls of one connection that are started before their turn. Zero
    /// serves pipelined requests one after the other.
    pub max_prefetched_calls: usize,
    /// Largest number of attempts of one call.
    pub max_attempts: u32,
    /// Time after the start of the node's clock during which calls with an idempotency key are
    /// refused. Until nodes know each other, they would claim a key at different holders. `None` if
    /// keys are not claimed, and forwarded like any other field.
    pub idempotency_key_delay: Option<Duration>,
    /// Whether an entry outside the home regions of a call forwards it there. If not, it refuses
    /// the call and gives the caller addresses in the home regions.
    pub forwards_to_home_region: bool,
    /// Whether a retry after a refusal by a gate takes no token from the retry budget. Such a call
    /// has not reached a backend server.
    pub refusals_skip_retry_budget: bool,
    /// Share of the response time objective after which a hedged request is sent for an idempotent
    /// call without a response. Zero disables hedged requests.
    pub hedge_after_share: f64,
    /// Network time of request and response together between caller and entry. It is subtracted
    /// from the objective, since callers measure response times at their own end.
    pub caller_transit_time: Duration,
    /// Whether a call with less time left than usual on its route is taken for a retry by the
    /// caller, whose objective is due earlier.
    pub estimates_call_age: bool,
    /// Retry-After of a refusal if no capacity is known; otherwise the least one, except for
    /// [`Self::retry_after_min`].
    pub retry_after: Duration,
    /// Retry-After of a call shed by a backend server while another one has capacity.
    pub retry_after_min: Duration,
    /// Longest Retry-After while all backend servers are full, before jitter.
    pub retry_after_max: Duration,
    /// Jitter of Retry-After: each delay is shortened or extended by up to this share of it.
    pub retry_jitter_share: f64,
    /// Largest response to an idempotent call, in bytes, that is buffered before its head is sent
    /// to the caller. A buffered response that breaks off or reports a server error can be
    /// replaced by that of another backend server. Zero disables buffering.
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
            max_prefetched_calls: 15,
            max_attempts: 4,
            idempotency_key_delay: Some(Duration::ZERO),
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
