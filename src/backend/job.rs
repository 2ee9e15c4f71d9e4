//! A call as the gate's side takes it, and what became of it.

use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response};
use tokio::sync::Notify;

use crate::call::{Body, CallOutcome, Context, NotRun, Trace, UnknownOutcome};
use crate::clock::Time;
use crate::plan::Version;

/// A call for the backend server.
#[derive(Clone, Debug)]
pub struct Job {
    /// Service asked for.
    pub service: String,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Limits that travel with the call.
    pub context: Context,
    /// When the call is worth nothing any more.
    pub deadline: Time,
    /// Until when its answer has its full worth, where the plan says so.
    pub objective: Option<Time>,
    /// When the entry wants the call back unless it has been begun.
    pub begin_by: Option<Time>,
    /// Plan by which the entry chose.
    pub plan: Version,
    /// Span of the gate.
    pub trace: Trace,
}

/// What became of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The backend server answered.
    Answered(Response<Body>),
    /// It certainly did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(UnknownOutcome),
}

impl Outcome {
    pub(super) fn end(&self) -> CallOutcome {
        match self {
            Self::Answered(response) => CallOutcome::Answered(response.status()),
            Self::NotRun(refused) => CallOutcome::NotRun(refused.reason()),
            Self::Unknown(unknown) => CallOutcome::Unknown(unknown.loss()),
        }
    }
}

/// What passes between a running call and whoever waits for it.
#[derive(Debug, Default)]
pub struct Progress {
    /// Told when a queued call is to be withdrawn.
    pub recall: Notify,
    /// Told when the gate has let the call through.
    pub admitted: Notify,
}
