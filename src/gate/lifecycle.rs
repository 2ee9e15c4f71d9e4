//! Lifecycle of a backend server as seen by its gate.
//!
//! A typestate machine: each state is a type, and a transition consumes the previous state. Only
//! [`Phase`] knows the current one. Negative signals take effect at once; good responses take
//! effect after they have lasted for the step time in the sheet.

use std::fmt;
use std::time::Duration;

use crate::clock::Time;
use crate::plan;

/// Name of a lifecycle state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Limited to the cold allowance.
    Cold,
    /// The limit rises with every warm-up step.
    Warming,
    /// Limited by the concurrency limit only.
    Serving,
    /// Accepts no new calls and finishes the running ones.
    Draining,
    /// Has no calls and accepts none.
    Left,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cold => "cold",
            Self::Warming => "warming",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Left => "left",
        })
    }
}

/// Why a drain started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainCause {
    /// Planned shutdown of the node.
    Planned,
    /// The backend server reported that it is draining.
    Announced,
}

#[derive(Debug, Default)]
pub(super) struct Cold {
    good_answers_since: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Warming {
    step: u32,
    good_answers_since: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Serving;

#[derive(Debug)]
pub(super) struct Draining {
    cause: DrainCause,
    since: Time,
}

#[derive(Debug)]
pub(super) struct Left;

/// A backend server in state `S`.
#[derive(Debug)]
pub(super) struct Lifecycle<S> {
    state: S,
}

impl Lifecycle<Cold> {
    pub(super) fn new() -> Self {
        Self {
            state: Cold::default(),
        }
    }

    fn on_good_answer(mut self, now: Time, cold: plan::Cold) -> Phase {
        if has_lasted(&mut self.state.good_answers_since, now, cold.step_time) {
            Lifecycle::warming(1).serve_after_last_step(cold)
        } else {
            Phase::Cold(self)
        }
    }
}

impl Lifecycle<Warming> {
    fn warming(step: u32) -> Self {
        Self {
            state: Warming {
                step,
                good_answers_since: None,
            },
        }
    }

    fn on_good_answer(mut self, now: Time, cold: plan::Cold) -> Phase {
        if has_lasted(&mut self.state.good_answers_since, now, cold.step_time) {
            Lifecycle::warming(self.state.step + 1).serve_after_last_step(cold)
        } else {
            Phase::Warming(self)
        }
    }

    fn serve_after_last_step(self, cold: plan::Cold) -> Phase {
        if self.state.step >= cold.steps.max(1) {
            Phase::Serving(Lifecycle { state: Serving })
        } else {
            Phase::Warming(self)
        }
    }
}

impl Lifecycle<Draining> {
    fn draining(cause: DrainCause, since: Time) -> Self {
        Self {
            state: Draining { cause, since },
        }
    }

    fn on_empty(self) -> Phase {
        match self.state.cause {
            DrainCause::Planned => Phase::Left(Lifecycle { state: Left }),
            DrainCause::Announced => Phase::Draining(self),
        }
    }
}

fn has_lasted(good_answers_since: &mut Option<Time>, now: Time, step_time: Duration) -> bool {
    let since = *good_answers_since.get_or_insert(now);
    now.since(since) >= step_time
}

/// The current state.
#[derive(Debug)]
pub(super) enum Phase {
    Cold(Lifecycle<Cold>),
    Warming(Lifecycle<Warming>),
    Serving(Lifecycle<Serving>),
    Draining(Lifecycle<Draining>),
    Left(Lifecycle<Left>),
}

impl Phase {
    pub(super) fn cold() -> Self {
        Self::Cold(Lifecycle::<Cold>::new())
    }

    pub(super) const fn state(&self) -> State {
        match self {
            Self::Cold(_) => State::Cold,
            Self::Warming(_) => State::Warming,
            Self::Serving(_) => State::Serving,
            Self::Draining(_) => State::Draining,
            Self::Left(_) => State::Left,
        }
    }

    /// Maximum number of running calls.
    pub(super) fn max_in_hand(&self, cold: plan::Cold, slots: u32) -> u32 {
        let allowance = cold.allowance.min(slots);
        match self {
            Self::Cold(_) => allowance,
            Self::Warming(life) => {
                let extra = (slots - allowance) * life.state.step / cold.steps.max(1);
                allowance + extra.min(slots - allowance)
            }
            Self::Serving(_) | Self::Draining(_) => slots,
            Self::Left(_) => 0,
        }
    }

    /// Whether new calls are accepted.
    pub(super) const fn is_open(&self) -> bool {
        matches!(self, Self::Cold(_) | Self::Warming(_) | Self::Serving(_))
    }

    /// Cause and start time of the drain, if the server is draining.
    pub(super) const fn drain_cause_and_start(&self) -> Option<(DrainCause, Time)> {
        match self {
            Self::Draining(life) => Some((life.state.cause, life.state.since)),
            _ => None,
        }
    }

    /// Handles a response that was not slow.
    pub(super) fn on_good_answer(self, now: Time, cold: plan::Cold) -> Self {
        match self {
            Self::Cold(life) => life.on_good_answer(now, cold),
            Self::Warming(life) => life.on_good_answer(now, cold),
            other => other,
        }
    }

    /// Falls back to cold after a sign of overload or failure.
    pub(super) fn reset_to_cold(self) -> Self {
        match self {
            Self::Cold(_) | Self::Warming(_) | Self::Serving(_) => Self::cold(),
            other => other,
        }
    }

    /// Handles a new boot ID.
    pub(super) fn on_restart(self) -> Self {
        match self.drain_cause_and_start() {
            Some((DrainCause::Announced, _)) => Self::cold(),
            _ => self.reset_to_cold(),
        }
    }

    /// Handles the availability zone's return to service after a time without calls; warm-up starts
    /// again.
    pub(super) fn on_zone_return(self) -> Self {
        match self {
            Self::Warming(_) | Self::Serving(_) => Self::Warming(Lifecycle::warming(0)),
            other => other,
        }
    }

    pub(super) fn into_draining(self, cause: DrainCause, now: Time) -> Self {
        match self {
            Self::Left(_) => self,
            Self::Draining(life) if life.state.cause == DrainCause::Planned => Self::Draining(life),
            _ => Self::Draining(Lifecycle::draining(cause, now)),
        }
    }

    /// Handles the moment when no call is running or queued.
    pub(super) fn on_empty(self) -> Self {
        match self {
            Self::Draining(life) => life.on_empty(),
            other => other,
        }
    }
}
