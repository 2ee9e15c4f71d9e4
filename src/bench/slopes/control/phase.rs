//! The phases of one measurement.

use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::time::sleep;

use super::deployment::{Deployment, first_zone};
use super::reading::{Reading, Usage, as_float, counters};
use super::status;
use crate::bench::demo::wait_until_in_force;
use crate::bench::fleet::Fleet;
use crate::bench::operator::Operator;
use crate::plan::Version;
use crate::standin::store::Counters;

const SETTLE: Duration = Duration::from_secs(6);
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const EVACUATION: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(500);

/// Costs while nothing happens.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Steady {
    /// Calls of the store.
    pub store: Rates,
    /// Nodes that are no relays.
    pub member: Usage,
    /// Relays.
    pub relay: Usage,
}

/// Calls of the store a second.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Rates {
    /// Reads, lists and watches.
    pub reads_per_s: f64,
    /// Writes and lease calls.
    pub writes_per_s: f64,
    /// Watches waiting.
    pub waiting: u64,
    /// Bytes of the bodies sent, a second, for each watch that waits.
    pub bytes_per_watch_s: f64,
}

/// Costs of accepted sheets.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Change {
    /// From the operator's call to the last node in force.
    pub spread: Spread,
    /// Calls of the store while a sheet is accepted each second.
    pub store: Rates,
    /// Nodes that are no relays, at that rate.
    pub member: Usage,
    /// Relays, at that rate.
    pub relay: Usage,
}

/// How long sheets took to the last node, over all of them.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Spread {
    /// Median.
    pub p50_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// Sheets accepted as a relay of each zone is killed.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Kill {
    /// From the operator's call to the last survivor in force.
    pub spread: Spread,
    /// From the kill to the last survivor that has all killed out of view.
    pub evicted: Spread,
}

/// A zone taken out, its nodes stopped and started anew.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Evacuation {
    /// Nodes of the zone.
    pub nodes: usize,
    /// Reads at the store in its busiest second.
    pub reads_max_per_s: f64,
    /// Writes at the store in its busiest second.
    pub writes_max_per_s: f64,
    /// Reads at the store for each node replaced.
    pub reads_per_node: f64,
    /// Writes at the store for each node replaced.
    pub writes_per_node: f64,
}

/// Runs the phases on one fleet.
pub struct Phases<'a> {
    fleet: Fleet,
    deployment: &'a mut Deployment,
}

impl<'a> Phases<'a> {
    /// Has a first sheet accepted and waits until all is quiet.
    pub async fn start(fleet: Fleet, deployment: &'a mut Deployment) -> io::Result<Self> {
        let phases = Self { fleet, deployment };
        let version = phases.apply().await?;
        wait_until_in_force(&phases.fleet, version).await?;
        phases.wait_until_all_known().await?;
        sleep(SETTLE).await;
        Ok(phases)
    }

    /// Measures while nothing happens.
    pub async fn steady(&self, duration: Duration) -> io::Result<Steady> {
        let before = Reading::take(&self.fleet).await?;
        sleep(duration).await;
        let after = Reading::take(&self.fleet).await?;
        Ok(Steady {
            store: Rates::between(&before, &after),
            member: after.usage(&before, false),
            relay: after.usage(&before, true),
        })
    }

    /// Measures `count` sheets.
    pub async fn change(&mut self, count: u32) -> io::Result<Change> {
        let before = Reading::take(&self.fleet).await?;
        let mut spreads = Vec::new();
        for _ in 0..count {
            let begun = Instant::now();
            spreads.push(self.accept().await?);
            sleep(CHANGE_INTERVAL.saturating_sub(begun.elapsed())).await;
        }
        let after = Reading::take(&self.fleet).await?;
        Ok(Change {
            spread: Spread::of(spreads),
            store: Rates::between(&before, &after),
            member: after.usage(&before, false),
            relay: after.usage(&before, true),
        })
    }

    /// Measures `count` sheets, each while a relay of every zone is killed.
    pub async fn kill(&mut self, count: u32) -> io::Result<Option<Kill>> {
        let mut spreads = Vec::new();
        let mut evictions = Vec::new();
        for _ in 0..count {
            let relays = self.one_relay_of_each_zone().await?;
            let survivors = self.fleet.upstreams().len() - relays.len();
            if survivors == 0 {
                return Ok(None);
            }
            let killed = unix_ms();
            for index in &relays {
                self.fleet.upstreams()[*index].signal(Signal::SIGKILL)?;
            }
            self.deployment.change();
            let began = unix_ms();
            let version = self.apply().await?;
            for index in &relays {
                self.fleet.kill_node(*index).await?;
            }
            spreads.push(self.last_in_force(version).await? - began);
            evictions.push(self.last_eviction(survivors).await? - killed);
            for index in relays {
                self.fleet.start_node(index).await?;
            }
            self.wait_until_all_known().await?;
            sleep(SETTLE / 2).await;
        }
        Ok(Some(Kill {
            spread: Spread::of(spreads),
            evicted: Spread::of(evictions),
        }))
    }

