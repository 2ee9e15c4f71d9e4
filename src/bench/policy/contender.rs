//! The choosers that are compared.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::routing::baseline::{Baseline, PowerOfTwoChoices, Random, RoundRobin};
use crate::routing::{Chooser, Location, Router, Settings};

/// One chooser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contender {
    /// Any backend server.
    Random,
    /// One after the other.
    RoundRobin,
    /// Least in flight of two, with reported load.
    LeastOfTwo,
    /// The router.
    Ours,
    /// One queue that knows everything: the limit of what can be reached.
    SharedQueue,
}

impl Contender {
    /// Every chooser.
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOfTwo,
        Self::Ours,
        Self::SharedQueue,
    ];

    /// Name in the table.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastOfTwo => "least-of-two",
            Self::Ours => "ours",
            Self::SharedQueue => "shared-queue",
        }
    }

    /// The chooser of one entry; none for the shared queue.
    pub(super) fn chooser(self, location: Location, seed: u64) -> Option<Box<dyn Chooser>> {
        let settings = loopback();
        match self {
            Self::Random => Some(Box::new(Baseline::new(Random, &settings, seed))),
            Self::RoundRobin => {
                let pick = RoundRobin::default();
                Some(Box::new(Baseline::new(pick, &settings, seed)))
            }
            Self::LeastOfTwo => Some(Box::new(Baseline::new(PowerOfTwoChoices, &settings, seed))),
            Self::Ours => Some(Box::new(Router::new(settings, location, seed))),
            Self::SharedQueue => None,
        }
    }
}

/// The latencies that hold on loopback, whatever zones the processes name.
fn loopback() -> Settings {
    Settings {
        zone_latency: Duration::from_micros(100),
        region_latency: Duration::from_micros(100),
        remote_latency: Duration::from_micros(100),
        ..Settings::default()
    }
}

impl FromStr for Contender {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|one| one.as_str() == name);
        known.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("no chooser is named {name}; use one of {names}")
        })
    }
}

impl fmt::Display for Contender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
