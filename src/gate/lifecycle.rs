//! Life cycle of a backend server as its gate sees it.
//!
//! Each state is a type, and a transition consumes the state it leaves. Only
//! [`Phase`] knows which one is current. Bad signs count at once; good ones
//! count once they have lasted for the step time of the sheet.

use std::fmt;
use std::time::Duration;

use crate::clock::Time;
use crate::plan;

/// Name of a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// May take the cold allowance only.
    Cold,
    /// Takes more with every step.
    Warming,
    /// Takes what its limit allows.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
    /// Has nothing in hand and takes nothing.
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

/// Who asked for a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainCause {
    /// A planned stop of the node.
    Planned,
    /// The backend server's own word.
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

    /// Most calls that may be in hand.
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

    /// Whether new work is taken.
    pub(super) const fn is_open(&self) -> bool {
        matches!(self, Self::Cold(_) | Self::Warming(_) | Self::Serving(_))
    }

    /// When the drain began and who asked for it.
    pub(super) const fn drain_cause_and_start(&self) -> Option<(DrainCause, Time)> {
        match self {
            Self::Draining(life) => Some((life.state.cause, life.state.since)),
            _ => None,
        }
    }

    /// A good answer came.
    pub(super) fn on_good_answer(self, now: Time, cold: plan::Cold) -> Self {
        match self {
            Self::Cold(life) => life.on_good_answer(now, cold),
            Self::Warming(life) => life.on_good_answer(now, cold),
            other => other,
        }
    }

    /// A sign came that the backend server cannot bear its load.
    pub(super) fn reset_to_cold(self) -> Self {
        match self {
            Self::Cold(_) | Self::Warming(_) | Self::Serving(_) => Self::cold(),
            other => other,
        }
    }

    /// The backend server was started anew.
    pub(super) fn on_restart(self) -> Self {
        match self.drain_cause_and_start() {
            Some((DrainCause::Announced, _)) => Self::cold(),
            _ => self.reset_to_cold(),
        }
    }

    /// Work comes back after a time without any.
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

    /// Nothing is in hand or queued.
    pub(super) fn on_empty(self) -> Self {
        match self {
            Self::Draining(life) => life.on_empty(),
            other => other,
        }
    }
}