    /// Takes a zone out, replaces its nodes and takes it in again.
    pub async fn evacuate(&mut self) -> io::Result<Evacuation> {
        let zone = self.fleet.in_zone(&first_zone());
        let before = counters(&self.fleet).await?;
        let address = self.fleet.store();
        let watching = tokio::spawn(busiest_second(address));
        self.deployment.set_first_zone(false);
        self.accept().await?;
        for index in &zone {
            self.fleet.upstreams()[*index].signal(Signal::SIGTERM)?;
        }
        for index in &zone {
            self.fleet.stop_node(*index).await?;
        }
        for index in &zone {
            self.fleet.start_node(*index).await?;
        }
        self.deployment.set_first_zone(true);
        self.accept().await?;
        let busiest = watching.await.map_err(io::Error::other)??;
        let after = counters(&self.fleet).await?;
        let nodes = as_float(zone.len() as u64);
        Ok(Evacuation {
            nodes: zone.len(),
            reads_max_per_s: busiest.reads_per_s,
            writes_max_per_s: busiest.writes_per_s,
            reads_per_node: as_float(after.total_reads() - before.total_reads()) / nodes,
            writes_per_node: as_float(after.total_writes() - before.total_writes()) / nodes,
        })
    }

    /// Ends all processes.
    pub async fn stop(mut self) {
        self.fleet.stop().await;
    }

    async fn accept(&mut self) -> io::Result<f64> {
        self.deployment.change();
        let began = unix_ms();
        let version = self.apply().await?;
        Ok(self.last_in_force(version).await? - began)
    }

    async fn apply(&self) -> io::Result<Version> {
        let sheet = self.deployment.sheet();
        Operator::new(self.fleet.store(), sheet).apply().await
    }

    /// When the last living node put `version` in force.
    async fn last_in_force(&self, version: Version) -> io::Result<f64> {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        let mut last = 0.0_f64;
        for node in self
            .fleet
            .upstreams()
            .iter()
            .filter(|up| up.node().is_some())
        {
            loop {
                let status = status(node).await?;
                if status.plan_version >= version {
                    last = last.max(as_float(status.in_force_since_us) / 1e3);
                    break;
                }
                overdue(deadline, "a plan is not in force in time")?;
                sleep(POLL / 10).await;
            }
        }
        Ok(last)
    }

    /// When the last living node came down to `survivors` in view.
    async fn last_eviction(&self, survivors: usize) -> io::Result<f64> {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        let mut last = 0.0_f64;
        for node in self
            .fleet
            .upstreams()
            .iter()
            .filter(|up| up.node().is_some())
        {
            loop {
                let status = status(node).await?;
                if status.instances as usize == survivors {
                    last = last.max(as_float(status.changed_us) / 1e3);
                    break;
                }
                overdue(deadline, "a killed node is not out of view in time")?;
                sleep(POLL / 10).await;
            }
        }
        Ok(last)
    }

    async fn one_relay_of_each_zone(&self) -> io::Result<Vec<usize>> {
        let mut zones: Vec<&str> = Vec::new();
        let mut relays = Vec::new();
        for (index, node) in self.fleet.upstreams().iter().enumerate() {
            if !zones.contains(&node.place.zone.as_str()) && status(node).await?.relay {
                zones.push(&node.place.zone);
                relays.push(index);
            }
        }
        Ok(relays)
    }

    async fn wait_until_all_known(&self) -> io::Result<()> {
        let deadline = Instant::now() + 3 * IN_FORCE_TIMEOUT;
        let all = self.fleet.upstreams().len();
        for node in self.fleet.upstreams() {
            while status(node).await?.instances as usize != all {
                overdue(deadline, "not every node knows every other in time")?;
                sleep(POLL / 5).await;
            }
        }
        Ok(())
    }
}

impl Rates {
    fn between(before: &Reading, after: &Reading) -> Self {
        let seconds = (after.at - before.at).as_secs_f64();
        Self::over(&before.store, &after.store, seconds)
    }

    fn over(before: &Counters, after: &Counters, seconds: f64) -> Self {
        let rate = |of: fn(&Counters) -> u64| as_float(of(after) - of(before)) / seconds;
        Self {
            reads_per_s: rate(Counters::total_reads),
            writes_per_s: rate(Counters::total_writes),
            waiting: after.waiting,
            bytes_per_watch_s: rate(|counters| counters.bytes_out) / as_float(after.waiting.max(1)),
        }
    }
}

impl Spread {
    fn of(mut times_ms: Vec<f64>) -> Self {
        times_ms.sort_by(f64::total_cmp);
        let middle = times_ms.len() / 2;
        Self {
            p50_ms: times_ms.get(middle).copied().unwrap_or_default(),
            max_ms: times_ms.last().copied().unwrap_or_default(),
        }
    }
}

/// The highest rates over any second while a zone is evacuated.
async fn busiest_second(store: std::net::SocketAddr) -> io::Result<Rates> {
    let client = crate::bench::http::Client::default();
    let mut before: Counters = client.get(store, "/-/counters").await?;
    let mut busiest = Rates::default();
    let end = Instant::now() + EVACUATION;
    while Instant::now() < end {
        let began = Instant::now();
        sleep(2 * POLL).await;
        let after: Counters = client.get(store, "/-/counters").await?;
        let rates = Rates::over(&before, &after, began.elapsed().as_secs_f64());
        busiest.reads_per_s = busiest.reads_per_s.max(rates.reads_per_s);
        busiest.writes_per_s = busiest.writes_per_s.max(rates.writes_per_s);
        before = after;
    }
    Ok(busiest)
}

fn overdue(deadline: Instant, what: &str) -> io::Result<()> {
    if Instant::now() < deadline {
        return Ok(());
    }
    Err(io::Error::other(what))
}

fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
