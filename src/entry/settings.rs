//! Limits on callers.

use std::time::Duration;

/// What callers may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    pub keys_after: Duration,
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
            keys_after: Duration::ZERO,
        }
    }
}
