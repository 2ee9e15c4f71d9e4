//! Traces: one span for each hop of a call, sent over OTLP/HTTP.
//!
//! Off by default; then headers pass untouched and nothing is recorded. When
//! on, a span is kept if its trace is sampled, or if the hop failed. Spans
//! carry names from the plan and fixed words, never anything of a request. A
//! node sends them only to the collector in its settings.

mod export;
mod keep;
mod sample;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{
    SpanBuilder, SpanContext, SpanKind, Status, TraceContextExt, Tracer as _, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HeaderExtractor, HeaderInjector};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanExporter};

use super::log::Identity;

pub use sample::Ratio;

/// Header that carries the trace context (W3C Trace Context).
pub const TRACEPARENT: &str = "traceparent";

/// Longest wait for the collector at the end of a node.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A part of a call's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From the caller's request to the end of its answer.
    Entry,
    /// Choice of a backend server, one attempt.
    Routing,
    /// The link to another node.
    Link,
    /// Admission by the gate.
    Gate,
    /// The backend server.
    BackendServer,
}

impl Hop {
    const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Routing => "routing",
            Self::Link => "link",
            Self::Gate => "gate",
            Self::BackendServer => "backend-server",
        }
    }

    const fn kind(self) -> SpanKind {
        match self {
            Self::Entry | Self::Gate => SpanKind::Server,
            Self::Routing => SpanKind::Internal,
            Self::Link | Self::BackendServer => SpanKind::Client,
        }
    }
}

/// Starts spans, or does nothing when no collector is set.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    inner: Option<Inner>,
}

#[derive(Clone, Debug)]
struct Inner {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// A tracer that records nothing.
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
    pub fn to(address: SocketAddr, identity: &Identity, ratio: Ratio) -> crate::Result<Self> {
        let exporter = export::build(address)?;
        Ok(Self::with_exporter(exporter, identity, ratio))
    }

    /// A tracer that hands its spans to `exporter`.
    pub fn with_exporter<E>(exporter: E, identity: &Identity, ratio: Ratio) -> Self
    where
        E: SpanExporter + 'static,
    {
        let resource = Resource::builder()
            .with_service_name("monsooncove-node")
            .with_attribute(KeyValue::new("instance", identity.instance.clone()))
            .with_attribute(KeyValue::new("availability_zone", identity.zone.clone()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_sampler(ratio)
            .with_span_processor(keep::Processor::new(exporter))
            .build();
        let tracer = provider.tracer("monsooncove");
        Self {
            inner: Some(Inner { provider, tracer }),
        }
    }

    /// Whether spans are recorded.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.inner.is_some()
    }

    /// Starts the span of a hop below the context that `headers` carry.
    #[must_use]
    pub fn start(&self, hop: Hop, headers: &HeaderMap) -> Span {
        let Some(inner) = &self.inner else {
            return Span::default();
        };
        let extractor = HeaderExtractor(headers);
        let parent =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &extractor);
        inner.start(hop, &parent)
    }

    /// Starts the span of a hop below another span of this process.
    #[must_use]
    pub fn start_below(&self, hop: Hop, parent: &Span) -> Span {
        match (&self.inner, &parent.context) {
            (Some(inner), Some(context)) => inner.start(hop, context),
            _ => Span::default(),
        }
    }

    /// Sends what is left, for a bounded time.
    pub fn shutdown(&self) {
        if let Some(inner) = &self.inner {
            // A collector that is gone is no reason to hold up the end.
            let _ = inner.provider.shutdown_with_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Inner {
    fn start(&self, hop: Hop, parent: &Context) -> Span {
        let builder = SpanBuilder::from_name(hop.name()).with_kind(hop.kind());
        let span = self.tracer.build_with_context(builder, parent);
        Span {
            context: Some(Context::new().with_span(span)),
        }
    }
}

/// A running span; ends when dropped.
#[derive(Debug, Default)]
pub struct Span {
    context: Option<Context>,
}

impl Span {
    /// Adds a fact.
    pub fn set(&self, key: &'static str, value: &str) {
        if let Some(context) = &self.context {
            let attribute = KeyValue::new(key, value.to_owned());
            context.span().set_attribute(attribute);
        }
    }

    /// Adds a number.
    pub fn set_number(&self, key: &'static str, value: u64) {
        if let Some(context) = &self.context {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            context.span().set_attribute(KeyValue::new(key, value));
        }
    }

    /// Marks the hop as failed, which keeps the span whatever the ratio says.
    pub fn fail(&self, reason: &'static str) {
        if let Some(context) = &self.context {
            context.span().set_status(Status::error(reason));
        }
    }

    /// Makes the next hop a child of this span. Leaves `headers` as they are
    /// when nothing is recorded.
    pub fn inject(&self, headers: &mut HeaderMap) {
        if let Some(context) = &self.context {
            let mut injector = HeaderInjector(headers);
            TraceContextPropagator::new().inject_context(context, &mut injector);
        }
    }

    /// Value of the `traceparent` header for the next hop.
    #[must_use]
    pub fn traceparent(&self) -> Option<HeaderValue> {
        let mut headers = HeaderMap::new();
        self.inject(&mut headers);
        headers.remove(TRACEPARENT)
    }

    /// Identity of the span.
    #[must_use]
    pub fn span_context(&self) -> Option<SpanContext> {
        let context = self.context.as_ref()?;
        Some(context.span().span_context().clone())
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(context) = &self.context {
            context.span().end();
        }
    }
}
