//! Where the data path reads the plan in force and the instances known.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::ClusterSnapshot;
use super::direct::{Departures, PlanRecords, Progress};
use crate::plan::Version;

/// Source of the newest [`ClusterSnapshot`]; cheap to ask for every call.
pub trait SnapshotSource: Send + Sync + 'static {
    /// Plan and instances as they are known now.
    fn snapshot(&self) -> Arc<ClusterSnapshot>;

    /// Takes note that the link to `instance` is dead.
    fn suspect(&self, instance: &str);

    /// Takes note of the plan of the node that serves other nodes at `node`.
    fn on_peer_plan_version(&self, _node: SocketAddr, _version: Version) {}

    /// Takes in what another node knows of the operators' records, and tells
    /// what this one does.
    fn exchange_plan_records(&self, _theirs: PlanRecords) -> PlanRecords {
        PlanRecords::default()
    }

    /// Remembers the departures that another node acknowledged, and tells all that are known of it.
    fn exchange_departures(&self, theirs: &Departures) -> Departures {
        Departures {
            instance: theirs.instance.clone(),
            ..Departures::default()
        }
    }

    /// How much this node knows, for its subscribers; `None` if it has no subscribers.
    fn progress(&self) -> Option<watch::Receiver<Progress>> {
        None
    }
}

/// A snapshot that is replaced by hand.
#[derive(Debug, Default)]
pub struct FixedSnapshotSource(ArcSwap<ClusterSnapshot>);

impl FixedSnapshotSource {
    /// Starts with `snapshot`.
    #[must_use]
    pub fn new(snapshot: ClusterSnapshot) -> Self {
        Self(ArcSwap::from_pointee(snapshot))
    }

    /// Replaces the snapshot.
    pub fn replace(&self, snapshot: ClusterSnapshot) {
        self.0.store(Arc::new(snapshot));
    }
}

impl SnapshotSource for FixedSnapshotSource {
    fn snapshot(&self) -> Arc<ClusterSnapshot> {
        self.0.load_full()
    }

    fn suspect(&self, _instance: &str) {}
}
