//! Exchanges plan records with peers (gossip), as a fallback while the store is unavailable.
//!
//! Plan versions seen in responses come in through a queue; [`PeerVersions`] selects the peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{ClusterSnapshot, GossipTransport, Handle, PeerVersions, PlanRecords, Shared};
use crate::membership::SnapshotSource;
use crate::plan::Version;

/// Capacity of the queue of peer versions. Overflow is dropped, since later calls repeat it.
pub(super) const PEER_VERSION_QUEUE_LEN: usize = 64;
/// Time between two checks for lasting differences.
const GOSSIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Duration of a store outage after which random peers are queried.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(700);

/// Plan version reported by a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerPlanVersion {
    pub(super) node: SocketAddr,
    pub(super) version: Version,
}

/// Snapshot source of direct membership for the data path.
#[derive(Debug)]
pub struct DirectSnapshotSource {
    pub(super) handle: Handle,
    pub(super) shared: Arc<Shared>,
    pub(super) peer_version_sender: mpsc::Sender<PeerPlanVersion>,
}

impl SnapshotSource for DirectSnapshotSource {
    fn snapshot(&self) -> Arc<ClusterSnapshot> {
        self.handle.snapshot()
    }

    fn suspect(&self, instance: &str) {
        self.handle.suspect(instance);
    }

    fn on_peer_plan_version(&self, node: SocketAddr, version: Version) {
        if version != self.handle.snapshot().plan.version {
            // If the queue is full, the next call reports the version again.
            let _ = self
                .peer_version_sender
                .try_send(PeerPlanVersion { node, version });
        }
    }

    fn exchange_plan_records(&self, theirs: PlanRecords) -> PlanRecords {
        self.shared.exchange_plan_records(theirs)
    }
}

/// Runs the exchanges until dropped.
pub(super) async fn run(
    shared: Arc<Shared>,
    handle: Handle,
    transport: Arc<dyn GossipTransport>,
    mut peer_version_receiver: mpsc::Receiver<PeerPlanVersion>,
) {
    let mut peer_versions = PeerVersions::default();
    loop {
        let received = tokio::select! {
            received = peer_version_receiver.recv() => received,
            () = sleep(GOSSIP_CHECK_INTERVAL), if shared.needs_gossip(&peer_versions, STORE_OUTAGE_LIMIT) => None,
        };
        let now = shared.clock.now();
        let own = handle.snapshot().plan.version;
        let node = match received {
            Some(received) => {
                let due = peer_versions.observe(now, own, received.node, received.version);
                due.then_some(received.node)
            }
            None => peer_versions
                .next_peer_ahead(now, own)
                .or_else(|| random_peer(&shared, &handle)),
        };
        if let Some(node) = node {
            exchange(&shared, transport.as_ref(), node).await;
            peer_versions.remove_matching(handle.snapshot().plan.version);
        }
    }
}

/// Returns a random node of the view if the store is unavailable for the limit.
fn random_peer(shared: &Shared, handle: &Handle) -> Option<SocketAddr> {
    if !shared.is_store_unavailable_for(STORE_OUTAGE_LIMIT) {
        return None;
    }
    let snapshot = handle.snapshot();
    let others: Vec<SocketAddr> = snapshot
        .view
        .iter()
        .filter(|instance| instance.name != shared.name)
        .map(|instance| instance.peer)
        .collect();
    others.choose(&mut rand::rng()).copied()
}

async fn exchange(shared: &Shared, transport: &dyn GossipTransport, node: SocketAddr) {
    let own = shared.exchange_plan_records(PlanRecords {
        version: Version::default(),
        records: None,
    });
    if let Some(theirs) = transport.exchange(node, own).await {
        shared.exchange_plan_records(theirs);
    }
}
