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
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::demo::{Deployment, wait_until_announced, wait_until_in_force};
use super::fleet::{self, Fleet, Programs};
use super::operator::Operator;
use super::promises::{Ledger, Promise};
use super::report::Figures;
use super::traffic;
use crate::plan::Version;
use crate::standin::caller::{self, Books, Ending};

use play::Player;
use schedule::CALM;

/// Time after the last fault from which on calls must be answered again. Calls
/// of nodes that stood still may still be under way, and cut ones be retried.
const RECOVERY: Duration = Duration::from_secs(3);
/// Longest time by which graceful stops may put off the last fault.
const OVERTIME: Duration = Duration::from_mins(1);
/// Least share of the calls after it that are answered, in percent.
const RECOVERED_PERCENT: u64 = 99;
/// Most calls that are shown of those that show a violation.
const SEEN_MAX: usize = 5;
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
    /// Some of the calls that were not answered after the last fault.
    pub unanswered: Vec<String>,
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
        duration: settings.duration + OVERTIME,
        seed,
        ..caller::Settings::default()
    };
    let origin = Instant::now();
    let stop = CancellationToken::new();
    let calling = caller::run_until(calls, origin, &stop, |_| ());
    let player = Player {
        fleet: &mut fleet,
        operator: &operator,
        origin,
    };
    let playing = async {
        let calm_from = player.play(&schedule).await;
        tokio::time::sleep(CALM).await;
        stop.cancel();
        calm_from
    };
    let (books, calm_from) = tokio::join!(calling, playing);
    let calm_from = calm_from?;
    let violated = judge(&mut fleet, &operator, &books, calm_from).await?;
    let unanswered = unanswered(&fleet, &books, calm_from);
    Ok(Outcome {
        seed,
        disturbances: schedule.len(),
        figures: figures(&books),
        violated,
        unanswered,
    })
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

/// Calls after the recovery that were not answered, a line each.
fn unanswered(fleet: &Fleet, books: &Books, calm_from: Duration) -> Vec<String> {
    let late = books
        .entries()
        .iter()
        .filter(|entry| entry.due >= calm_from + RECOVERY && entry.ending != Ending::Answered);
    let line = |entry: &caller::Entry| {
        let node = entry.target.and_then(|target| name(fleet, target));
        format!(
            "call {} of {} at {}, due {:.3} s after the start, {:.3} s after the last fault: {:?} after {:.3} s",
            entry.id,
            books.kind(entry).route,
            node.as_deref().unwrap_or("an unknown node"),
            entry.due.as_secs_f64(),
            entry.due.saturating_sub(calm_from).as_secs_f64(),
            entry.ending,
            entry.elapsed.as_secs_f64(),
        )
    };
    late.take(SEEN_MAX).map(line).collect()
}

/// Name of the node that takes calls at `address`.
fn name(fleet: &Fleet, address: SocketAddr) -> Option<String> {
    let mut upstreams = fleet.upstreams().iter();
    let wire = |wires: &fleet::Wires| wires.caller.address() == address;
    let found = upstreams.find(|upstream| upstream.wires.as_ref().is_some_and(wire))?;
    Some(found.place.instance())
}

fn figures(books: &Books) -> Figures {
    let mut wrong = Ledger::default();
    let is_wrong = |ending: &Ending| matches!(ending, Ending::Mixed | Ending::Cut);
    let count = books
        .entries()
        .iter()
        .filter(|entry| is_wrong(&entry.ending));
    wrong.add(Promise::WholeAnswers, 0, count.count() as u64);
    Figures::new(&books.row(|_| true), &wrong)
}
