//! Subscribes to relays and exchanges news with peers (gossip).
//!
//! A relay pushes how much it knows; a node that knows less fetches the difference. Besides, every
//! response of a gate tells its plan version, and [`PeerVersions`] selects the peers with which to
//! exchange plan records while the store is unavailable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::shared::Comparison;
use super::{
    ClusterSnapshot, Departures, GossipTransport, Handle, PeerVersions, PlanRecords, Progress,
    Shared,
};
use crate::membership::SnapshotSource;
use crate::plan::Version;

/// Capacity of the queue of news. Overflow is dropped, since later news repeat it.
pub(super) const NEWS_QUEUE_LEN: usize = 64;
/// Time between two checks for lasting differences.
const GOSSIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Duration of a store outage after which random peers are queried.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(700);
/// Time between two checks which relays to subscribe to.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before a subscription that broke is opened again.
const SUBSCRIBE_PAUSE: Duration = Duration::from_millis(300);

/// What this node hears of other nodes.
#[derive(Clone, Debug)]
pub(super) enum News {
    /// A response carried this plan version.
    Version { node: SocketAddr, version: Version },
    /// A relay knows more than this node.
    Ahead {
        relay: String,
        node: SocketAddr,
        progress: Progress,
    },
}

/// Snapshot source of direct membership for the data path.
#[derive(Debug)]
pub struct DirectSnapshotSource {
    pub(super) handle: Handle,
    pub(super) shared: Arc<Shared>,
    pub(super) news_sender: mpsc::Sender<News>,
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
            let _ = self.news_sender.try_send(News::Version { node, version });
        }
    }

    fn exchange_plan_records(&self, theirs: PlanRecords) -> PlanRecords {
        self.shared.exchange_plan_records(theirs)
    }

    fn exchange_departures(&self, theirs: &Departures) -> Departures {
        self.shared.exchange_departures(theirs)
    }

    fn progress(&self) -> Option<watch::Receiver<Progress>> {
        Some(self.shared.progress())
    }
}

/// Runs the exchanges until dropped.
pub(super) async fn run(
    shared: Arc<Shared>,
    handle: Handle,
    transport: Arc<dyn GossipTransport>,
    mut news_receiver: mpsc::Receiver<News>,
) {
    let mut peer_versions = PeerVersions::default();
    loop {
        let news = tokio::select! {
            news = news_receiver.recv() => news,
            () = sleep(GOSSIP_CHECK_INTERVAL), if shared.needs_gossip(&peer_versions, STORE_OUTAGE_LIMIT) => None,
        };
        let now = shared.clock.now();
        let own = handle.snapshot().plan.version;
        match news {
            Some(News::Ahead {
                relay,
                node,
                progress,
            }) => {
                if shared.on_progress(&relay, progress) == Comparison::Ahead
                    && !exchange(&shared, transport.as_ref(), node, progress.plan).await
                {
                    shared.on_relay_lost(&relay);
                }
            }
            Some(News::Version { node, version }) => {
                if peer_versions.observe(now, own, node, version) {
                    exchange(&shared, transport.as_ref(), node, version).await;
                }
            }
            None => {
                let ahead = peer_versions.next_peer_ahead(now, own);
                if let Some(node) = ahead.or_else(|| random_peer(&shared, &handle)) {
                    exchange(&shared, transport.as_ref(), node, Version::default()).await;
                }
            }
        }
        peer_versions.remove_matching(handle.snapshot().plan.version);
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

/// Fetches the news of a node, and gives it the own plan if its version is older. Returns whether
/// the node answered.
async fn exchange(
    shared: &Shared,
    transport: &dyn GossipTransport,
    node: SocketAddr,
    version: Version,
) -> bool {
    let own = shared.plan_records_for(version);
    let Some(theirs) = transport.exchange(node, own).await else {
        return false;
    };
    shared.exchange_plan_records(PlanRecords {
        // What this node knows beyond theirs is not asked for.
        roster_revision: 0,
        ..theirs
    });
    true
}

/// Keeps the subscriptions to relays.
pub(super) struct Subscriber {
    pub(super) shared: Arc<Shared>,
    pub(super) transport: Arc<dyn GossipTransport>,
    pub(super) news_sender: mpsc::Sender<News>,
}

/// Subscription to one relay; ends when dropped.
struct Subscription {
    node: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Subscriber {
    /// Subscribes to the relays of the roster until dropped.
    pub(super) async fn run(self) {
        let mut subscriptions: BTreeMap<String, Subscription> = BTreeMap::new();
        let mut progress = self.shared.progress();
        loop {
            let sources = self.shared.sources();
            subscriptions.retain(|name, own| sources.get(name) == Some(&own.node));
            for (name, node) in sources {
                subscriptions.entry(name).or_insert_with_key(|name| {
                    let task = tokio::spawn(self.follow(name.clone(), node));
                    Subscription { node, task }
                });
            }
            tokio::select! {
                // The sender lives as long as the shared state.
                _ = progress.changed() => {}
                () = sleep(RELAY_CHECK_INTERVAL) => {}
            }
            self.shared.refresh();
        }
    }

    /// Follows one relay until aborted.
    fn follow(&self, name: String, node: SocketAddr) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        let transport = Arc::clone(&self.transport);
        let news_sender = self.news_sender.clone();
        async move {
            loop {
                let relay = name.clone();
                let heard_by = Arc::clone(&shared);
                let news_sender = news_sender.clone();
                let on_progress = move |progress| {
                    let news = match heard_by.on_progress(&relay, progress) {
                        Comparison::Even => return,
                        Comparison::Ahead => News::Ahead {
                            relay: relay.clone(),
                            node,
                            progress,
                        },
                        Comparison::AheadOfStore => News::Version {
                            node,
                            version: progress.plan,
                        },
                    };
                    // If the queue is full, the relay tells it again.
                    let _ = news_sender.try_send(news);
                };
                transport.subscribe(node, Box::new(on_progress)).await;
                shared.on_relay_lost(&name);
                sleep(SUBSCRIBE_PAUSE).await;
            }
        }
    }
}
