//! What the data path tells metrics and traces.

use std::time::Duration;

use http::StatusCode;

use super::{Loss, Reason, Trace};
use crate::gate::LoadReport;
use crate::plan::Version;

/// Part that a node plays in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Took the call from a caller.
    Entry,
    /// Sent the call to one backend server.
    Attempt,
    /// Admitted the call to its own backend server.
    Gate,
    /// Waited for its own backend server.
    BackendServer,
}

/// How a span ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered.
    Answered(StatusCode),
    /// Refused before it ran.
    NotRun(Reason),
    /// It may have run.
    Unknown(Loss),
    /// The caller went away.
    Cancelled,
}

/// One hop of one call, told when it has ended.
#[derive(Clone, Copy, Debug)]
pub struct Span<'a> {
    /// Place in the trace.
    pub trace: Trace,
    /// Part played.
    pub role: Role,
    /// Service asked for.
    pub service: &'a str,
    /// Name of the route; empty when none matched.
    pub route: &'a str,
    /// Time from the first header to the answer's head.
    pub elapsed: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Something to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller's connection was accepted.
    Connected,
    /// A caller's connection was refused or cut for what it sent.
    Rejected,
    /// A caller's request arrived.
    Received,
    /// A backend server was chosen.
    Routed {
        /// Whether it is this node's own.
        local: bool,
    },
    /// An attempt is followed by another.
    Retried,
    /// A second copy of a call was sent.
    Hedged,
    /// The second copy of a call was answered first.
    HedgeWon,
    /// A queued call is to be withdrawn.
    Recalled,
    /// The gate let a call through.
    Admitted {
        /// Time at the gate.
        queue_time: Duration,
    },
    /// The backend server sent the head of its answer.
    Answered {
        /// Time in the backend server.
        service_time: Duration,
    },
    /// A call was refused as not run.
    Refused(Reason),
    /// The outcome of a call is unknown.
    OutcomeUnknown(Loss),
    /// A caller went away before its answer was whole.
    Cancelled,
    /// An answer was cut after its head.
    ResponseCut,
    /// A frame came late, doubled or out of order and was dropped.
    FrameDropped,
    /// A link was closed because of what the other side sent.
    LinkRejected,
    /// A link was opened.
    LinkOpened,
}

/// A decision that touched a request, with what it was made from.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    /// Part played.
    pub role: Role,
    /// Id by which the caller knows the request.
    pub request: &'a str,
    /// Service asked for.
    pub service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Plan that it was made by.
    pub plan: Version,
    /// Attempts at backend servers, in their order.
    pub attempts: &'a [AttemptRecord],
    /// Load of the gate that decided.
    pub load: Option<LoadReport>,
    /// Time since the request came.
    pub elapsed: Duration,
    /// What it came to.
    pub outcome: CallOutcome,
}

/// One attempt, and what its choice was made from.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Instance that was chosen.
    pub instance: String,
    /// Time that the call was expected to take there.
    pub expected: Duration,
    /// Whether it was expected to wait.
    pub expects_queueing: bool,
    /// Age of the load report; none when there was none.
    pub load_age: Option<Duration>,
    /// Time that the attempt took.
    pub elapsed: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Receives events and spans. Must not block.
pub trait Observer: Send + Sync + 'static {
    /// Counts something.
    fn event(&self, event: Event);

    /// Records a finished hop. Never called for calls outside their home regions.
    fn span(&self, span: &Span<'_>);

    /// Whether decisions are wanted; they cost memory while a call runs.
    fn wants_decisions(&self) -> bool {
        false
    }

    /// Records a decision. Never called for calls outside their home regions.
    fn decision(&self, _decision: &Decision<'_>) {}
}

/// Keeps nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl Observer for NoopObserver {
    fn event(&self, _event: Event) {}

    fn span(&self, _span: &Span<'_>) {}
}
