//! One turn of one chooser.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::membership::ClusterSnapshot;
use crate::routing::Location;

use super::arrivals::{self, Arrival};
use super::entry::{Entry, Remote};
use super::faults::Faults;
use super::fleet::{self, Standin, Stopwatch};
use super::link::Link;
use super::reports::Reports;
use super::shared::{self, Shared};
use super::tally::Tally;
use super::{Contender, Scenario, Settings};

/// Time between an accepted change of the plan and the slowest entry's knowledge
/// of it, in milliseconds.
const PLAN_DELAY_MS: u64 = 300;
/// How often an entry looks for something to probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for calls that are still running at the end of a block.
const SETTLE: Duration = Duration::from_secs(2);

/// Everything one turn needs.
struct Block<'a> {
    settings: &'a Settings,
    scenario: Scenario,
    contender: Contender,
    seed: u64,
    stopwatch: Stopwatch,
    tally: Arc<Mutex<Tally>>,
    standins: Vec<Standin>,
}

/// Runs one turn and returns what its callers saw.
pub(super) async fn run(
    settings: &Settings,
    scenario: Scenario,
    contender: Contender,
    round: u32,
) -> Result<Tally> {
    let stop = CancellationToken::new();
    let stopwatch = Stopwatch::start();
    let seed = settings
        .seed
        .wrapping_mul(1_000_003)
        .wrapping_add(round.into());
    let mut standins = Vec::new();
    for (index, zone) in settings.deployment.zones().into_iter().enumerate() {
        let faults = Faults::draw(scenario, settings.seconds, index, seed);
        standins.push(Standin::start(zone, faults, stopwatch, stop.clone()).await?);
    }
    let block = Block {
        settings,
        scenario,
        contender,
        seed,
        stopwatch,
        tally: Arc::default(),
        standins,
    };
    block.play().await?;
    stop.cancel();
    Ok(block.finish())
}

impl Block<'_> {
    async fn play(&self) -> Result<()> {
        let count = self.standins.len();
        let arrivals = arrivals::draw(self.scenario, self.settings.seconds, count, self.seed);
        if self.contender == Contender::SharedQueue {
            let shared = self.shared().await?;
            self.feed(arrivals, |_, arrival| {
                shared.arrive(arrival);
                std::future::ready(())
            })
            .await;
            tokio::time::sleep(SETTLE / 2).await;
            return Ok(());
        }
        let entries = self.entries().await?;
        let background = self.background(&entries);
        self.feed(arrivals, |index, arrival| {
            Arc::clone(&entries[index]).call(arrival)
        })
        .await;
        drop(background);
        Ok(())
    }

    /// Starts each call at its time and waits for the last ones.
    async fn feed<F>(&self, arrivals: Vec<Arrival>, start: impl Fn(usize, Arrival) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut calls = JoinSet::new();
        for arrival in arrivals {
            self.stopwatch.sleep_until(arrival.at).await;
            let lag = self.stopwatch.now().since(arrival.at);
            self.tally().lagged(lag);
            calls.spawn(start(arrival.entry, arrival));
            while calls.try_join_next().is_some() {}
        }
        let all = async { while calls.join_next().await.is_some() {} };
        // Calls that take longer are lost to their callers, and counted by none.
        let _ = tokio::time::timeout(SETTLE, all).await;
    }

    async fn entries(&self) -> Result<Vec<Arc<Entry>>> {
        let snapshot = fleet::snapshot(self.settings.deployment, &self.standins, None);
        let mut entries = Vec::new();
        for (index, standin) in (0_u64..).zip(&self.standins) {
            let location = Location {
                instance: standin.zone.into(),
                region: standin.region().into(),
                zone: standin.zone.into(),
            };
            let seed = self.seed.wrapping_add(index);
            let Some(chooser) = self.contender.chooser(location, seed) else {
                continue;
            };
            let entry = Entry {
                region: standin.region().into(),
                links: self.links().await?,
                stopwatch: self.stopwatch,
                tally: Arc::clone(&self.tally),
                chooser: Mutex::new(chooser),
                reports: Mutex::new(Reports::new(self.scenario, seed)),
            };
            entry.update(&snapshot);
            entries.push(Arc::new(entry));
        }
        Ok(entries)
    }

    async fn links(&self) -> Result<BTreeMap<String, Remote>> {
        let mut links = BTreeMap::new();
        for standin in &self.standins {
            let link = Arc::new(Link::connect(standin.address).await?);
            let region = standin.region().into();
            links.insert(standin.zone.into(), Remote { region, link });
        }
        Ok(links)
    }

    async fn shared(&self) -> Result<Arc<Shared>> {
        let mut servers = Vec::new();
        for (index, standin) in self.standins.iter().enumerate() {
            let faults = Faults::draw(self.scenario, self.settings.seconds, index, self.seed);
            servers.push((Arc::new(Link::connect(standin.address).await?), faults));
        }
        Ok(Arc::new(Shared {
            stopwatch: self.stopwatch,
            tally: Arc::clone(&self.tally),
            state: Mutex::new(shared::State::new(servers.into_iter())),
        }))
    }

    /// Probes and changes of the plan, until the returned set is dropped.
    fn background(&self, entries: &[Arc<Entry>]) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for entry in entries {
            tasks.spawn(probe(Arc::clone(entry)));
        }
        if self.scenario == Scenario::ZoneOut {
            let mut random = ChaCha8Rng::seed_from_u64(self.seed);
            for entry in entries {
                let delay = Duration::from_millis(random.random_range(0..PLAN_DELAY_MS));
                tasks.spawn(self.change_plan(Arc::clone(entry), delay));
            }
        }
        tasks
    }

    fn change_plan(&self, entry: Arc<Entry>, delay: Duration) -> impl Future<Output = ()> + use<> {
        let deployment = self.settings.deployment;
        let zone = self.standins[0].zone;
        let out: ClusterSnapshot = fleet::snapshot(deployment, &self.standins, Some(zone));
        let back = fleet::snapshot(deployment, &self.standins, None);
        let span = self.scenario.fault(self.settings.seconds);
        let stopwatch = self.stopwatch;
        async move {
            stopwatch.sleep_until(span.start + delay).await;
            entry.update(&out);
            stopwatch.sleep_until(span.end + delay).await;
            entry.update(&back);
        }
    }

    fn finish(self) -> Tally {
        let mut tally = std::mem::take(&mut *self.tally());
        let overruns = self.standins.iter().map(|one| one.server.cold_overruns());
        tally.cold_overruns = overruns.sum();
        let nodes = u64::try_from(self.standins.len()).unwrap_or(u64::MAX);
        tally.node_seconds = nodes * u64::from(self.settings.seconds);
        tally
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn probe(entry: Arc<Entry>) {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    loop {
        interval.tick().await;
        Arc::clone(&entry).probe().await;
    }
}
