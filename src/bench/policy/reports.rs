//! How load reports reach a chooser.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gate::LoadReport;
use crate::routing::{Event, key};

use super::entry::Entry;
use super::scenario::{SLOTS, Scenario};

/// Delay of reports in the scenario of stale reports.
const DELAY: Duration = Duration::from_millis(100);
/// One report in this many misleads there.
const MISLEADING_ONE_IN: u64 = 10;

/// Delays and falsifies reports where the scenario says so.
pub(super) struct Reports {
    stale: bool,
    random: ChaCha8Rng,
}

impl Reports {
    pub(super) fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            stale: scenario == Scenario::StaleReports,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Hands `load` to the chooser of `entry`, now or later.
    pub(super) fn deliver(&mut self, entry: &Arc<Entry>, backend: key::Backend, load: LoadReport) {
        if !self.stale {
            entry.observe(backend, &Event::Report(load));
            return;
        }
        let load = self.mislead(load);
        let entry = Arc::clone(entry);
        tokio::spawn(async move {
            tokio::time::sleep(DELAY).await;
            entry.observe(backend, &Event::Report(load));
        });
    }

    fn mislead(&mut self, load: LoadReport) -> LoadReport {
        if self.random.random_range(0..MISLEADING_ONE_IN) > 0 {
            return load;
        }
        LoadReport {
            in_hand: self.random.random_range(0..=SLOTS),
            queued: self.random.random_range(0..=SLOTS),
            ..load
        }
    }
}
