//! Traces: one span for each hop of a call, sent over OTLP/HTTP.
//!
//! Off by default. A hop is recorded when it has ended; it is sent if its trace
//! is sampled, or if the hop failed. Spans carry names from the plan and fixed
//! words, never anything of a request. A node sends them only to the collector
//! in its settings.

mod export;
mod hop;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{BatchSpanProcessor, SpanExporter, SpanProcessor};

use super::log::Identity;

pub use hop::{Fact, Hop, Kind};

/// Longest wait for the collector at the end of a node.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends finished hops, or does nothing when no collector is set.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    batch: Option<Arc<BatchSpanProcessor>>,
}

impl Tracer {
    /// A tracer that sends nothing.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// A tracer that sends to the collector at `address`.
    ///
    /// Call it inside the runtime that is to carry the requests.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be built.
    pub fn to(address: SocketAddr, identity: &Identity) -> crate::Result<Self> {
        let exporter = export::build(address)?;
        Ok(Self::with_exporter(exporter, identity))
    }

    /// A tracer that hands its spans to `exporter`.
    pub fn with_exporter<E: SpanExporter + 'static>(exporter: E, identity: &Identity) -> Self {
        let resource = Resource::builder()
            .with_service_name("monsooncove-node")
            .with_attribute(KeyValue::new("instance", identity.instance.clone()))
            .with_attribute(KeyValue::new("availability_zone", identity.zone.clone()))
            .build();
        let mut batch = BatchSpanProcessor::builder(exporter).build();
        batch.set_resource(&resource);
        Self {
            batch: Some(Arc::new(batch)),
        }
    }

    /// Whether anything is sent at all.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.batch.is_some()
    }

    /// Sends `hop` if its trace is sampled or it failed.
    pub fn record(&self, hop: Hop) {
        if let Some(batch) = &self.batch
            && (hop.sampled || hop.failure.is_some())
        {
            batch.on_end(hop.into_span());
        }
    }

    /// Sends what is left, for a bounded time.
    pub fn shutdown(&self) {
        if let Some(batch) = &self.batch {
            // A collector that is gone is no reason to hold up the end.
            let _ = batch.shutdown_with_timeout(FLUSH_TIMEOUT);
        }
    }
}
