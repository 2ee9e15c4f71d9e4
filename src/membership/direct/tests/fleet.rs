//! A fleet of nodes on one store, in virtual time.
//!
//! Exchanges between nodes take no time, unless a node is cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::plan_replica::NumberSource;
use crate::clock::Clock;
use crate::membership::SnapshotSource;
use crate::membership::direct::follower::Subject;
use crate::membership::direct::{
    self, Announcement, Departures, DirectSnapshotSource, GossipTransport, Membership, OnProgress,
    PlanRecords, PlanSource, Settings,
};
use crate::membership::{Epoch, Handle, Instance, State};
use crate::plan::Version;
use crate::standin::store::Local;
use crate::store::{Client, Expect, Outcome, Write, WriteId};

pub(super) const REGIONS: [&str; 3] = ["kisumu", "kakamega", "nakuru"];
const ZONES_PER_REGION: usize = 3;
const PLAN_KEY: &str = "plan/text";
/// Time between two pushes of progress without a change.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time until a connection attempt to a node that is gone fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects the nodes.
#[derive(Clone, Default)]
struct Network {
    nodes: Arc<Mutex<BTreeMap<SocketAddr, Arc<DirectSnapshotSource>>>>,
}

impl Network {
    fn nodes(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<DirectSnapshotSource>>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, address: SocketAddr) -> Option<Arc<DirectSnapshotSource>> {
        self.nodes().get(&address).cloned()
    }

    async fn follow(&self, address: SocketAddr, mut on_progress: OnProgress) {
        let Some(node) = self.find(address) else {
            return sleep(CONNECT_TIMEOUT).await;
        };
        let mut progress = node.progress().expect("nodes have progress");
        while self.find(address).is_some() {
            let current = *progress.borrow_and_update();
            on_progress(current);
            tokio::select! {
                _ = progress.changed() => {}
                () = sleep(PROGRESS_INTERVAL) => {}
            }
        }
    }
}

impl GossipTransport for Network {
    fn exchange(
        &self,
        address: SocketAddr,
        records: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>> {
        async move {
            sleep(Duration::from_millis(1)).await;
            Some(self.find(address)?.exchange_plan_records(records))
        }
        .boxed()
    }

    fn exchange_departures(
        &self,
        address: SocketAddr,
        own: Departures,
    ) -> BoxFuture<'_, Option<Departures>> {
        async move {
            sleep(Duration::from_millis(1)).await;
            Some(self.find(address)?.exchange_departures(&own))
        }
        .boxed()
    }

    fn subscribe(&self, address: SocketAddr, on_progress: OnProgress) -> BoxFuture<'_, ()> {
        self.follow(address, on_progress).boxed()
    }
}

struct Node {
    store: Local,
    membership: Membership,
    handle: Handle,
    instance: Instance,
    kill: CancellationToken,
}

/// The fleet.
pub(super) struct Fleet {
    pub(super) store: Local,
    network: Network,
    nodes: BTreeMap<String, Node>,
}

impl Fleet {
    /// Starts `size` nodes within a third of a second.
    pub(super) async fn start(size: usize) -> Self {
        let mut fleet = Self {
            store: Local::default(),
            network: Network::default(),
            nodes: BTreeMap::new(),
        };
        let pause = Duration::from_millis(300) / u32::try_from(size).expect("a small fleet");
        for number in 0..size {
            fleet.start_node(number);
            sleep(pause).await;
        }
        fleet
    }

    /// Starts a node, or starts it again.
    pub(super) fn start_node(&mut self, number: usize) {
        let instance = instance(number);
        let settings = Settings {
            name: instance.name.clone(),
            region: instance.region.clone(),
            zone: instance.zone.clone(),
            ..Settings::default()
        };
        let kill = CancellationToken::new();
        let source: Arc<dyn PlanSource> = Arc::new(NumberSource);
        let store = self.store.for_caller();
        let membership = direct::start(
            settings,
            Arc::new(store.clone()),
            &source,
            Clock::start(),
            &kill,
        );
        let transport: Arc<dyn GossipTransport> = Arc::new(self.network.clone());
        membership.start_gossip(&transport);
        let source = Arc::new(membership.snapshot_source());
        self.network.nodes().insert(instance.peer, source);
        membership.announce(Announcement {
            instance: instance.clone(),
            departed: None,
        });
        let node = Node {
            store,
            handle: membership.handle(),
            membership,
            instance: instance.clone(),
            kill,
        };
        self.nodes.insert(instance.name, node);
    }

