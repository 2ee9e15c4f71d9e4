//! Settings of links: timeouts, keep-alive pings, flow-control windows and limits.

use std::time::Duration;

/// Settings of links between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for opening a link, including the first ping.
    pub connect_timeout: Duration,
    /// Timeout for the HTTP/2 handshake of an accepted link, and for the first frame of a stream.
    pub open_timeout: Duration,
    /// Interval between pings on a link that carries calls.
    pub ping_interval: Duration,
    /// Timeout of a ping, after which the link counts as dead.
    pub ping_timeout: Duration,
    /// Initial flow-control window of a stream, in bytes.
    pub stream_window_bytes: u32,
    /// Initial flow-control window of a link, in bytes.
    pub link_window_bytes: u32,
    /// Maximum size of an HTTP/2 frame, in bytes.
    pub max_frame_bytes: u32,
    /// Maximum number of concurrent streams on one link.
    pub max_streams: u32,
    /// Maximum number of accepted links at the same time.
    pub max_links: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            open_timeout: Duration::from_secs(5),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(3),
            stream_window_bytes: 256 * 1024,
            link_window_bytes: 16 * 1024 * 1024,
            max_frame_bytes: 64 * 1024,
            max_streams: 256,
            max_links: 2048,
        }
    }
}
