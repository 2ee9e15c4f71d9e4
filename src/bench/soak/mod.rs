//! Runs a deployment of real processes under faults drawn from a seed.
//!
//! Nodes are killed, stopped and frozen by signals, and their connections pass
//! through forwarders that cut, hold and delay. What must hold under any of it
//! is checked on the books of callers and backend servers; after the last fault
//! all must be served again, with the newest sheet in force.

mod play;
pub mod schedule;
#[cfg(test)]
mod tests;

use std::io;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::demo::{Deployment, wait_until_announced, wait_until_in_force};
use super::fleet::{self, Fleet, Programs};
use super::operator::Operator;
use super::promises::{Ledger, Promise};
use super::report::Figures;
use super::traffic;
use crate::plan::Version;
use crate::standin::caller::{self, Books, Ending};

use play::Player;
use schedule::Disturbance;

/// Time after the last fault from which on calls must be answered again. Calls
/// of nodes that stood still may still be under way, and cut ones be retried.
const RECOVERY: Duration = Duration::from_secs(3);
/// Least share of the calls after it that are answered, in percent.
const RECOVERED_PERCENT: u64 = 99;
/// What must hold under any fault; the others bind only what a node can know.
const PROMISES: [Promise; 4] = [
    Promise::WholeAnswers,
    Promise::NotRun,
    Promise::AtMostOnce,
    Promise::HomeRegions,
];

/// What to run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Which deployment.
    pub deployment: Deployment,
    /// Time during which calls are made.
    pub duration: Duration,
    /// Mean number of calls a second.
    pub rate: f64,
}

/// What one seed showed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Outcome {
    /// Seed of the schedule.
    pub seed: u64,
    /// Disturbances played.
    pub disturbances: usize,
    /// What became of all calls.
    pub figures: Figures,
    /// What was violated; empty when all held.
    pub violated: Vec<&'static str>,
}

impl Outcome {
    /// Whether all held.
    #[must_use]
    pub const fn passes(&self) -> bool {
        self.violated.is_empty()
    }
}

/// Runs one seed.
///
/// # Errors
///
/// Fails when a process cannot be started or controlled.
pub async fn run(settings: &Settings, seed: u64) -> io::Result<Outcome> {
    let sheet = settings.deployment.sheet();
    let plan = sheet.plan(Version::default());
    let mut fleet = Fleet::start(fleet::Settings {
        programs: settings.programs.clone(),
        upstreams: traffic::upstreams(&plan, seed),
        node_flags: vec![format!("--seed={seed}")],
        wired: true,
    })
    .await?;
    let operator = Operator::new(fleet.store(), sheet);
    let version = operator.apply().await?;
    wait_until_in_force(&fleet, version).await?;
    wait_until_announced(&fleet).await?;
    let schedule = schedule::draw(seed, fleet.upstreams().len(), settings.duration);
    let calls = caller::Settings {
        targets: fleet.targets(),
        kinds: traffic::kinds(&plan),
        rate: settings.rate,
        duration: settings.duration,
        seed,
        ..caller::Settings::default()
    };
    let origin = Instant::now();
    let calling = caller::run(calls, origin, |_| ());
    let player = Player {
        fleet: &mut fleet,
        operator: &operator,
        origin,
    };
    let (books, calm_from) = tokio::join!(calling, player.play(&schedule));
    let calm_from = calm_from?;
    let violated = judge(&mut fleet, &operator, &books, calm_from).await?;
    Ok(outcome(seed, &schedule, &books, violated))
}

async fn judge(
    fleet: &mut Fleet,
    operator: &Operator,
    books: &Books,
    calm_from: Duration,
) -> io::Result<Vec<&'static str>> {
    let mut ledger = Ledger::default();
    ledger.check_calls(books, &fleet.executions().await?);
    ledger.check_backends(&fleet.checks().await?, calm_from);
    let broken = |promise: &Promise| ledger.tally(*promise).violated > 0;
    let promises = PROMISES.into_iter().filter(broken);
    let mut violated: Vec<&'static str> = promises.map(Promise::as_str).collect();
    if !has_recovered(books, calm_from) {
        violated.push("calls are answered again after the last fault");
    }
    let version = operator.apply().await?;
    if wait_until_in_force(fleet, version).await.is_err() {
        violated.push("the newest sheet is in force everywhere after the last fault");
    }
    if !fleet.stop().await.is_empty() {
        violated.push("every node ends gracefully");
    }
    Ok(violated)
}

fn has_recovered(books: &Books, calm_from: Duration) -> bool {
    let row = books.row(|entry| entry.due >= calm_from + RECOVERY);
    row.calls > 0 && row.answered * 100 >= row.calls * RECOVERED_PERCENT
}

fn outcome(
    seed: u64,
    schedule: &[Disturbance],
    books: &Books,
    violated: Vec<&'static str>,
) -> Outcome {
    let mut wrong = Ledger::default();
    let is_wrong = |ending: &Ending| matches!(ending, Ending::Mixed | Ending::Cut);
    let count = books
        .entries()
        .iter()
        .filter(|entry| is_wrong(&entry.ending));
    wrong.add(Promise::WholeAnswers, 0, count.count() as u64);
    Outcome {
        seed,
        disturbances: schedule.len(),
        figures: Figures::new(&books.row(|_| true), &wrong),
        violated,
    }
}
