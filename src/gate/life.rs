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
pub(super) enum Drain {
    /// A planned stop of the node.
    Planned,
    /// The backend server's own word.
    Announced,
}

#[derive(Debug, Default)]
pub(super) struct Cold {
    good_since: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Warming {
    step: u32,
    good_since: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Serving;

#[derive(Debug)]
pub(super) struct Draining {
    by: Drain,
    since: Time,
}

#[derive(Debug)]
pub(super) struct Left;

/// A backend server in state `S`.
#[derive(Debug)]
pub(super) struct Life<S> {
    state: S,
}

impl Life<Cold> {
    pub(super) fn start() -> Self {
        Self {
            state: Cold::default(),
        }
    }

    fn answered(mut self, now: Time, cold: plan::Cold) -> Phase {
        if lasted(&mut self.state.good_since, now, cold.step_time) {
            Life::warm(1).settle(cold)
        } else {
            Phase::Cold(self)
        }
    }
}

impl Life<Warming> {
    fn warm(step: u32) -> Self {
        Self {
            state: Warming {
                step,
                good_since: None,
            },
        }
    }

    fn answered(mut self, now: Time, cold: plan::Cold) -> Phase {
        if lasted(&mut self.state.good_since, now, cold.step_time) {
            Life::warm(self.state.step + 1).settle(cold)
        } else {
            Phase::Warming(self)
        }
    }

    fn settle(self, cold: plan::Cold) -> Phase {
        if self.state.step >= cold.steps.max(1) {
            Phase::Serving(Life { state: Serving })
        } else {
            Phase::Warming(self)
        }
    }
}

impl Life<Draining> {
    fn draining(by: Drain, since: Time) -> Self {
        Self {
            state: Draining { by, since },
        }
    }

    fn emptied(self) -> Phase {
        match self.state.by {
            Drain::Planned => Phase::Left(Life { state: Left }),
            Drain::Announced => Phase::Draining(self),
        }
    }
}

fn lasted(good_since: &mut Option<Time>, now: Time, step_time: Duration) -> bool {
    let since = *good_since.get_or_insert(now);
    now.since(since) >= step_time
}

/// The current state.
#[derive(Debug)]
pub(super) enum Phase {
    Cold(Life<Cold>),
    Warming(Life<Warming>),
    Serving(Life<Serving>),
    Draining(Life<Draining>),
    Left(Life<Left>),
}

impl Phase {
    pub(super) fn cold() -> Self {
        Self::Cold(Life::<Cold>::start())
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
    pub(super) fn cap(&self, cold: plan::Cold, slots: u32) -> u32 {
        let allowance = cold.allowance.min(slots);
        match self {
            Self::Cold(_) => allowance,
            Self::Warming(life) => {
                let raised = (slots - allowance) * life.state.step / cold.steps.max(1);
                allowance + raised.min(slots - allowance)
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
    pub(super) const fn drain(&self) -> Option<(Drain, Time)> {
        match self {
            Self::Draining(life) => Some((life.state.by, life.state.since)),
            _ => None,
        }
    }

    /// A good answer came.
    pub(super) fn answered(self, now: Time, cold: plan::Cold) -> Self {
        match self {
            Self::Cold(life) => life.answered(now, cold),
            Self::Warming(life) => life.answered(now, cold),
            other => other,
        }
    }

    /// A sign came that the backend server cannot bear its load.
    pub(super) fn fell(self) -> Self {
        match self {
            Self::Cold(_) | Self::Warming(_) | Self::Serving(_) => Self::cold(),
            other => other,
        }
    }

    /// The backend server was started anew.
    pub(super) fn restarted(self) -> Self {
        match self.drain() {
            Some((Drain::Announced, _)) => Self::cold(),
            _ => self.fell(),
        }
    }

    /// Work comes back after a time without any.
    pub(super) fn returned(self) -> Self {
        match self {
            Self::Warming(_) | Self::Serving(_) => Self::Warming(Life::warm(0)),
            other => other,
        }
    }

    pub(super) fn drained(self, by: Drain, now: Time) -> Self {
        match self {
            Self::Left(_) => self,
            Self::Draining(life) if life.state.by == Drain::Planned => Self::Draining(life),
            _ => Self::Draining(Life::draining(by, now)),
        }
    }

    /// Nothing is in hand or queued.
    pub(super) fn emptied(self) -> Self {
        match self {
            Self::Draining(life) => life.emptied(),
            other => other,
        }
    }
}
