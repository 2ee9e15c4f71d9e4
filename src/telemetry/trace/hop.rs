//! One finished hop of a call.

use std::borrow::Cow;
use std::time::SystemTime;

use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanLinks};

/// A part of a call's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// From the caller's request to the end of its answer.
    Entry,
    /// One attempt: choice of a backend server and the link to its node.
    Attempt,
    /// Admission by the gate, with the time in the queue.
    Gate,
    /// The backend server.
    BackendServer,
}

impl Kind {
    /// Name of the span.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Attempt => "attempt",
            Self::Gate => "gate",
            Self::BackendServer => "backend-server",
        }
    }

    const fn span_kind(self) -> SpanKind {
        match self {
            Self::Entry | Self::Gate => SpanKind::Server,
            Self::Attempt | Self::BackendServer => SpanKind::Client,
        }
    }
}

/// Something a span tells besides its times.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// What it is about.
    pub key: &'static str,
    /// A name from the plan, a fixed word or a number.
    pub value: Cow<'static, str>,
}

/// A finished hop.
#[derive(Clone, Debug)]
pub struct Hop {
    /// Part of the way.
    pub kind: Kind,
    /// Shared by all spans of the trace.
    pub trace: u128,
    /// Span that caused this one; zero at the root.
    pub parent: u64,
    /// This span.
    pub span: u64,
    /// Whether the trace is kept.
    pub sampled: bool,
    /// When it began.
    pub start: SystemTime,
    /// When it ended.
    pub end: SystemTime,
    /// Why it failed, if it did.
    pub failure: Option<&'static str>,
    /// What else it tells.
    pub facts: Vec<Fact>,
}

impl Hop {
    /// The span as the exporter takes it.
    pub(super) fn into_span(self) -> SpanData {
        let context = SpanContext::new(
            TraceId::from_bytes(self.trace.to_be_bytes()),
            SpanId::from_bytes(self.span.to_be_bytes()),
            TraceFlags::SAMPLED,
            false,
            TraceState::default(),
        );
        let attributes = self.facts.into_iter().map(attribute).collect();
        SpanData {
            span_context: context,
            parent_span_id: SpanId::from_bytes(self.parent.to_be_bytes()),
            parent_span_is_remote: matches!(self.kind, Kind::Entry | Kind::Gate),
            span_kind: self.kind.span_kind(),
            name: Cow::Borrowed(self.kind.as_str()),
            start_time: self.start,
            end_time: self.end,
            attributes,
            dropped_attributes_count: 0,
            events: SpanEvents::default(),
            links: SpanLinks::default(),
            status: self.failure.map_or(Status::Unset, Status::error),
            instrumentation_scope: InstrumentationScope::builder("monsooncove").build(),
        }
    }
}

fn attribute(fact: Fact) -> KeyValue {
    KeyValue::new(fact.key, fact.value)
}
