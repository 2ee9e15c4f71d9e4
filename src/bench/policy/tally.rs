//! What one chooser's callers saw.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::Reason;
use crate::clock::Time;

use super::arrivals::{Arrival, DEADLINE};
use super::scenario::WARM_UP;

/// Time after the start of a fault that is counted apart.
const FIRST: Duration = Duration::from_secs(1);

/// How one call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// With an answer.
    Answered,
    /// Without being run.
    Refused(Reason),
    /// With an error.
    Failed,
}

/// Counts of one chooser in one scenario.
#[derive(Debug)]
pub struct Tally {
    pub(super) micros: Histogram<u64>,
    pub(super) lag_micros: Histogram<u64>,
    pub(super) calls: u64,
    pub(super) offered: BTreeMap<u32, u64>,
    pub(super) good: BTreeMap<u32, u64>,
    pub(super) refused: BTreeMap<Reason, u64>,
    pub(super) failed: u64,
    pub(super) late: u64,
    pub(super) retries: u64,
    pub(super) settled_calls: u64,
    pub(super) settled_retries: u64,
    pub(super) settled_failed: u64,
    pub(super) remote_bytes: u64,
    pub(super) measuring_bytes: u64,
    pub(super) cold_overruns: u64,
    pub(super) node_seconds: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            micros: histogram(),
            lag_micros: histogram(),
            calls: 0,
            offered: BTreeMap::new(),
            good: BTreeMap::new(),
            refused: BTreeMap::new(),
            failed: 0,
            late: 0,
            retries: 0,
            settled_calls: 0,
            settled_retries: 0,
            settled_failed: 0,
            remote_bytes: 0,
            measuring_bytes: 0,
            cold_overruns: 0,
            node_seconds: 0,
        }
    }
}

/// Microseconds up to a minute, three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds are valid")
}

impl Tally {
    pub(super) fn ended(&mut self, arrival: &Arrival, elapsed: Duration, end: End) {
        if !is_measured(arrival) {
            return;
        }
        self.calls += 1;
        self.settled_calls += u64::from(is_settled(arrival));
        *self.offered.entry(arrival.worth).or_default() += 1;
        match end {
            End::Answered => self.answered(arrival, elapsed),
            End::Refused(reason) => *self.refused.entry(reason).or_default() += 1,
            End::Failed => {
                self.failed += 1;
                self.settled_failed += u64::from(is_settled(arrival));
            }
        }
    }

    pub(super) fn retried(&mut self, arrival: &Arrival) {
        self.retries += u64::from(is_measured(arrival));
        self.settled_retries += u64::from(is_settled(arrival));
    }

    /// Counts the bytes of a call to another region.
    pub(super) fn sent_away(&mut self, arrival: &Arrival, bytes: u64) {
        if is_measured(arrival) {
            self.remote_bytes += bytes;
        }
    }

    /// Counts the bytes of a load report or a probe.
    pub(super) fn measured_load(&mut self, now: Time, bytes: usize) {
        if now >= Time::ZERO + WARM_UP {
            self.measuring_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Notes how late the bench itself was.
    pub(super) fn lagged(&mut self, lag: Duration) {
        self.lag_micros.saturating_record(micros(lag));
    }

    pub(super) fn merge(&mut self, other: &Self) {
        let _ = self.micros.add(&other.micros);
        let _ = self.lag_micros.add(&other.lag_micros);
        add(&mut self.offered, &other.offered);
        add(&mut self.good, &other.good);
        add(&mut self.refused, &other.refused);
        self.calls += other.calls;
        self.failed += other.failed;
        self.late += other.late;
        self.retries += other.retries;
        self.settled_calls += other.settled_calls;
        self.settled_retries += other.settled_retries;
        self.settled_failed += other.settled_failed;
        self.remote_bytes += other.remote_bytes;
        self.measuring_bytes += other.measuring_bytes;
        self.cold_overruns += other.cold_overruns;
        self.node_seconds += other.node_seconds;
    }

    fn answered(&mut self, arrival: &Arrival, elapsed: Duration) {
        self.micros.saturating_record(micros(elapsed));
        if elapsed <= DEADLINE {
            *self.good.entry(arrival.worth).or_default() += 1;
        } else {
            self.late += 1;
        }
    }
}

fn is_measured(arrival: &Arrival) -> bool {
    arrival.at >= Time::ZERO + WARM_UP
}

fn is_settled(arrival: &Arrival) -> bool {
    arrival.at >= Time::ZERO + WARM_UP + FIRST
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn add<K: Ord + Copy>(sums: &mut BTreeMap<K, u64>, other: &BTreeMap<K, u64>) {
    for (&key, count) in other {
        *sums.entry(key).or_default() += count;
    }
}
