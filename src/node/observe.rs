//! Turns what the data path tells into metrics and spans.

use std::sync::Arc;
use std::time::SystemTime;

use crate::call::{CallOutcome, Decision, Event, Observer, Role, Span};
use crate::telemetry::decision::Decisions;
use crate::telemetry::metric::{Metrics, Name, tag};
use crate::telemetry::trace::{Fact, Hop, Kind, Tracer};

/// Metrics and spans of one node.
#[derive(Clone, Debug)]
pub struct Telemetry {
    metrics: Metrics,
    tracer: Tracer,
    decisions: Option<Arc<Decisions>>,
}

impl Telemetry {
    /// Telemetry that sends to both.
    pub const fn new(metrics: Metrics, tracer: Tracer) -> Self {
        Self {
            metrics,
            tracer,
            decisions: None,
        }
    }

    /// The same, with a line for each decision that touches a request.
    pub fn with_decisions(self, decisions: Decisions) -> Self {
        Self {
            decisions: Some(Arc::new(decisions)),
            ..self
        }
    }

    fn count_end(&self, span: &Span<'_>) {
        let route = tag("route", span.route);
        match span.outcome {
            CallOutcome::Answered(_) => self.metrics.count(Name::CallAnswered, 1, &[route]),
            CallOutcome::NotRun(reason) => {
                let reason = tag("reason", reason.as_str());
                self.metrics.count(Name::CallRefused, 1, &[route, reason]);
            }
            CallOutcome::Unknown(_) => self.metrics.count(Name::CallUnknown, 1, &[route]),
            CallOutcome::Cancelled => {}
        }
        self.metrics.time(Name::CallTime, span.elapsed, &[route]);
    }
}

impl Observer for Telemetry {
    fn event(&self, event: Event) {
        if !self.metrics.is_on() {
            return;
        }
        let count = |name| self.metrics.count(name, 1, &[]);
        match event {
            Event::Received => count(Name::CallReceived),
            Event::Retried => count(Name::CallAttempts),
            Event::Recalled => count(Name::CallRecalled),
            Event::Admitted { queue_time } => {
                count(Name::GateAdmitted);
                self.metrics.time(Name::GateQueueTime, queue_time, &[]);
            }
            Event::Answered { service_time } => {
                self.metrics.time(Name::GateServiceTime, service_time, &[]);
            }
            Event::Refused(reason) => {
                let reason = tag("reason", reason.as_str());
                self.metrics.count(Name::Refused, 1, &[reason]);
            }
            Event::Rejected => count(Name::CallerRejected),
            Event::LinkRejected => count(Name::PeerRejected),
            Event::LinkOpened => count(Name::PeerOpened),
            Event::FrameDropped => count(Name::PeerDropped),
            Event::ResponseCut => count(Name::AnswerCut),
            Event::Cancelled => count(Name::CallCancelled),

            Event::Hedged => count(Name::CallHedged),
            Event::HedgeWon => count(Name::HedgeWon),
            Event::Connected | Event::Routed { .. } | Event::OutcomeUnknown(_) => {}
        }
    }

    fn wants_decisions(&self) -> bool {
        self.decisions.is_some()
    }

    fn decision(&self, decision: &Decision<'_>) {
        if let Some(decisions) = &self.decisions {
            decisions.write(decision);
        }
    }

    fn span(&self, span: &Span<'_>) {
        if self.metrics.is_on() && span.role == Role::Entry {
            self.count_end(span);
        }
        if self.tracer.is_on() {
            self.tracer.record(hop(span));
        }
    }
}

fn hop(span: &Span<'_>) -> Hop {
    let end = SystemTime::now();
    Hop {
        kind: kind(span.role),
        trace: span.trace.id,
        parent: span.trace.parent,
        span: span.trace.span,
        sampled: span.trace.sampled,
        start: end - span.elapsed,
        end,
        failure: failure(span.outcome),
        facts: facts(span),
    }
}

const fn kind(role: Role) -> Kind {
    match role {
        Role::Entry => Kind::Entry,
        Role::Attempt => Kind::Attempt,
        Role::Gate => Kind::Gate,
        Role::BackendServer => Kind::BackendServer,
    }
}

const fn failure(end: CallOutcome) -> Option<&'static str> {
    match end {
        CallOutcome::Answered(_) => None,
        CallOutcome::NotRun(reason) => Some(reason.as_str()),
        CallOutcome::Unknown(_) => Some("outcome unknown"),
        CallOutcome::Cancelled => Some("cancelled"),
    }
}

fn facts(span: &Span<'_>) -> Vec<Fact> {
    let mut facts = vec![
        fact("service", span.service.to_owned()),
        fact("route", span.route.to_owned()),
    ];
    if let CallOutcome::Answered(status) = span.outcome {
        facts.push(fact("status", status.as_u16().to_string()));
    }
    facts
}

fn fact(key: &'static str, value: String) -> Fact {
    Fact {
        key,
        value: value.into(),
    }
}
