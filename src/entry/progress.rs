//! State of a call between its attempts, and the result that follows from all of them.
//!
//! Each attempt adds its refusal, loss or error response. [`CallProgress::finish`] turns them into
//! the [`CallResult`] for the caller and the decision line.

use http::Response;

use super::attempt::AttemptResult;
use crate::call::{
    AttemptIndex, Body, CallOutcome, DecisionRecorder, NotRun, Reason, UnknownOutcome,
};
use crate::clock::Time;
use crate::routing::{Choice, TriedBackends};

/// State of a call between its attempts.
pub(super) struct CallProgress {
    pub(super) avoid: TriedBackends,
    pub(super) attempts: u32,
    /// Number of attempts that reached or may have reached a backend server.
    pub(super) backends_reached: u32,
    pub(super) deadline: Time,
    pub(super) last_refusal: Option<NotRun>,
    /// Whether a gate returned the call because its turn would come too late there.
    pub(super) returned_by_gate: bool,
    unknown_outcome: Option<UnknownOutcome>,
    /// Server error response, sent to the caller if no later attempt gives a better one.
    pub(super) error_response: Option<Response<Body>>,
    /// Source of the decision line at the end of the call, if decisions are recorded.
    pub(super) recorder: Option<DecisionRecorder>,
}

impl CallProgress {
    pub(super) const fn new(deadline: Time, recorder: Option<DecisionRecorder>) -> Self {
        Self {
            avoid: TriedBackends::new(),
            attempts: 0,
            backends_reached: 0,
            deadline,
            last_refusal: None,
            returned_by_gate: false,
            unknown_outcome: None,
            error_response: None,
            recorder,
        }
    }

    /// Counts an attempt and excludes its backend server from later choices.
    pub(super) fn start_attempt(&mut self, choice: &Choice) -> Option<AttemptIndex> {
        self.attempts += 1;
        self.avoid.insert(choice.backend);
        self.recorder
            .as_mut()
            .map(|recorder| recorder.start_attempt(choice))
    }

    /// Records the end of an attempt for the decision line.
    pub(super) fn record_attempt(
        &mut self,
        attempt_index: Option<AttemptIndex>,
        outcome: &AttemptResult,
    ) {
        if let (Some(recorder), Some(attempt_index)) = (&mut self.recorder, attempt_index) {
            recorder.finish_attempt(attempt_index, outcome.end());
        }
    }

    /// Records an attempt that did not run.
    pub(super) fn record_refusal(&mut self, choice: &Choice, refused: NotRun) {
        self.last_refusal = Some(refused);
        if refused.reason() == Reason::LateTurn {
            // The gate sends its load with the refusal. Given that load, it may still be the
            // best choice.
            self.avoid.remove(choice.backend);
            self.returned_by_gate = true;
        }
        if refused.reason() == Reason::Shed {
            self.backends_reached += 1;
        }
    }

    /// Records an attempt whose outcome is unknown.
    pub(super) fn record_unknown(&mut self, unknown: UnknownOutcome) {
        self.backends_reached += 1;
        self.unknown_outcome = Some(unknown);
    }

    /// Ends the call with the result of all its attempts.
    ///
    /// A response, even a server error, takes precedence. Otherwise a single attempt of unknown
    /// outcome makes the outcome of the call unknown, whatever came after it. Otherwise the call
    /// did not run: the last refusal counts, or `fallback` if there was none.
    pub(super) fn finish(mut self, fallback: NotRun) -> CallResult {
        let recorder = self.recorder.take();
        let outcome = match (self.error_response, self.unknown_outcome) {
            (Some(answer), _) => CallResult::Answered(answer),
            (None, Some(unknown)) => CallResult::Unknown(unknown),
            (None, None) => CallResult::NotRun(self.last_refusal.unwrap_or(fallback)),
        };
        outcome.report(recorder);
        outcome
    }
}

/// Result of a call at its entry.
pub(super) enum CallResult {
    Answered(Response<Body>),
    NotRun(NotRun),
    Unknown(UnknownOutcome),
}

impl CallResult {
    pub(super) fn end(&self) -> CallOutcome {
        match self {
            Self::Answered(response) => CallOutcome::Answered(response.status()),
            Self::NotRun(refused) => CallOutcome::NotRun(refused.reason()),
            Self::Unknown(unknown) => CallOutcome::Unknown(unknown.loss()),
        }
    }

    /// Ends the decision line of the call, if there is one.
    pub(super) fn report(&self, recorder: Option<DecisionRecorder>) {
        if let Some(recorder) = recorder {
            recorder.end(self.end());
        }
    }
}
