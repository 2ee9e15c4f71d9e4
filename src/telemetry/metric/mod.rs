//! Metrics by `cadence`, as statsd lines over UDP.
//!
//! Lines are queued and buffered. With no collector in the settings nothing is
//! formatted; with a dead one, lines are dropped and nobody waits.

mod name;
mod scrape;
#[cfg(test)]
mod tests;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, Histogrammed, MetricBuilder, MetricSink,
    QueuingMetricSink, StatsdClient,
};

use super::log::Identity;

pub use name::{Name, Unit};
pub use scrape::{Scrape, text_name};

/// Lines that wait for the collector at most.
const QUEUE_LEN: usize = 8_192;

/// Start of every metric name.
pub const PREFIX: &str = "monsooncove";

/// One tag of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tag<'a> {
    /// Key, as listed by [`Name::tags`].
    pub key: &'static str,
    /// Value; a name from the plan or a fixed word, never request data.
    pub value: &'a str,
}

/// Shorthand for a [`Tag`].
#[must_use]
pub const fn tag<'a>(key: &'static str, value: &'a str) -> Tag<'a> {
    Tag { key, value }
}

/// Sends metrics, or drops them when no collector is set.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
    scrape: Option<Arc<Scrape>>,
}

impl Metrics {
    /// Metrics that go nowhere.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// Metrics that go to the collector at `address`.
    ///
    /// # Errors
    ///
    /// Fails when no UDP socket can be opened.
    pub fn to(address: SocketAddr, identity: &Identity) -> crate::Result<Self> {
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let buffered = BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| crate::Error::Metrics(error.to_string()))?;
        let sink = QueuingMetricSink::with_capacity(buffered, QUEUE_LEN);
        Ok(Self::with_sink(sink, identity))
    }

    /// Metrics that go to `sink`.
    pub fn with_sink<S>(sink: S, identity: &Identity) -> Self
    where
        S: MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    {
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("instance", &identity.instance)
            .with_tag("zone", &identity.zone)
            .with_error_handler(|_| ())
            .build();
        Self {
            client: Some(Arc::new(client)),
            scrape: None,
        }
    }

    /// Metrics that are kept in `scrape` until they are fetched.
    #[must_use]
    pub fn kept(scrape: Arc<Scrape>) -> Self {
        Self {
            client: None,
            scrape: Some(scrape),
        }
    }

    /// Whether anything is sent at all.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.client.is_some() || self.scrape.is_some()
    }

    /// Adds `count` to a counter.
    pub fn count(&self, name: Name, count: u64, tags: &[Tag]) {
        if let Some(client) = &self.client {
            let signed = i64::try_from(count).unwrap_or(i64::MAX);
            send(client.count_with_tags(name.as_str(), signed), tags);
        }
        if let Some(scrape) = &self.scrape {
            scrape.count(name, count, tags);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: Name, value: u64, tags: &[Tag]) {
        if let Some(client) = &self.client {
            send(client.gauge_with_tags(name.as_str(), value), tags);
        }
        if let Some(scrape) = &self.scrape {
            scrape.gauge(name, value, tags);
        }
    }

    /// Adds a duration to a histogram, in whole microseconds.
    pub fn time(&self, name: Name, duration: Duration, tags: &[Tag]) {
        if let Some(client) = &self.client {
            let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            send(client.histogram_with_tags(name.as_str(), micros), tags);
        }
        if let Some(scrape) = &self.scrape {
            scrape.time(name, duration, tags);
        }
    }
}

fn send<'a, T>(mut builder: MetricBuilder<'a, '_, T>, tags: &[Tag<'a>])
where
    T: cadence::Metric + From<String>,
{
    for tag in tags {
        builder = builder.with_tag(tag.key, tag.value);
    }
    builder.send();
}
