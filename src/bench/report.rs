//! What a run shows: a table for people, one JSON object for programs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};

use serde::Serialize;

use super::promises::{Ledger, Promise};
use crate::standin::caller::{Books, Ending, Row};

/// The figures of one run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Calls made.
    pub calls: u64,
    /// Calls answered whole.
    pub answered: u64,
    /// Calls refused as not run.
    pub refused_not_run: u64,
    /// Calls that may have run.
    pub outcome_unknown: u64,
    /// Calls that nothing came back for.
    pub lost: u64,
    /// Violations of all promises.
    pub violations: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// Latency that 99% of the answers met.
    pub p99_ms: f64,
    /// Latency that 99.9% of the answers met.
    pub p999_ms: f64,
}

impl Figures {
    /// Figures of a row and a ledger.
    #[must_use]
    pub fn new(row: &Row, ledger: &Ledger) -> Self {
        Self {
            calls: row.calls,
            answered: row.answered,
            refused_not_run: row.refused_not_run,
            outcome_unknown: row.outcome_unknown,
            lost: row.lost,
            violations: ledger.violations(),
            p50_ms: rounded(row.percentile_ms(50.0)),
            p99_ms: rounded(row.percentile_ms(99.0)),
            p999_ms: rounded(row.percentile_ms(99.9)),
        }
    }

    /// Whether the run shows no violation and lost no call.
    #[must_use]
    pub const fn passes(&self) -> bool {
        self.violations == 0 && self.lost == 0
    }

    /// One JSON object on one line.
    #[must_use]
    pub fn to_json(&self) -> String {
        // The struct has neither maps nor fallible fields.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The tables of one run.
#[derive(Clone, Debug)]
pub struct Report<'a> {
    /// Books of the callers.
    pub books: &'a Books,
    /// Promises.
    pub ledger: &'a Ledger,
}

impl Report<'_> {
    /// The figures over all routes.
    #[must_use]
    pub fn figures(&self) -> Figures {
        Figures::new(&self.books.row(|_| true), self.ledger)
    }

    fn write_reasons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
        for entry in self.books.entries() {
            let reason = match &entry.ending {
                Ending::Refused(reason) => format!("not run: {reason}"),
                Ending::Unknown(reason) => format!("unknown: {reason}"),
                Ending::Answered | Ending::Lost | Ending::Mixed | Ending::Cut => continue,
            };
            *reasons.entry(reason).or_default() += 1;
        }
        if !reasons.is_empty() {
            writeln!(f, "\n{:<60} {:>8}", "calls without an answer", "calls")?;
        }
        for (reason, count) in reasons {
            writeln!(f, "{reason:<60} {count:>8}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("route                            calls answered  not run  unknown     lost")?;
        f.write_str("   p50 ms   p99 ms p99.9 ms\n")?;
        let kinds = self.books.kinds().iter();
        let routes: BTreeSet<&str> = kinds.map(|kind| kind.route.as_str()).collect();
        for route in routes {
            let row = self
                .books
                .row(|entry| self.books.kind(entry).route == route);
            write_row(f, route, &row)?;
        }
        write_row(f, "all", &self.books.row(|_| true))?;
        self.write_reasons(f)?;
        f.write_char('\n')?;
        f.write_str(
            "what must always hold                                         checked violated\n",
        )?;
        for promise in Promise::ALL {
            let tally = self.ledger.tally(promise);
            let name = promise.as_str();
            writeln!(f, "{name:<60} {:>8} {:>8}", tally.checked, tally.violated)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, row: &Row) -> fmt::Result {
    write!(f, "{name:<29} {:>8} {:>8}", row.calls, row.answered)?;
    write!(
        f,
        " {:>8} {:>8} {:>8}",
        row.refused_not_run, row.outcome_unknown, row.lost
    )?;
    for percent in [50.0, 99.0, 99.9] {
        write!(f, " {:>8.2}", row.percentile_ms(percent))?;
    }
    f.write_char('\n')
}

/// Rounds to a microsecond.
pub(super) fn rounded(millis: f64) -> f64 {
    (millis * 1e3).round() / 1e3
}
