//! One run of a whole deployment, with everything that is meant to go wrong.

mod script;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use displaydoc::Display;

use super::fleet::{self, Fleet, Programs};
use super::monitor::{self, Monitor};
use super::operator::Operator;
use super::promises::{Ledger, Promise};
use super::traffic;
use crate::membership::INSTANCE_PREFIX;
use crate::plan::Version;
use crate::sheet::{Sheet, example};
use crate::standin::caller::{self, Books};
use crate::store::Client as _;
use crate::store::http::{self as store, Http};

use script::Script;

/// Longest wait for the first plan to be in force everywhere.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest run in which every disturbance has room.
pub const SHORTEST: Duration = Duration::from_secs(12);

/// An example deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Display)]
pub enum Deployment {
    /// farm
    #[default]
    Farm,
    /// society
    Society,
}

impl Deployment {
    /// Its sheet.
    #[must_use]
    pub fn sheet(self) -> Sheet {
        match self {
            Self::Farm => example::farm(),
            Self::Society => example::society(),
        }
    }
}

/// What to run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Which deployment.
    pub deployment: Deployment,
    /// Time during which calls are made, at least [`SHORTEST`].
    pub duration: Duration,
    /// Mean number of calls a second.
    pub rate: f64,
    /// Seed of every random choice.
    pub seed: u64,
}

/// What a run left.
#[derive(Clone, Debug)]
pub struct Run {
    /// Books of the callers.
    pub books: Books,
    /// Promises.
    pub ledger: Ledger,
}

/// Runs the deployment. `progress` is told the time of each call.
///
/// # Errors
///
/// Fails when a process cannot be started or controlled.
pub async fn run(settings: Settings, progress: impl FnMut(Duration)) -> io::Result<Run> {
    let started = Instant::now();
    let duration = settings.duration.max(SHORTEST);
    let sheet = settings.deployment.sheet();
    let plan = sheet.plan(Version::default());
    let mut fleet = Fleet::start(fleet::Settings {
        programs: settings.programs,
        upstreams: traffic::upstreams(&plan, settings.seed),
        node_flags: vec![format!("--seed={}", settings.seed)],
        wired: false,
    })
    .await?;
    let operator = Operator::new(fleet.store(), sheet);
    let monitor = Monitor::start();
    let version = operator.apply().await?;
    wait_until_in_force(&fleet, version).await?;
    wait_until_announced(&fleet).await?;
    watch_all(&fleet, &monitor, version);

    let calls = caller::Settings {
        targets: fleet.targets(),
        kinds: traffic::kinds(&plan),
        rate: settings.rate,
        duration,
        seed: settings.seed,
        ..caller::Settings::default()
    };
    let origin = Instant::now();
    let calling = caller::run(calls, origin, progress);
    let script = Script::new(&mut fleet, &monitor, operator, origin, duration);
    let (books, planned) = tokio::join!(calling, script.play());
    let planned = planned?;

    let mut ledger = monitor.ledger();
    drop(monitor);
    ledger.check_calls(&books, &fleet.executions().await?);
    ledger.check_backends(&fleet.checks().await?, started.elapsed());
    ledger.check_stop(&books, planned.from, planned.to);
    ledger.add(Promise::Graceful, 1, u64::from(!planned.succeeded));
    let nodes = fleet.targets().len() as u64;
    let failed = fleet.stop().await.len() as u64;
    ledger.add(Promise::Graceful, nodes, failed);
    Ok(Run { books, ledger })
}

/// Waits until every node has `version` in force.
///
/// # Errors
///
/// Fails when that takes too long.
pub async fn wait_until_in_force(fleet: &Fleet, version: Version) -> io::Result<()> {
    let nodes = fleet.upstreams().iter();
    let waiting = nodes.map(|upstream| wait_until_node_has(upstream.ready.control, version));
    futures::future::try_join_all(waiting).await?;
    Ok(())
}

/// Waits until every node knows every other, and the store has the
/// announcement of each.
///
/// # Errors
///
/// Fails when that takes too long.
pub async fn wait_until_announced(fleet: &Fleet) -> io::Result<()> {
    let announced = async {
        while !all_are_announced(fleet).await {
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, announced).await;
    waited.map_err(|_| io::Error::other("the nodes do not all know each other in time"))
}

async fn all_are_announced(fleet: &Fleet) -> bool {
    let expected = fleet.upstreams().len();
    let store = Http::new(fleet.store(), store::Settings::default());
    let listing = store.list(INSTANCE_PREFIX).await;
    if listing.map_or(0, |listing| listing.records.len()) < expected {
        return false;
    }
    for node in fleet.upstreams().iter().filter_map(|up| up.ready.control) {
        let status = monitor::status(node).await;
        if status.map_or(0, |status| status.instances as usize) < expected {
            return false;
        }
    }
    true
}

/// Waits until a node has `version` in force.
///
/// # Errors
///
/// Fails when that takes too long.
pub async fn wait_until_node_has(node: Option<SocketAddr>, version: Version) -> io::Result<()> {
    let waiting = async {
        while !has_in_force(node, version).await {
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(START_TIMEOUT, waiting).await;
    waited.map_err(|_| io::Error::other("the plan is not in force everywhere in time"))
}

async fn has_in_force(node: Option<SocketAddr>, version: Version) -> bool {
    let Some(node) = node else { return true };
    let status = monitor::status(node).await;
    status.is_ok_and(|status| status.plan_version >= version)
}

fn watch_all(fleet: &Fleet, monitor: &Monitor, version: Version) {
    let nodes = fleet.upstreams().iter().filter_map(|up| up.ready.control);
    nodes.for_each(|node| monitor.watch(node));
    monitor.expect(version);
}
