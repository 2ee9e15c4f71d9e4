//! What is known of a call between its attempts, and what they amount to.

use http::Response;

use super::attempt::Attempted;
use crate::call::{Body, End, NotRun, Reason, Story, Turn, Unknown};
use crate::clock::Time;
use crate::routing::{Avoid, Choice};

/// What the entry knows of a call between two attempts.
pub(super) struct Progress {
    pub(super) avoid: Avoid,
    pub(super) attempts: u32,
    /// Attempts that a backend server has seen or may have seen.
    pub(super) reached: u32,
    pub(super) deadline: Time,
    pub(super) refused: Option<NotRun>,
    /// A gate has given the call back for the sake of a better one.
    pub(super) given_back: bool,
    unknown: Option<Unknown>,
    /// Answer of a backend server that failed, in case no better one comes.
    pub(super) failure: Option<Response<Body>>,
    /// What is told of the call in the end, when anyone wants to know.
    pub(super) story: Option<Story>,
}

impl Progress {
    pub(super) const fn new(deadline: Time, story: Option<Story>) -> Self {
        Self {
            avoid: Avoid::new(),
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

    pub(super) fn begin(&mut self, choice: &Choice) -> Option<Turn> {
        self.attempts += 1;
        self.avoid.insert(choice.backend);
        self.story.as_mut().map(|story| story.attempt(choice))
    }

    /// Tells how an attempt ended.
    pub(super) fn attempted(&mut self, turn: Option<Turn>, attempted: &Attempted) {
        if let (Some(story), Some(turn)) = (&mut self.story, turn) {
            story.attempted(turn, attempted.end());
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

    pub(super) fn lose(&mut self, unknown: Unknown) {
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
    Unknown(Unknown),
}

impl Ended {
    pub(super) fn of(&self) -> End {
        match self {
            Self::Answered(response) => End::Answered(response.status()),
            Self::NotRun(refused) => End::NotRun(refused.reason()),
            Self::Unknown(unknown) => End::Unknown(unknown.loss()),
        }
    }

    pub(super) fn tell(&self, story: Option<Story>) {
        if let Some(story) = story {
            story.end(self.of());
        }
    }
}
