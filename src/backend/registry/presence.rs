//! Which process is the backend server, by its own word. Pure.
//!
//! Reports may come late, twice, or from a process that has ended. A process is
//! told from another by its name and the time of its start; its reports are
//! ordered by their number. One that said that it leaves is never used again.
//!
//! The time of day may be set back between two starts under one name, so that the
//! later start states the earlier time. A start that seems to be gone is taken for
//! the backend server once it speaks twice in a row, without a word of the other.

use std::net::SocketAddr;
use std::time::Duration;

use crate::backend::Server;
use crate::dialect::HealthReport;
use crate::membership::direct::{DepartedProcess, DepartedProcesses};

/// Slots assumed of a process that was found by its health endpoint.
const SLOTS_UNTOLD: u32 = 8;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the process.
    pub process: String,
    /// When it was started, in milliseconds since 1970.
    pub born_ms: Option<u64>,
    /// Number of the report; grows with each.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: String,
    /// Version of its software; empty if it did not say.
    pub version: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls it can run at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it will be cold; `None` if it did not say.
    pub cold_for: Option<Duration>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// It is what this node believes now.
    Accepted,
    /// Something newer is known.
    Outdated,
    /// It is not of the backend server beside this node.
    Foreign,
}

impl Reaction {
    /// Name used in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Outdated => "outdated",
            Self::Foreign => "foreign",
        }
    }
}

/// What is known of the backend server.
#[derive(Debug)]
pub struct Presence {
    address: SocketAddr,
    known: Option<Known>,
    /// Number of its last report.
    sequence: Option<u64>,
    /// Last word of another start under its name that seems to be gone.
    contradiction: Option<Contradiction>,
    /// Start that the known one took the place of, if its time is the later one.
    superseded_ms: Option<u64>,
    departed: DepartedProcesses,
}

/// Word of a start that seems to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Contradiction {
    born_ms: u64,
    /// Number of the report; `None` for a farewell, which follows all reports.
    sequence: Option<u64>,
}

impl Contradiction {
    /// Whether the same start said this after `earlier`.
    fn repeats(self, earlier: Self) -> bool {
        let is_later = match (earlier.sequence, self.sequence) {
            (Some(earlier), Some(own)) => earlier < own,
            _ => true,
        };
        self.born_ms == earlier.born_ms && is_later
    }
}

