//! Which traces are kept.

use opentelemetry::trace::{
    Link, SpanContext, SpanKind, SpanRef, TraceContextExt, TraceId, TraceState,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::trace::{SamplingDecision, SamplingResult, ShouldSample};

/// Keeps a share of new traces, chosen by trace id so that every node agrees,
/// and follows the choice of whoever started the trace. Spans that are not kept
/// are still recorded, since the hop may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ratio {
    per_10k: u32,
}

impl Ratio {
    /// Keeps `per_10k` of 10,000 traces.
    #[must_use]
    pub const fn new(per_10k: u32) -> Self {
        Self { per_10k }
    }

    fn keeps(self, trace: TraceId) -> bool {
        let bytes = trace.to_bytes();
        let low = bytes[8..]
            .iter()
            .fold(0_u64, |low, &byte| low << 8 | u64::from(byte));
        low % 10_000 < u64::from(self.per_10k)
    }
}

impl ShouldSample for Ratio {
    fn should_sample(
        &self,
        parent: Option<&Context>,
        trace_id: TraceId,
        _name: &str,
        _span_kind: &SpanKind,
        _attributes: &[KeyValue],
        _links: &[Link],
    ) -> SamplingResult {
        let span = parent.map(TraceContextExt::span);
        let started = span
            .as_ref()
            .map(SpanRef::span_context)
            .filter(|context| context.is_valid());
        let kept = started.map_or_else(|| self.keeps(trace_id), SpanContext::is_sampled);
        SamplingResult {
            decision: if kept {
                SamplingDecision::RecordAndSample
            } else {
                SamplingDecision::RecordOnly
            },
            attributes: Vec::new(),
            trace_state: started
                .map_or_else(TraceState::default, |context| context.trace_state().clone()),
        }
    }
}
