//! Drives nodes that run already.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::demo::{Deployment, Run};
use super::promises::Ledger;
use super::traffic;
use crate::plan::Version;
use crate::standin::caller::{self, Target};

/// What to drive.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses for callers.
    pub targets: Vec<SocketAddr>,
    /// Deployment whose routes are called.
    pub deployment: Deployment,
    /// Time during which calls are made.
    pub duration: Duration,
    /// Mean number of calls a second.
    pub rate: f64,
    /// Protocol towards the nodes.
    pub protocol: caller::Protocol,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Makes the calls. `progress` is told the time of each call.
pub async fn run(settings: Settings, progress: impl FnMut(Duration)) -> Run {
    let plan = settings.deployment.sheet().plan(Version::default());
    let targets = settings.targets.iter().map(|address| Target {
        address: *address,
        region: None,
    });
    let calls = caller::Settings {
        targets: targets.collect(),
        kinds: traffic::kinds(&plan),
        rate: settings.rate,
        duration: settings.duration,
        protocol: settings.protocol,
        seed: settings.seed,
    };
    let books = caller::run(calls, Instant::now(), progress).await;
    let mut ledger = Ledger::default();
    ledger.check_answers(&books);
    Run { books, ledger }
}
