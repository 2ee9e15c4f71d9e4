//! What must always hold: how often it was checked, and how often violated.
//!
//! Checks rest on the books of callers and backend servers, on what processes
//! did when asked to stop, and on the plan versions seen in force.

mod versions;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::standin::backend::{Checks, Executions};
use crate::standin::caller::{Books, Ending, Entry};

pub use versions::Versions;

/// Size of one call of a health or load endpoint with its answer, in bytes.
const MEASUREMENT_BYTES: u64 = 300;
/// What measuring one backend server may cost.
const MEASURING_BYTES_PER_SECOND: u64 = 10_000;

/// A line of "What must always hold".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Measuring stays within its budget.
    Measuring,
    /// A cold backend server gets no more than it can bear.
    ColdStart,
    /// A zone that is out gets no new work.
    ZoneOut,
    /// Home regions are kept.
    HomeRegions,
    /// Each caller gets the whole answer to its own request.
    WholeAnswers,
    /// "Not run" is true.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work.
    Leaving,
    /// A planned stop cuts no request.
    Graceful,
    /// An accepted plan is in force everywhere and never reverts.
    InForce,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 10] = [
        Self::Measuring,
        Self::ColdStart,
        Self::ZoneOut,
        Self::HomeRegions,
        Self::WholeAnswers,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::Graceful,
        Self::InForce,
    ];

    /// Name in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Measuring => "measuring stays within its budget",
            Self::ColdStart => "cold backend servers get no more than they can bear",
            Self::ZoneOut => "a zone taken out gets no new work after 3 s",
            Self::HomeRegions => "home regions are kept",
            Self::WholeAnswers => "whole answers to their own callers",
            Self::NotRun => "\"not run\" is true",
            Self::AtMostOnce => "non-idempotent requests run at most once",
            Self::Leaving => "leaving backend servers get no new work after 2 s",
            Self::Graceful => "planned stops cut no request",
            Self::InForce => "accepted plans are in force within 3 s and never revert",
        }
    }
}

/// How often a promise was checked and violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Checks made.
    pub checked: u64,
    /// Checks that failed.
    pub violated: u64,
}

/// All promises with their tallies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    tallies: BTreeMap<Promise, Tally>,
}

impl Ledger {
    /// Adds checks of a promise.
    pub fn add(&mut self, promise: Promise, checked: u64, violated: u64) {
        let tally = self.tallies.entry(promise).or_default();
        tally.checked += checked;
        tally.violated += violated;
    }

    /// Tally of a promise.
    #[must_use]
    pub fn tally(&self, promise: Promise) -> Tally {
        self.tallies.get(&promise).copied().unwrap_or_default()
    }

    /// Violations of all promises.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.tallies.values().map(|tally| tally.violated).sum()
    }

    /// Checks the books of callers against what backend servers executed.
    pub fn check_calls(&mut self, books: &Books, executions: &Executions) {
        for entry in books.entries() {
            let count = executions.of(&entry.id);
            self.check_ending(&entry.ending, count);
            if !books.kind(entry).idempotent {
                self.add(Promise::AtMostOnce, 1, u64::from(count > 1));
            }
        }
    }

    /// Checks the books of callers alone.
    pub fn check_answers(&mut self, books: &Books) {
        for entry in books.entries() {
            let wrong = matches!(entry.ending, Ending::Mixed | Ending::Cut);
            self.add(Promise::WholeAnswers, 1, wrong.into());
        }
    }

    /// Checks the books of the backend servers after `elapsed`.
    pub fn check_backends(&mut self, all: &[Checks], elapsed: Duration) {
        let budget = MEASURING_BYTES_PER_SECOND * (elapsed.as_secs() + 1);
        for checks in all {
            let over_budget = checks.measured * MEASUREMENT_BYTES > budget;
            let zone_out = checks.zone_outs + checks.zone_out_within + checks.zone_out_late;
            let leaving = checks.drains + checks.leaving_within + checks.leaving_late;
            self.add(Promise::Measuring, 1, over_budget.into());
            self.add(Promise::ColdStart, checks.cold_received, checks.cold_over);
            self.add(Promise::ZoneOut, zone_out, checks.zone_out_late);
            self.add(Promise::Leaving, leaving, checks.leaving_late);
            self.add(Promise::HomeRegions, checks.homed, checks.abroad);
        }
    }

    /// Checks that no call that was under way between `from` and `to` was cut
    /// by a planned stop.
    pub fn check_stop(&mut self, books: &Books, from: Duration, to: Duration) {
        let under_way = |entry: &&Entry| entry.due <= to && entry.ended() >= from;
        for entry in books.entries().iter().filter(under_way) {
            let cut = matches!(
                entry.ending,
                Ending::Unknown(_) | Ending::Lost | Ending::Cut
            );
            self.add(Promise::Graceful, 1, cut.into());
        }
    }

    fn check_ending(&mut self, ending: &Ending, executions: u32) {
        match ending {
            Ending::Answered => self.add(Promise::WholeAnswers, 1, u64::from(executions == 0)),
            Ending::Mixed | Ending::Cut => self.add(Promise::WholeAnswers, 1, 1),
            Ending::Refused(_) => self.add(Promise::NotRun, 1, u64::from(executions > 0)),
            Ending::Unknown(_) | Ending::Lost => {}
        }
    }
}