    /// Whether the store's answers to these nodes are lost.
    pub(super) fn set_silent_to(&self, silent: bool, is_concerned: impl Fn(&Instance) -> bool) {
        let nodes = self.nodes.values();
        for node in nodes.filter(|node| is_concerned(&node.instance)) {
            node.store.silent_to_caller(silent);
        }
    }

    /// Kills a node; its connections break.
    pub(super) fn kill(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            node.kill.cancel();
            self.network.nodes().remove(&node.instance.peer);
        }
    }

    /// Stops a node in order.
    pub(super) async fn stop(&mut self, name: &str) {
        if let Some(node) = self.nodes.get(name) {
            node.membership.leave().await;
        }
        self.kill(name);
    }

    pub(super) fn membership(&self, number: usize) -> &Membership {
        &self.nodes[&name(number)].membership
    }

    /// Nodes that watch the store now, in a zone or everywhere.
    pub(super) fn watchers(&self) -> BTreeSet<String> {
        let nodes = self.nodes.iter();
        let watching =
            nodes.filter(|(_, node)| *node.membership.shared.watches(Subject::Nodes).borrow());
        watching.map(|(name, _)| name.clone()).collect()
    }

    /// Nodes that watch the operators' records in short waits.
    pub(super) fn sentinels(&self) -> Vec<String> {
        let sentinels = self
            .nodes
            .iter()
            .filter(|(_, node)| node.membership.shared.is_sentinel());
        sentinels.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the number of the operators' plan, which is no call of a node and gets through also
    /// while the store loses its answers to nodes.
    pub(super) fn set_plan_as_operator(&self, number: u64) -> Version {
        Version(self.store.put(PLAN_KEY, &number.to_string()).0)
    }

    /// Sets the number of the operators' plan; returns its version.
    pub(super) async fn set_plan(&self, number: u64) -> Version {
        let written = self
            .store
            .write(Write {
                key: PLAN_KEY.to_owned(),
                value: Some(number.to_string()),
                expect: Expect::Anything,
                lease: None,
                id: WriteId(number),
            })
            .await;
        match written {
            Ok(Outcome::Applied(revision)) => Version(revision.0),
            other => panic!("the plan was not written: {other:?}"),
        }
    }

    /// Nodes whose plan is older than `version`.
    pub(super) fn behind(&self, version: Version) -> Vec<&str> {
        let nodes = self.nodes.iter();
        let behind = nodes.filter(|(_, node)| node.handle.snapshot().plan.version < version);
        behind.map(|(name, _)| name.as_str()).collect()
    }

    /// Nodes that do not know `count` nodes.
    pub(super) fn without_view_of(&self, count: usize) -> Vec<(&str, usize)> {
        let nodes = self.nodes.iter();
        let known = nodes.map(|(name, node)| (name.as_str(), node.handle.snapshot().view.len()));
        known.filter(|(_, known)| *known != count).collect()
    }

    /// Nodes that count `name` among those that take work.
    pub(super) fn with_present(&self, name: &str) -> Vec<&str> {
        let knows = |node: &Node| {
            let snapshot = node.handle.snapshot();
            let known = snapshot.view.get(name);
            known.is_some_and(|instance| instance.state == State::Present)
        };
        let nodes = self.nodes.iter().filter(|(_, node)| knows(node));
        nodes.map(|(name, _)| name.as_str()).collect()
    }

    /// Calls of the store so far, each at its price: a renewal costs a tenth.
    pub(super) fn calls(&self) -> f64 {
        let calls = self.store.counters();
        let full = calls.gets + calls.lists + calls.watches + calls.writes + calls.grants;
        let tenths = calls.renewals + 10 * (full + calls.revocations);
        f64::from(u32::try_from(tenths).expect("a short test")) / 10.0
    }
}

pub(super) fn name(number: usize) -> String {
    instance(number).name
}

pub(super) fn instance(number: usize) -> Instance {
    let zones = REGIONS.len() * ZONES_PER_REGION;
    let zone = number % zones;
    let region = REGIONS[zone / ZONES_PER_REGION];
    let host = u32::try_from(number + 1).expect("a small fleet");
    let ip = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + host));
    let address = SocketAddr::new(ip, 80);
    Instance {
        name: format!("odber-{number}"),
        epoch: Epoch::default(),
        service: "odber".into(),
        region: region.into(),
        zone: format!("{region}-{}", zone % ZONES_PER_REGION),
        caller: address,
        peer: address,
        control: address,
        state: State::Present,
        version: String::new(),
    }
}
