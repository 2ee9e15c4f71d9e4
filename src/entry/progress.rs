//! What is known of a call between its attempts, and what they amount to.

use http::Response;

use super::attempt::Attempted;
use crate::call::{
    AttemptIndex, Body, CallOutcome, DecisionRecorder, NotRun, Reason, UnknownOutcome,
};
use crate::clock::Time;
use crate::routing::{Choice, TriedBackends};

/// What the entry knows of a call between two attempts.
pub(super) struct Progress {
    pub(super) avoid: TriedBackends,
    pub(super) attempts: u32,
    /// Attempts that a backend server has seen or may have seen.
    pub(super) reached: u32,
    pub(super) deadline: Time,
    pub(super) refused: Option<NotRun>,
    /// A gate has given the call back for the sake of a better one.
    pub(super) given_back: bool,
    unknown: Option<UnknownOutcome>,
    /// Answer of a backend server that failed, in case no better one comes.
    pub(super) failure: Option<Response<Body>>,
    /// What is told of the call in the end, when anyone wants to know.
    pub(super) story: Option<DecisionRecorder>,
}

impl Progress {
    pub(super) const fn new(deadline: Time, story: Option<DecisionRecorder>) -> Self {
        Self {
            avoid: TriedBackends::new(),
            attempts: 0,
            reached: 0,
            deadline,
            refused: None,
            given_back: false,
            unknown: None,
            failure: None,
            story,
        }
    }

    pub(super) fn begin(&mut self, choice: &Choice) -> Option<AttemptIndex> {
        self.attempts += 1;
        self.avoid.insert(choice.backend);
        self.story.as_mut().map(|story| story.start_attempt(choice))
    }

    /// Tells how an attempt ended.
    pub(super) fn attempted(&mut self, turn: Option<AttemptIndex>, attempted: &Attempted) {
        if let (Some(story), Some(turn)) = (&mut self.story, turn) {
            story.finish_attempt(turn, attempted.end());
        }
    }

    pub(super) fn refuse(&mut self, choice: &Choice, refused: NotRun) {
        self.refused = Some(refused);
        if refused.reason() == Reason::LateTurn {
            // Its gate has told why, and may still be the best.
            self.avoid.remove(choice.backend);
            self.given_back = true;
        }
        if refused.reason() == Reason::Shed {
            self.reached += 1;
        }
    }

    pub(super) fn lose(&mut self, unknown: UnknownOutcome) {
        self.reached += 1;
        self.unknown = Some(unknown);
    }

    /// What all attempts together amount to: an answer counts most, and one
    /// attempt of unknown outcome makes the call unknown, whatever came after it.
    pub(super) fn end(mut self, without_attempt: NotRun) -> Ended {
        let story = self.story.take();
        let ended = match (self.failure, self.unknown) {
            (Some(answer), _) => Ended::Answered(answer),
            (None, Some(unknown)) => Ended::Unknown(unknown),
            (None, None) => Ended::NotRun(self.refused.unwrap_or(without_attempt)),
        };
        ended.tell(story);
        ended
    }
}

/// How a call ended at the entry.
pub(super) enum Ended {
    Answered(Response<Body>),
    NotRun(NotRun),
    Unknown(UnknownOutcome),
}

impl Ended {
    pub(super) fn of(&self) -> CallOutcome {
        match self {
            Self::Answered(response) => CallOutcome::Answered(response.status()),
            Self::NotRun(refused) => CallOutcome::NotRun(refused.reason()),
            Self::Unknown(unknown) => CallOutcome::Unknown(unknown.loss()),
        }
    }

    pub(super) fn tell(&self, story: Option<DecisionRecorder>) {
        if let Some(story) = story {
            story.end(self.of());
        }
    }
}
