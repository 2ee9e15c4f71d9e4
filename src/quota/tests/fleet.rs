//! Entries, reports and coordinators in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::plan::RateLimit;
use crate::quota::{Counts, Ledger, Meter};

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const EARLY_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which an entry passes a coordinator over that did not reply.
const SILENT_COORDINATOR_PAUSE: Duration = Duration::from_secs(2);
/// Window of the operators' rule, and what it adds to a limit.
const WINDOW: Duration = Duration::from_secs(5);
const RULE_FACTOR: f64 = 1.1;
const RULE_SLACK: f64 = 20.0;
const TENANT: &str = "mill";

/// One load and what fails under it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub nodes: usize,
    /// Entries at which the tenant's callers arrive.
    pub entries: usize,
    pub limit: RateLimit,
    /// Calls a second before and from `hot_from` on.
    pub usual_per_s: f64,
    pub hot_per_s: f64,
    pub hot_from: Duration,
    /// A coordinator dies; the next one starts anew after a second.
    pub coordinator_dies: Option<Duration>,
    /// Entries from this one on have a coordinator of their own, from half of the time on.
    pub cut_from: Option<usize>,
    /// Calls move to the last entries at this time.
    pub callers_move: Option<Duration>,
    /// Processes that are killed and started again, the coordinator's among them.
    pub killed: Option<Killed>,
    pub length: Duration,
}

/// Processes killed at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Killed {
    pub at: Duration,
    /// The first so many nodes; the coordinator is beside the first entry.
    pub nodes: usize,
    /// Time until they are started again.
    pub down_for: Duration,
}

impl Killed {
    fn is_down(&self, elapsed: Duration) -> bool {
        elapsed >= self.at && elapsed < self.at + self.down_for
    }
}

/// What ran.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub asked: f64,
    pub ran: f64,
    /// Most that ran in a window, as a part of what the rule allows.
    pub worst_window: f64,
    /// Calls that asked and ran in the last third.
    pub late_asked: f64,
    pub late_ran: f64,
}

struct Entry {
    meter: Meter,
    next_report: Duration,
    reported: Duration,
    /// Until then the first coordinator is passed over.
    passes_over_until: Duration,
}

impl Entry {
    fn start(at: Duration, rng: &mut ChaCha8Rng) -> Self {
        Self {
            meter: Meter::default(),
            next_report: at + EARLY_REPORT_INTERVAL.mul_f64(rng.random()),
            reported: at,
            passes_over_until: Duration::ZERO,
        }
    }
}

impl Load {
    pub(super) fn play(&self, seed: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut outcome = Outcome::default();
        let mut ledgers = [Ledger::default(), Ledger::default()];
        let mut entries: Vec<Entry> = (0..self.nodes)
            .map(|_| Entry::start(Duration::ZERO, &mut rng))
            .collect();
        let mut window: VecDeque<(Duration, u32)> = VecDeque::new();
        let mut elapsed = Duration::ZERO;
        while elapsed < self.length {
            elapsed += STEP;
            let now = Time::from_millis(1_000) + elapsed;
            if self
                .coordinator_dies
                .is_some_and(|at| elapsed >= at && elapsed < at + STEP)
            {
                ledgers = [Ledger::default(), Ledger::default()];
            }
            let is_down = self
                .coordinator_dies
                .is_some_and(|at| elapsed >= at && elapsed < at + Duration::from_secs(1));
            let is_cut = elapsed >= self.length / 2;
            let down = self.killed.filter(|killed| killed.is_down(elapsed));
            let down = down.map_or(0, |killed| killed.nodes);
            if down > 0 {
                ledgers[0] = Ledger::default();
                for entry in &mut entries[..down] {
                    *entry = Entry::start(elapsed, &mut rng);
                }
                // The process beside the coordinator asks the others first.
                entries[0].passes_over_until = elapsed + EARLY_REPORT_INTERVAL;
            }
            let mut ran = 0;
            for call in self.calls(elapsed, &mut rng) {
                if call < down {
                    continue;
                }
                let entry = &mut entries[call];
                let admitted = entry
                    .meter
                    .admit(now, TENANT, self.limit, self.nodes)
                    .is_ok();
                ran += u32::from(admitted);
                if entry.meter.is_report_overdue(now, TENANT) {
                    entry.next_report = entry
                        .next_report
                        .min(entry.reported + EARLY_REPORT_INTERVAL);
                }
                outcome.asked += 1.0;
                if elapsed > self.length * 2 / 3 {
                    outcome.late_asked += 1.0;
                    outcome.late_ran += f64::from(u8::from(admitted));
                }
            }
            outcome.ran += f64::from(ran);
            window.push_back((elapsed, ran));
            while window
                .front()
                .is_some_and(|(at, _)| *at + WINDOW <= elapsed)
            {
                window.pop_front();
            }
            let in_window: u32 = window.iter().map(|(_, ran)| ran).sum();
            let seconds = WINDOW.as_secs_f64();
            let allowed =
                (self.limit.per_s * seconds + self.limit.burst) * RULE_FACTOR + RULE_SLACK;
            outcome.worst_window = outcome.worst_window.max(f64::from(in_window) / allowed);
            for (number, entry) in entries.iter_mut().enumerate() {
                if elapsed < entry.next_report || is_down || number < down {
                    continue;
                }
                if down > 0 && elapsed >= entry.passes_over_until {
                    entry.passes_over_until = elapsed + SILENT_COORDINATOR_PAUSE;
                }
                entry.reported = elapsed;
                entry.next_report = elapsed + REPORT_INTERVAL;
                let is_beyond_cut = is_cut && self.cut_from.is_some_and(|cut| number >= cut);
                let side = usize::from(is_beyond_cut || elapsed < entry.passes_over_until);
                let standings = entry.meter.standings(now);
                let (usage, period) = entry.meter.take_usage(now);
                let counts = Counts {
                    usage: &usage,
                    period,
                    standings: &standings,
                };
                let ledger = &mut ledgers[side];
                ledger.on_report(now, &number.to_string(), counts, self.nodes, |_| {
                    Some(self.limit)
                });
                let restrictions = ledger.restrictions(now, self.nodes);
                entry.meter.on_reply(now, &restrictions);
            }
        }
        outcome
    }

    /// Entries at which calls arrive in this step.
    fn calls(&self, elapsed: Duration, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let is_hot = elapsed >= self.hot_from;
        let per_s = if is_hot {
            self.hot_per_s
        } else {
            self.usual_per_s
        };
        let mut expected = per_s * STEP.as_secs_f64();
        let mut calls = Vec::new();
        let moved = self.callers_move.is_some_and(|at| elapsed >= at);
        while expected > 0.0 {
            if rng.random_bool(expected.min(1.0)) {
                let entry = rng.random_range(0..self.entries);
                calls.push(if moved { self.nodes - 1 - entry } else { entry });
            }
            expected -= 1.0;
        }
        calls
    }
}
