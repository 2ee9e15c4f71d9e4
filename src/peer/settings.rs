//! Settings of links.

use std::time::Duration;

/// How links between nodes behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time a new link may take.
    pub connect_timeout: Duration,
    /// Longest time to the first frame of a stream.
    pub open_timeout: Duration,
    /// Time between two pings of a link with calls on it.
    pub ping_interval: Duration,
    /// Time without an answer to a ping after which a link is dead.
    pub ping_timeout: Duration,
    /// Bytes in flight on one stream.
    pub stream_window_bytes: u32,
    /// Bytes in flight on one link.
    pub link_window_bytes: u32,
    /// Bytes of the largest frame of h2.
    pub max_frame_bytes: u32,
    /// Streams on one link at the same time.
    pub max_streams: u32,
    /// Links that are accepted at the same time.
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
