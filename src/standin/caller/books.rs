//! What became of every call.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Ending, Kind};

const HIGHEST_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the request.
    pub id: String,
    /// Index of its kind.
    pub kind: usize,
    /// First address that it was sent to.
    pub target: Option<SocketAddr>,
    /// When it was due, since the start.
    pub due: Duration,
    /// Time from then to its ending.
    pub elapsed: Duration,
    /// How it ended.
    pub ending: Ending,
}

impl Entry {
    /// When it ended, since the start.
    #[must_use]
    pub fn ended(&self) -> Duration {
        self.due + self.elapsed
    }
}

/// Counts of some calls.
#[derive(Clone, Debug)]
pub struct Row {
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
    /// Answers that were cut or belonged to another request.
    pub wrong: u64,
    latency: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        let latency = Histogram::new_with_max(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the constants are in range");
        Self {
            calls: 0,
            answered: 0,
            refused_not_run: 0,
            outcome_unknown: 0,
            lost: 0,
            wrong: 0,
            latency,
        }
    }
}

impl Row {
    /// Counts one call.
    pub fn add(&mut self, entry: &Entry) {
        self.calls += 1;
        match entry.ending {
            Ending::Answered => self.add_answer(entry.elapsed),
            Ending::Refused(_) => self.refused_not_run += 1,
            Ending::Unknown(_) => self.outcome_unknown += 1,
            Ending::Lost => self.lost += 1,
            Ending::Mixed | Ending::Cut => self.wrong += 1,
        }
    }

    /// Latency in milliseconds that a share of the answers, in percent, met.
    #[must_use]
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        let micros = Duration::from_micros(self.latency.value_at_percentile(percent));
        micros.as_secs_f64() * 1e3
    }

    fn add_answer(&mut self, elapsed: Duration) {
        self.answered += 1;
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(HIGHEST_MICROS);
        self.latency.saturating_record(micros);
    }
}

/// Every call of a run.
#[derive(Clone, Debug, Default)]
pub struct Books {
    kinds: Vec<Kind>,
    entries: Vec<Entry>,
}

impl Books {
    /// Books of calls of these kinds.
    #[must_use]
    pub fn new(kinds: Vec<Kind>) -> Self {
        Self {
            kinds,
            entries: Vec::new(),
        }
    }

    /// Adds one call.
    pub fn add(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Calls in the order of their endings.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The kind of `entry`.
    #[must_use]
    pub fn kind(&self, entry: &Entry) -> &Kind {
        &self.kinds[entry.kind]
    }

    /// Kinds of calls.
    #[must_use]
    pub fn kinds(&self) -> &[Kind] {
        &self.kinds
    }

    /// Counts of the calls that `wanted` picks.
    #[must_use]
    pub fn row(&self, wanted: impl Fn(&Entry) -> bool) -> Row {
        let mut row = Row::default();
        for entry in self.entries.iter().filter(|entry| wanted(entry)) {
            row.add(entry);
        }
        row
    }
}
