//! What is known of a call between its attempts, and what they amount to.

use http::Response;

use super::attempt::AttemptResult;
use crate::call::{Body, End, NotRun, Reason, Story, Turn, Unknown};
use crate::clock::Time;
use crate::routing::{Avoid, Choice};

/// What the entry knows of a call between two attempts.
pub(super) struct CallProgress {
    pub(super) avoid: Avoid,
    pub(super) attempts: u32,
    /// Attempts that a backend server has seen or may have seen.
    pub(super) backends_reached: u32,
    pub(super) deadline: Time,
    pub(super) last_refusal: Option<NotRun>,
    /// A gate has given the call back for the sake of a better one.
    pub(super) returned_by_gate: bool,
    unknown_outcome: Option<Unknown>,
    /// Answer of a backend server that failed, in case no better one comes.
    pub(super) error_response: Option<Response<Body>>,
    /// What is told of the call in the end, when anyone wants to know.
    pub(super) story: Option<Story>,
}

impl CallProgress {
    pub(super) const fn new(deadline: Time, story: Option<Story>) -> Self {
        Self {
            avoid: Avoid::new(),
            attempts: 0,
            backends_reached: 0,
            deadline,
            last_refusal: None,
            returned_by_gate: false,
            unknown_outcome: None,
            error_response: None,
            story,
        }
    }

    pub(super) fn start_attempt(&mut self, choice: &Choice) -> Option<Turn> {
        self.attempts += 1;
        self.avoid.insert(choice.backend);
        self.story.as_mut().map(|story| story.attempt(choice))
    }

    /// Tells how an attempt ended.
    pub(super) fn record_attempt(&mut self, turn: Option<Turn>, outcome: &AttemptResult) {
        if let (Some(story), Some(turn)) = (&mut self.story, turn) {
            story.attempted(turn, outcome.end());
        }
    }

    pub(super) fn record_refusal(&mut self, choice: &Choice, refused: NotRun) {
        self.last_refusal = Some(refused);
        if refused.reason() == Reason::LateTurn {
            // Its gate has told why, and may still be the best.
            self.avoid.remove(choice.backend);
            self.returned_by_gate = true;
        }
        if refused.reason() == Reason::Shed {
            self.backends_reached += 1;
        }
    }

    pub(super) fn record_unknown(&mut self, unknown: Unknown) {
        self.backends_reached += 1;
        self.unknown_outcome = Some(unknown);
    }

    /// What all attempts together amount to: an answer counts most, and one
    /// attempt of unknown outcome makes the call unknown, whatever came after it.
    pub(super) fn finish(mut self, fallback: NotRun) -> CallResult {
        let story = self.story.take();
        let outcome = match (self.error_response, self.unknown_outcome) {
            (Some(answer), _) => CallResult::Answered(answer),
            (None, Some(unknown)) => CallResult::Unknown(unknown),
            (None, None) => CallResult::NotRun(self.last_refusal.unwrap_or(fallback)),
        };
        outcome.report(story);
        outcome
    }
}

/// How a call ended at the entry.
pub(super) enum CallResult {
    Answered(Response<Body>),
    NotRun(NotRun),
    Unknown(Unknown),
}

impl CallResult {
    pub(super) fn end(&self) -> End {
        match self {
            Self::Answered(response) => End::Answered(response.status()),
            Self::NotRun(refused) => End::NotRun(refused.reason()),
            Self::Unknown(unknown) => End::Unknown(unknown.loss()),
        }
    }

    pub(super) fn report(&self, story: Option<Story>) {
        if let Some(story) = story {
            story.end(self.end());
        }
    }
}
