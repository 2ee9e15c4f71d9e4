//! Decides whether a process may take work while this node may have forgotten that it left. Pure.
//!
//! A node that has just started asks what it acknowledged before. Until it hears of it, no process
//! takes work; a late report may be of one that has left. While not everybody has told, or if nobody
//! could, a process takes work once its health endpoint says that it does not leave, or once it has
//! reported for longer than a report may be late.

use std::time::Duration;

use crate::clock::Time;
use crate::dialect::HealthReport;

/// Time for which a process has to report if its health endpoint does not confirm it.
const REPORTING_TIME: Duration = Duration::from_secs(5);

/// What a node knows of the departures that it acknowledged before its start, and of its backend
/// server since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recall {
    knowledge: Knowledge,
    evidence: Evidence,
}

/// How much of the departures is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Knowledge {
    /// The store and the witnesses are being asked.
    #[default]
    Pending,
    /// Some may be missing.
    Partial,
    /// All are known.
    Complete,
}

/// What speaks for the process that seems to be the backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Evidence {
    process: String,
    first_report_at: Option<Time>,
    is_confirmed: bool,
}

impl Recall {
    /// The store and the witnesses have told something, or all, or cannot be reached.
    pub fn on_told(&mut self, is_complete: bool) {
        if is_complete {
            self.knowledge = Knowledge::Complete;
        } else if self.knowledge == Knowledge::Pending {
            self.knowledge = Knowledge::Partial;
        }
    }

    /// Takes in a report that was accepted.
    pub fn on_report(&mut self, now: Time, process: &str) {
        let evidence = self.evidence.of(process);
        let first = *evidence.first_report_at.get_or_insert(now);
        evidence.is_confirmed |= now.since(first) >= REPORTING_TIME;
    }

    /// Takes in an answer of the health endpoint.
    pub fn on_health(&mut self, health: &HealthReport) {
        if let Some(process) = &health.process {
            self.evidence.of(process).is_confirmed |= health.healthy;
        }
    }

    /// Whether `process` may take work.
    #[must_use]
    pub fn admits(&self, process: &str) -> bool {
        match self.knowledge {
            Knowledge::Pending => false,
            Knowledge::Partial => self.evidence.is_confirmed && self.evidence.process == process,
            Knowledge::Complete => true,
        }
    }
}

impl Evidence {
    /// The evidence for `process`; there is none yet if it is another one than before.
    fn of(&mut self, process: &str) -> &mut Self {
        if self.process != process {
            *self = Self {
                process: process.to_owned(),
                ..Self::default()
            };
        }
        self
    }
}
