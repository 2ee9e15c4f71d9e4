//! The table of a comparison.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::tally::Tally;
use super::{Contender, Scenario, Settings};

/// Results by scenario and chooser.
#[derive(Debug)]
pub struct Report {
    deployment: String,
    seed: u64,
    rounds: u32,
    seconds: u32,
    tallies: BTreeMap<(Scenario, Contender), Tally>,
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Faults and load.
    pub scenario: String,
    /// Chooser.
    pub chooser: String,
    /// Calls measured.
    pub calls: u64,
    /// Median time to the answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Share of offered worth answered in time, in percent.
    pub worth_percent: f64,
    /// Share of calls answered in time by worth, in percent.
    pub by_worth_percent: BTreeMap<u32, f64>,
    /// Calls not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that failed more than a second after the start.
    pub settled_failed: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Extra attempts per 1,000 calls.
    pub extra_per_1000: f64,
    /// The same, without the first second.
    pub settled_extra_per_1000: f64,
    /// Kilobytes a second across regions, for each node.
    pub remote_kb_per_s: f64,
    /// Bytes a second spent on load reports and probes, for each node.
    pub measuring_bytes_per_s: f64,
    /// Calls a cold backend server got above its allowance.
    pub cold_overruns: u64,
    /// 99th percentile of how late the bench sent calls, in milliseconds.
    pub lag_p99_ms: f64,
}

/// The whole report for machines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// Whose zone names were used.
    pub deployment: String,
    /// Seed of arrivals, faults and choices.
    pub seed: u64,
    /// Turns of every chooser.
    pub rounds: u32,
    /// Measured seconds of one turn.
    pub seconds: u32,
    /// Lines of the table.
    pub rows: Vec<Row>,
}

impl Report {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            deployment: settings.deployment.to_string(),
            seed: settings.seed,
            rounds: settings.rounds,
            seconds: settings.seconds,
            tallies: BTreeMap::new(),
        }
    }

    pub(super) fn add(&mut self, scenario: Scenario, contender: Contender, tally: &Tally) {
        self.tallies
            .entry((scenario, contender))
            .or_default()
            .merge(tally);
    }

    /// Everything measured.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            deployment: self.deployment.clone(),
            seed: self.seed,
            rounds: self.rounds,
            seconds: self.seconds,
            rows: self.rows(),
        }
    }

    fn rows(&self) -> Vec<Row> {
        let tallies = self.tallies.iter();
        tallies
            .map(|(&(scenario, contender), tally)| row(scenario, contender, tally))
            .collect()
    }
}

fn row(scenario: Scenario, contender: Contender, tally: &Tally) -> Row {
    let percentile = |quantile| millis(tally.micros.value_at_quantile(quantile));
    Row {
        scenario: scenario.to_string(),
        chooser: contender.to_string(),
        calls: tally.calls,
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        p999_ms: percentile(0.999),
        worth_percent: 100.0 * ratio(worth(&tally.good), worth(&tally.offered)),
        by_worth_percent: by_worth(tally),
        refused: tally
            .refused
            .iter()
            .map(|(reason, &count)| (reason.to_string(), count))
            .collect(),
        failed: tally.failed,
        settled_failed: tally.settled_failed,
        late: tally.late,
        extra_per_1000: 1_000.0 * ratio(tally.retries, tally.calls),
        settled_extra_per_1000: 1_000.0 * ratio(tally.settled_retries, tally.settled_calls),
        remote_kb_per_s: ratio(tally.remote_bytes, tally.node_seconds) / 1e3,
        measuring_bytes_per_s: ratio(tally.measuring_bytes, tally.node_seconds),
        cold_overruns: tally.cold_overruns,
        lag_p99_ms: millis(tally.lag_micros.value_at_quantile(0.99)),
    }
}

fn by_worth(tally: &Tally) -> BTreeMap<u32, f64> {
    let share = |worth: u32, offered: u64| {
        let good = tally.good.get(&worth).copied().unwrap_or_default();
        100.0 * ratio(good, offered)
    };
    tally
        .offered
        .iter()
        .map(|(&worth, &offered)| (worth, share(worth, offered)))
        .collect()
}

fn worth(calls: &BTreeMap<u32, u64>) -> u64 {
    calls
        .iter()
        .map(|(&worth, count)| u64::from(worth) * count)
        .sum()
}

#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn millis(micros: u64) -> f64 {
    ratio(micros, 1_000)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "deployment {}, seed {}, {} turns of {} s each, choosers interleaved",
            self.deployment, self.seed, self.rounds, self.seconds
        )?;
        writeln!(
            f,
            "{:<14} {:<13} {:>7} {:>7} {:>7} {:>8} {:>8} {:>6} {:>7} {:>7} {:>6} {:>8} {:>9} {:>6} {:>6}",
            "scenario",
            "chooser",
            "calls",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "worth %",
            "failed",
            "extra‰",
            "after1s",
            "late",
            "rem kB/s",
            "meas B/s",
            "cold+",
            "lag99",
        )?;
        for row in self.rows() {
            write_row(f, &row)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    write!(
        f,
        "{:<14} {:<13} {:>7} {:>7.1} {:>7.1} {:>8.1} {:>8.3} {:>6} {:>7.2} {:>7.2} {:>6} {:>8.1} {:>9.0} {:>6} {:>6.1}",
        row.scenario,
        row.chooser,
        row.calls,
        row.p50_ms,
        row.p99_ms,
        row.p999_ms,
        row.worth_percent,
        row.failed,
        row.extra_per_1000,
        row.settled_extra_per_1000,
        row.late,
        row.remote_kb_per_s,
        row.measuring_bytes_per_s,
        row.cold_overruns,
        row.lag_p99_ms,
    )?;
    let refused = row.refused.iter();
    let refused: Vec<String> = refused
        .map(|(reason, count)| format!("{reason}:{count}"))
        .collect();
    writeln!(f, "  {}", refused.join(" "))
}
