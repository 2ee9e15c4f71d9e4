//! Exports sampled spans, and failed ones whether sampled or not.

use std::time::Duration;

use opentelemetry::Context;
use opentelemetry::trace::{SpanContext, Status, TraceFlags};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{BatchSpanProcessor, Span, SpanData, SpanExporter, SpanProcessor};

/// Batches what is kept.
#[derive(Debug)]
pub struct Processor {
    batch: BatchSpanProcessor,
}

impl Processor {
    /// A processor in front of `exporter`.
    pub fn new<E: SpanExporter + 'static>(exporter: E) -> Self {
        Self {
            batch: BatchSpanProcessor::builder(exporter).build(),
        }
    }
}

impl SpanProcessor for Processor {
    fn on_start(&self, span: &mut Span, context: &Context) {
        self.batch.on_start(span, context);
    }

    fn on_end(&self, mut span: SpanData) {
        if matches!(span.status, Status::Error { .. }) {
            span.span_context = sampled(&span.span_context);
        }
        if span.span_context.is_sampled() {
            self.batch.on_end(span);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.batch.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.batch.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.batch.set_resource(resource);
    }
}

fn sampled(context: &SpanContext) -> SpanContext {
    SpanContext::new(
        context.trace_id(),
        context.span_id(),
        context.trace_flags() | TraceFlags::SAMPLED,
        context.is_remote(),
        context.trace_state().clone(),
    )
}
