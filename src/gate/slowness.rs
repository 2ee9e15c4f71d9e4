//! How slow a backend server's machine is now, and for how long.
//!
//! Machines are shared, and their speed changes many times a second. A call runs
//! at the speed at which it was begun, so the speed matters at that moment: a
//! short wait for the end of a slow spell may save a multiple of it.
//!
//! A spell is a level of slowness above another one, so a slow machine may turn
//! slower still. Spells that have ended tell how long one lasts. A neighbour may
//! keep its demand for another turn; a spell that has lasted for several has
//! another cause, and is likely to last as long again.

use std::time::Duration;

use crate::clock::Time;

/// Least slowness that is believed.
const MIN: f64 = 0.1;
/// Times slower than before that begin a spell.
const RISE: f64 = 1.5;
/// Times slower than now that a level must be to count as left.
const FALL: f64 = 1.25;
/// Length that is expected of a spell before one has ended. Neighbours on shared
/// hosts change about as often.
const SPELL: Duration = Duration::from_millis(150);
/// Spells that last longer come from other causes than a neighbour, and tell
/// nothing of the length of the next one.
const SPELL_MAX: Duration = Duration::from_secs(1);
/// Turns after which a spell is not a neighbour's.
const TURNS_MAX: f64 = 3.0;
/// Least length that is learned.
const SPELL_MIN_S: f64 = 0.01;
/// Weight of a spell that was shorter than expected.
const SHORTER: f64 = 0.2;
/// Weight of one that was longer, which may have been several turns.
const LONGER: f64 = 0.02;
/// Levels at the same time: usual, cold, slow, and one more.
const LEVELS_MAX: usize = 4;

/// Slowness of one machine.
#[derive(Debug)]
pub(super) struct Slowness {
    /// The usual level, then each slower one that has begun above it.
    levels: Vec<Level>,
    told: Option<Time>,
    spell_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    factor: f64,
    since: Time,
}

/// What becomes of work that is begun now, or when the spell has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Outlook {
    /// Time until the work is best begun.
    pub(super) delay: Duration,
    /// Time that it takes then.
    pub(super) work: Duration,
}

impl Outlook {
    /// Time until the work has ended.
    pub(super) fn total(&self) -> Duration {
        self.delay + self.work
    }
}

impl Default for Slowness {
    fn default() -> Self {
        let usual = Level {
            factor: 1.0,
            since: Time::ZERO,
        };
        Self {
            levels: vec![usual],
            told: None,
            spell_s: SPELL.as_secs_f64(),
        }
    }
}

impl Slowness {
    /// Work that is begun now takes this many hundredths of its usual time.
    pub(super) fn told(&mut self, now: Time, hundredths: u32) {
        let factor = (f64::from(hundredths) / 100.0).max(MIN);
        self.told = Some(now);
        while self.levels.len() > 1 && self.top().factor > factor * FALL {
            self.end_spell(now);
        }
        let top = self.top().factor;
        if factor >= top * RISE && self.levels.len() < LEVELS_MAX {
            self.levels.push(Level { factor, since: now });
        } else if let Some(top) = self.levels.last_mut() {
            top.factor = factor;
        }
    }

    /// Times slower than usual.
    pub(super) fn factor(&self) -> f64 {
        self.top().factor
    }

    /// When it was last told; never where nobody tells it.
    pub(super) const fn told_at(&self) -> Option<Time> {
        self.told
    }

    /// Work that usually takes `usual`, begun at the best moment.
    pub(super) fn outlook(&self, now: Time, usual: Duration) -> Outlook {
        let at_once = Outlook {
            delay: Duration::ZERO,
            work: usual.mul_f64(self.factor()),
        };
        let Some(below) = self.levels.len().checked_sub(2) else {
            return at_once;
        };
        let later = Outlook {
            delay: self.remaining(now),
            work: usual.mul_f64(self.levels[below].factor),
        };
        if later.total() < at_once.total() {
            later
        } else {
            at_once
        }
    }

    /// Time until the spell is expected to end; zero outside of one.
    pub(super) fn remaining(&self, now: Time) -> Duration {
        if self.levels.len() == 1 {
            return Duration::ZERO;
        }
        let age = now.since(self.top().since).as_secs_f64();
        let remaining_s = if age < self.spell_s * TURNS_MAX {
            self.spell_s - age % self.spell_s
        } else {
            age
        };
        Duration::from_secs_f64(remaining_s)
    }

    fn end_spell(&mut self, now: Time) {
        let Some(ended) = self.levels.pop() else {
            return;
        };
        let length = now.since(ended.since);
        if length <= SPELL_MAX {
            let change = length.as_secs_f64() - self.spell_s;
            let weight = if change < 0.0 { SHORTER } else { LONGER };
            self.spell_s = (self.spell_s + change * weight).max(SPELL_MIN_S);
        }
    }

    /// There is always the usual level.
    fn top(&self) -> Level {
        let usual = Level {
            factor: 1.0,
            since: Time::ZERO,
        };
        self.levels.last().copied().unwrap_or(usual)
    }
}
