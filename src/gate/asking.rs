//! When the backend server is asked how fast it is, before a call is begun.

use std::time::Duration;

use crate::bucket::Bucket;
use crate::clock::Time;

use super::Settings;
use super::slowness::Slowness;

/// Longest wait for an answer. A server that does not say how fast it is gets
/// its calls all the same.
const PATIENCE: Duration = Duration::from_millis(15);
/// Time without questions after one was not answered.
const SILENCE: Duration = Duration::from_millis(250);
/// Seconds of questions that can be saved up.
const SAVED_S: f64 = 1.0;
/// Questions during the time that a slow spell is expected to last on.
const ASKS_IN_SPELL: u32 = 8;

/// What is to be done about the speed before a call is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// It is known well enough.
    Begin,
    /// Ask for it.
    Ask,
    /// Wait for the answer.
    Wait,
}

/// Questions for the speed.
#[derive(Debug)]
pub(super) struct Asking {
    budget: Bucket,
    /// Time in which the budget gains one question.
    refill: Duration,
    asked: Option<Time>,
    silent_until: Time,
}

impl Asking {
    pub(super) fn new(settings: &Settings, now: Time) -> Self {
        let per_s = settings.asks_per_s;
        Self {
            budget: Bucket::full(per_s * SAVED_S, per_s, now),
            refill: Duration::from_secs(1).div_f64(per_s.max(1.0)),
            asked: None,
            silent_until: now,
        }
    }

    /// The speed was told.
    pub(super) const fn told(&mut self) {
        self.asked = None;
    }

    /// What comes before a call is begun.
    pub(super) fn step(&mut self, now: Time, settings: &Settings, slowness: &Slowness) -> Step {
        let Some(due) = due(settings, slowness) else {
            return Step::Begin;
        };
        if let Some(asked) = self.asked {
            if now < asked + PATIENCE {
                return Step::Wait;
            }
            self.asked = None;
            self.silent_until = now + SILENCE;
        }
        if now < due || now < self.silent_until {
            return Step::Begin;
        }
        if !self.budget.take(now, 1.0) {
            self.silent_until = now + self.refill;
            return Step::Begin;
        }
        self.asked = Some(now);
        Step::Ask
    }

    /// When to look again while calls wait for the speed.
    pub(super) fn next(&self, settings: &Settings, slowness: &Slowness) -> Option<Time> {
        let answered_by = self.asked.map(|asked| asked + PATIENCE);
        answered_by.or_else(|| {
            let due = due(settings, slowness)?;
            Some(due.max(self.silent_until))
        })
    }
}

/// When what is known is too old; never where nobody says it. In a spell that
/// is expected to last, the end is looked for less often.
fn due(settings: &Settings, slowness: &Slowness) -> Option<Time> {
    let told = slowness.told_at()?;
    let lasting = slowness.remaining(told) / ASKS_IN_SPELL;
    Some(told + lasting.max(settings.speed_age))
}
