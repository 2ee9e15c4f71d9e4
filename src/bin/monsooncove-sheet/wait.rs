//! Waits until every node has a version in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use monsooncove::acceptance;
use monsooncove::membership::Instance;
use monsooncove::plan::Version;
use monsooncove::store::Client;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::exit::Result;
use crate::fleet;
use crate::paint;
use crate::table::Table;

/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Longest time one node may take to answer in a round. A silent node holds
/// back the next question to all others for as long.
const ROUND_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which announcements are read again, so that nodes that leave
/// are not waited for.
const ANNOUNCED_REFRESH: Duration = Duration::from_secs(1);

/// How far a version has spread.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Spread {
    /// Whether every announced node has it in force.
    pub complete: bool,
    /// Time from acceptance to the last node, or to giving up.
    pub elapsed_ms: u128,
    /// Zones in the order of their names.
    pub zones: Vec<Zone>,
    /// Nodes that do not have it in force.
    pub late: Vec<String>,
    /// Newest version of a node, when the store does not know it.
    pub ahead: Option<Version>,
}

/// How far a version has spread in one zone.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Announced nodes.
    pub nodes: usize,
    /// Nodes that have the version in force.
    pub in_force: usize,
    /// Time from acceptance to the last node that has it in force.
    pub last_ms: u128,
}

impl Zone {
    fn after(&self) -> String {
        match self.in_force {
            0 => "-".to_owned(),
            _ => format!("{} ms", self.last_ms),
        }
    }
}

/// Follows `version` for at most `limit`, and prints the result if `print`.
pub async fn run(
    client: &impl Client,
    version: Version,
    limit: Duration,
    print: bool,
) -> Result<Spread> {
    let mut watch = Watch::new(version, fleet::announced(client).await?);
    while !watch.is_complete() && watch.start.elapsed() < limit {
        watch.round().await;
        watch.compare_with_store(client).await;
        if watch.is_complete() || watch.ahead().is_some() {
            break;
        }
        sleep(ROUND_PAUSE).await;
        if watch.refreshed.elapsed() > ANNOUNCED_REFRESH
            && let Ok(instances) = fleet::announced(client).await
        {
            watch.refresh(instances);
        }
    }
    let spread = watch.spread();
    if print {
        paint::text(&words(&spread));
    }
    Ok(spread)
}

struct Watch {
    version: Version,
    start: Instant,
    refreshed: Instant,
    instances: BTreeMap<String, Instance>,
    in_force: BTreeMap<String, Duration>,
    /// Newest version that the store is known to have.
    stored: Version,
    /// Newest version that a node follows.
    followed: Version,
}

impl Watch {
    fn new(version: Version, instances: BTreeMap<String, Instance>) -> Self {
        let now = Instant::now();
        Self {
            version,
            start: now,
            refreshed: now,
            instances,
            in_force: BTreeMap::new(),
            stored: version,
            followed: Version(0),
        }
    }

    fn refresh(&mut self, instances: BTreeMap<String, Instance>) {
        self.instances = instances;
        self.refreshed = Instant::now();
    }

    fn late(&self) -> impl Iterator<Item = &Instance> {
        let instances = self.instances.values();
        instances.filter(|instance| !self.in_force.contains_key(&instance.name))
    }

    fn is_complete(&self) -> bool {
        self.late().next().is_none()
    }

    async fn round(&mut self) {
        let late = self.late().cloned().collect();
        for node in fleet::ask(late, ROUND_TIMEOUT).await {
            let Some(status) = node.status else { continue };
            self.followed = self.followed.max(status.plan_version);
            if status.plan_version >= self.version {
                let name = node.instance.name;
                self.in_force.insert(name, self.start.elapsed());
            }
        }
    }

    /// Nodes may follow a sheet that was accepted later.
    async fn compare_with_store(&mut self, client: &impl Client) {
        if self.followed > self.stored
            && let Ok(current) = acceptance::current(client).await
        {
            self.stored = self.stored.max(current.version);
        }
    }

    /// The version that nodes follow, when the store has never heard of it.
    fn ahead(&self) -> Option<Version> {
        Some(self.followed).filter(|followed| *followed > self.stored)
    }

    fn spread(&self) -> Spread {
        let zones: BTreeSet<&str> = self
            .instances
            .values()
            .map(|own| own.zone.as_str())
            .collect();
        Spread {
            complete: self.is_complete() && self.ahead().is_none(),
            elapsed_ms: self.start.elapsed().as_millis(),
            zones: zones.into_iter().map(|zone| self.zone(zone)).collect(),
            late: self.late().map(|instance| instance.name.clone()).collect(),
            ahead: self.ahead(),
        }
    }

    fn zone(&self, zone: &str) -> Zone {
        let nodes = self.instances.values().filter(|own| own.zone == zone);
        let names: Vec<&String> = nodes.map(|instance| &instance.name).collect();
        let reached: Vec<&Duration> = names
            .iter()
            .filter_map(|name| self.in_force.get(*name))
            .collect();
        Zone {
            name: zone.to_owned(),
            nodes: names.len(),
            in_force: reached.len(),
            last_ms: reached.iter().max().map_or(0, |last| last.as_millis()),
        }
    }
}

fn words(spread: &Spread) -> String {
    let mut table = Table::new(["zone", "nodes", "in force", "after"]);
    for zone in &spread.zones {
        table.row([
            zone.name.clone(),
            zone.nodes.to_string(),
            zone.in_force.to_string(),
            zone.after(),
        ]);
    }
    table.to_string() + &verdict(spread)
}

fn verdict(spread: &Spread) -> String {
    let elapsed = spread.elapsed_ms;
    if let Some(version) = spread.ahead {
        return ahead(version);
    }
    if spread.complete {
        return format!("in force on every node after {elapsed} ms\n");
    }
    let late = spread.late.join(", ");
    format!("not in force after {elapsed} ms on: {late}; see status\n")
}

/// What to do when nodes follow a version that the store does not know.
pub fn ahead(version: Version) -> String {
    format!(
        "nodes follow version {version}, which the store has lost, and go back to no earlier \
         one; apply the sheet again with --after {version}\n"
    )
}
