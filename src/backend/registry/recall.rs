//! Decides whether a process may take work while this node may have forgotten that it left. Pure.
//!
//! A node that has just started asks what it acknowledged before. Until it knows, no process takes
//! work; a late report may be of one that has left. If nobody could tell, a process takes work once
//! its health endpoint says that it does not leave, or once it has reported for longer than a
//! report may be late.

use std::time::Duration;

use crate::clock::Time;
use crate::dialect::HealthReport;

/// Time for which a process has to report if its health endpoint does not confirm it.
const REPORTING_TIME: Duration = Duration::from_secs(5);

/// What a node knows of the departures that it acknowledged before its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recall {
    /// The store and the witnesses are being asked.
    #[default]
    Pending,
    /// Nobody could tell all of them.
    Incomplete(Evidence),
    /// All are known.
    Complete,
}

/// What speaks for the process that seems to be the backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    process: String,
    first_report_at: Option<Time>,
    is_confirmed: bool,
}

impl Recall {
    /// The store and the witnesses were asked, or cannot be reached.
    pub fn end(&mut self, is_complete: bool) {
        if is_complete {
            *self = Self::Complete;
        } else if *self == Self::Pending {
            *self = Self::Incomplete(Evidence::default());
        }
    }

    /// Takes in a report that was accepted.
    pub fn on_report(&mut self, now: Time, process: &str) {
        let Self::Incomplete(evidence) = self else {
            return;
        };
        evidence.set_process(process);
        let first = *evidence.first_report_at.get_or_insert(now);
        evidence.is_confirmed |= now.since(first) >= REPORTING_TIME;
    }

    /// Takes in an answer of the health endpoint.
    pub fn on_health(&mut self, health: &HealthReport) {
        let Self::Incomplete(evidence) = self else {
            return;
        };
        if let Some(process) = &health.process {
            evidence.set_process(process);
            evidence.is_confirmed |= health.healthy;
        }
    }

    /// Whether `process` may take work.
    #[must_use]
    pub fn admits(&self, process: &str) -> bool {
        match self {
            Self::Pending => false,
            Self::Incomplete(evidence) => evidence.is_confirmed && evidence.process == process,
            Self::Complete => true,
        }
    }
}

impl Evidence {
    fn set_process(&mut self, process: &str) {
        if self.process != process {
            *self = Self {
                process: process.to_owned(),
                ..Self::default()
            };
        }
    }
}