/// One process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Name of the process.
    pub process: String,
    /// When it was started, in milliseconds since 1970.
    pub born_ms: Option<u64>,
    /// Service it belongs to.
    pub service: String,
    /// Version of its software; empty until it reports one.
    pub version: String,
    /// Calls it can run at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl Presence {
    /// Nothing is known of the backend server at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            known: None,
            sequence: None,
            contradiction: None,
            superseded_ms: None,
            departed: DepartedProcesses::default(),
        }
    }

    /// The process that is known, also while it leaves.
    #[must_use]
    pub const fn known(&self) -> Option<&Known> {
        self.known.as_ref()
    }

    /// The process that takes work.
    #[must_use]
    pub fn server(&self) -> Option<Server> {
        let known = self.known.as_ref().filter(|known| !known.leaving)?;
        Some(Server {
            service: known.service.clone(),
            version: known.version.clone(),
            process: Some(known.process.clone()),
        })
    }

    /// The process that departed last.
    #[must_use]
    pub fn last_departed(&self) -> Option<&DepartedProcess> {
        self.departed.last()
    }

    /// All processes that are known to have departed.
    #[must_use]
    pub const fn departed(&self) -> &DepartedProcesses {
        &self.departed
    }

    /// Takes over what this node acknowledged before it was started again.
    pub fn recall(&mut self, departed: DepartedProcess) {
        let is_known = self.known.as_ref().is_some_and(|known| {
            known.process == departed.process && departed.is_of(known.born_ms)
        });
        if is_known && let Some(known) = &mut self.known {
            known.leaving = true;
        }
        if !self.departed.contains(&departed.process, departed.born_ms) {
            self.departed.remember(departed);
        }
    }

    /// Takes in a report.
    pub fn report(&mut self, report: &Report) -> Reaction {
        if report.address != self.address {
            return Reaction::Foreign;
        }
        if self.departed.contains(&report.process, report.born_ms) {
            return if report.leaving {
                Reaction::Accepted
            } else {
                Reaction::Outdated
            };
        }
        if !self.is_news(report) {
            return self.remember_other(report);
        }
        self.supersede(&report.process, report.born_ms);
        self.sequence = Some(report.sequence);
        self.known = Some(Known {
            process: report.process.clone(),
            born_ms: report.born_ms,
            service: report.service.clone(),
            version: report.version.clone(),
            slots: report.slots,
            leaving: report.leaving,
        });
        if report.leaving {
            self.departed.remember(DepartedProcess {
                process: report.process.clone(),
                born_ms: report.born_ms,
            });
        }
        Reaction::Accepted
    }

    /// Remembers that a process under another name than the known one leaves, so that no late report
    /// of it brings it back.
    fn remember_other(&mut self, report: &Report) -> Reaction {
        let is_other = |known: &Known| known.process != report.process;
        if !report.leaving || !self.known.as_ref().is_some_and(is_other) {
            return Reaction::Outdated;
        }
        self.departed.remember(DepartedProcess {
            process: report.process.clone(),
            born_ms: report.born_ms,
        });
        Reaction::Accepted
    }

    /// Takes in that `process` leaves. `now_ms` is the time of day, which bounds
    /// the start of a process that did not say it.
    pub fn leave(&mut self, process: &str, born_ms: Option<u64>, now_ms: u64) -> Reaction {
        if let Some(born_ms) = born_ms
            && self.seems_gone(process, born_ms)
            && !self.is_repeated(born_ms, None)
        {
            return Reaction::Outdated;
        }
        self.supersede(process, born_ms);
        let known = self.known.as_mut().filter(|known| known.process == process);
        let known_ms = known.as_ref().and_then(|known| known.born_ms);
        if let Some(known) = known {
            known.born_ms = born_ms.or(known_ms);
            known.leaving = true;
        }
        self.departed.remember(DepartedProcess {
            process: process.to_owned(),
            born_ms: Some(born_ms.or(known_ms).unwrap_or(now_ms)),
        });
        Reaction::Accepted
    }

    /// Takes in an answer of the health endpoint. `service` is that of the
    /// settings, for a process that has not reported yet. Tells whether the
    /// answer is that of the known process.
    pub fn probed(&mut self, service: &str, health: &HealthReport) -> bool {
        let Some(process) = &health.process else {
            return false;
        };
        match &self.known {
            Some(known) if known.process == *process => true,
            Some(_) => {
                // Its service is not known before it reports.
                self.known = None;
                false
            }
            None if health.healthy && !self.departed.contains(process, None) => {
                self.known = Some(Known {
                    process: process.clone(),
                    born_ms: None,
                    service: service.to_owned(),
                    version: String::new(),
                    slots: health.slots.unwrap_or(SLOTS_UNTOLD),
                    leaving: false,
                });
                self.sequence = None;
                true
            }
            None => false,
        }
    }

    /// Another process answered at the address.
    pub fn misdirected(&mut self) {
        self.known = None;
    }

    /// Whether `report` is newer than what is known; remembers one that contradicts it.
    fn is_news(&mut self, report: &Report) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        if let Some(born_ms) = report.born_ms
            && self.seems_gone(&report.process, born_ms)
        {
            return self.is_repeated(born_ms, Some(report.sequence));
        }
        if let (Some(known), Some(born)) = (known.born_ms, report.born_ms)
            && known != born
        {
            return known < born;
        }
        if known.process != report.process {
            return true;
        }
        self.sequence.is_none_or(|last| last < report.sequence)
    }

    /// Whether the known process is another start under the same name, and the later one by all that
    /// was said so far.
    fn seems_gone(&self, process: &str, born_ms: u64) -> bool {
        let known = self.known.as_ref();
        let known = known.filter(|known| known.process == process);
        let Some(known_ms) = known.and_then(|known| known.born_ms) else {
            return false;
        };
        born_ms < known_ms || (born_ms > known_ms && self.superseded_ms == Some(born_ms))
    }

    /// Whether the start of this time has said something before, and the known process nothing since.
    /// Remembers the word.
    fn is_repeated(&mut self, born_ms: u64, sequence: Option<u64>) -> bool {
        let word = Contradiction { born_ms, sequence };
        let is_repeated = self
            .contradiction
            .is_some_and(|earlier| word.repeats(earlier));
        self.contradiction = Some(word);
        is_repeated
    }

    /// Prepares for an accepted word of the start of this time. The start whose place it takes may still
    /// have late words on their way.
    fn supersede(&mut self, process: &str, born_ms: Option<u64>) {
        self.contradiction = None;
        let known = self.known.as_ref();
        let known = known.filter(|known| known.process == process);
        let known_ms = known.and_then(|known| known.born_ms);
        if let (Some(known_ms), Some(born_ms)) = (known_ms, born_ms)
            && known_ms != born_ms
        {
            self.superseded_ms = (born_ms < known_ms).then_some(known_ms);
            self.sequence = None;
        }
    }
}
