//! Gradual roll-outs of a version of a service, with automatic rollback.
//!
//! An operator orders that a service moves to the backend servers of a target version. Gates
//! record the answers of their backend servers ([`Evidence`]) and report them to a coordinator,
//! whose [`Controller`] compares the versions route by route, on the same load at the same time.
//! The target version first gets a small share of the calls (canary). It is rolled back once a
//! sequential test shows more failures or slower answers than the old version has. Otherwise all
//! calls move to it near the end of the period (cutover), and the roll-out is done when the old
//! version has no call left. Entries follow the coordinator's directive ([`Split`]); without a
//! fresh one they use the old version only.
//!
//! The code does no I/O. docs/design/rollout.md describes messages and failures.

mod controller;
mod evidence;
mod judge;
mod latency;
mod settings;
mod split;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use controller::Controller;
pub use evidence::{Evidence, RouteTally, VersionReport};
pub use judge::{Fault, Judge, Symptom};
pub use latency::Histogram;
pub use settings::Settings;
pub use split::{Lane, Split};

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The target version gets a small share of the calls.
    Canary,
    /// The target version gets all calls while the old version finishes what it has.
    Cutover,
    /// The old version is not used any more.
    Done,
    /// The target version is not used any more.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }

    /// Name used in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Cutover => "cutover",
            Self::Done => "done",
            Self::RolledBack => "rolled back",
        }
    }
}

/// How entries and gates treat the versions of one service, as its coordinator decides.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Directive {
    /// Service that is rolled out.
    pub service: String,
    /// Version that the service moves to.
    pub target_version: String,
    /// Phase of the roll-out.
    pub phase: Phase,
    /// Share of the calls for the target version, 0 to 1.
    pub share: f64,
    /// Whether only idempotent calls go to the target version.
    pub idempotent_only: bool,
    /// Whether a cutover is near or in progress, so that nodes should report more often.
    #[serde(default)]
    pub is_urgent: bool,
}

impl Directive {
    /// Whether a backend server of `version` takes no calls.
    #[must_use]
    pub fn excludes(&self, version: &str) -> bool {
        let is_target = version == self.target_version;
        match self.phase {
            Phase::Canary => false,
            Phase::Cutover | Phase::Done => !is_target,
            Phase::RolledBack => is_target,
        }
    }
}

/// State of a roll-out as operators read it in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The versions are compared.
    Running,
    /// The service has moved to the target version.
    Done,
    /// The target version was found to be bad.
    RolledBack,
}

impl State {
    /// The phase from which a coordinator continues.
    #[must_use]
    pub const fn phase(self) -> Phase {
        match self {
            Self::Running => Phase::Canary,
            Self::Done => Phase::Done,
            Self::RolledBack => Phase::RolledBack,
        }
    }
}

/// Status of a roll-out in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Service that is rolled out.
    pub service: String,
    /// Version that the service moves to.
    pub target_version: String,
    /// How far it is.
    pub state: State,
}
