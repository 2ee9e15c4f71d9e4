//! Membership in which a few nodes of each region watch the store.
//!
//! These relays watch the operators' records and the nodes' announcements. The other nodes
//! subscribe to relays and fetch from them what has changed; without a relay they watch the store
//! themselves. Each node keeps its own announcement in the store under a lease that it renews.
//! Nodes that notice different plan versions exchange plan records by gossip.
//!
//! A deletion in the store does not prove that a node is gone, because leases lapse while the
//! store is down. Such a node stays in the view for [`Settings::lapsed_retention`]; until then
//! its gate decides whether it serves calls.
//!
//! [`PlanReplica`], [`Roster`] and [`Relays`] hold the state and perform no I/O; the follower and
//! the announcer call the store.

mod announcement;
mod announcer;
mod bootstrap;
mod departures;
mod follower;
mod gossip;
mod packed;
mod peer_versions;
mod plan_records;
mod plan_replica;
mod recollection;
mod relays;
mod roster;
mod shared;
#[cfg(test)]
mod tests;
mod watch_pacing;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::handle::Publisher;
use super::{ClusterSnapshot, Handle, Instance, State};
use crate::clock::Clock;
use crate::plan::{Plan, Version};
use crate::store::Client;
use crate::task::spawn_until;

pub use announcement::{Announcement, DepartedProcess};
pub use departures::{DepartedProcesses, DepartureLog, Departures, Witnesses};
pub use gossip::DirectSnapshotSource;
pub use packed::{PackedRecords, pack, unpack};
pub use peer_versions::PeerVersions;
pub use plan_records::{GossipTransport, OnProgress, PlanRecords, Progress};
pub use plan_replica::PlanReplica;
pub use recollection::Recollection;
pub use relays::Relays;
pub use roster::{Roster, RosterChanges};

use announcer::Announcer;
use bootstrap::Bootstrap;
use shared::Shared;
use watch_pacing::WatchPacing;

/// Maximum wait for the withdrawal of the announcement.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Compiles plans from the records that the operators keep in the store.
pub trait PlanSource: fmt::Debug + Send + Sync + 'static {
    /// Key prefix of these records.
    fn prefix(&self) -> &str;

    /// Compiles the records; `None` while they contain no plan.
    ///
    /// # Errors
    ///
    /// Returns the record that cannot be parsed. The previous plan stays in force.
    fn compile(
        &self,
        version: Version,
        records: &BTreeMap<String, String>,
    ) -> Result<Option<Plan>, RecordError>;

    /// Number that the operators gave the plan. It never decreases.
    fn plan_number(&self, records: &BTreeMap<String, String>) -> u64;
}

/// {key} cannot be read ({cause}); the plan before stays in force until the record is mended
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct RecordError {
    /// Key of the record.
    pub key: String,
    /// Reason why it cannot be parsed.
    pub cause: String,
}

impl std::error::Error for RecordError {}

/// How a node follows the store and announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in; without one the node always watches the store.
    pub zone: String,
    /// Key prefix of announcements.
    pub prefix: String,
    /// Time to live of the lease of the announcement.
    pub lease_ttl: Duration,
    /// Time between two lease renewals.
    pub renewal_interval: Duration,
    /// Maximum duration of one watch. One without changes continues from the store's revision of
    /// that moment, so it may last longer than the store keeps history.
    pub watch_wait: Duration,
    /// The same for the operators' records at the relay that is the sentinel. A watch whose answer
    /// was lost is given up soon after this.
    pub sentinel_wait: Duration,
    /// Pause between two watches of announcements, so that many changes at once
    /// take few calls. It doubles while changes keep coming.
    pub watch_pause_min: Duration,
    /// Maximum pause between watches; after this long without a change it returns to the minimum.
    pub watch_pause_max: Duration,
    /// Pause after the first failed call; it doubles with each further failure.
    pub backoff_min: Duration,
    /// Maximum pause after a failed call.
    pub backoff_max: Duration,
    /// Time for which a node stays in the view after its announcement lapsed.
    pub lapsed_retention: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            region: String::new(),
            zone: String::new(),
            prefix: "monsooncove/node/".to_owned(),
            lease_ttl: Duration::from_secs(90),
            renewal_interval: Duration::from_secs(42),
            watch_wait: Duration::from_secs(25),
            sentinel_wait: Duration::from_millis(1_700),
            watch_pause_min: Duration::from_millis(250),
            watch_pause_max: Duration::from_secs(4),
            backoff_min: Duration::from_millis(200),
            backoff_max: Duration::from_millis(1_500),
            lapsed_retention: Duration::from_secs(20),
            seed: 0,
        }
    }
}

/// How other nodes are reached.
struct Transport(Arc<dyn GossipTransport>);

impl fmt::Debug for Transport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Transport")
    }
}

/// Membership of one node.
#[derive(Debug)]
pub struct Membership {
    handle: Handle,
    desired: Arc<watch::Sender<Option<Announcement>>>,
    shared: Arc<Shared>,
    leave_sender: mpsc::Sender<oneshot::Sender<()>>,
    news_sender: mpsc::Sender<gossip::News>,
    news_receiver: Mutex<Option<mpsc::Receiver<gossip::News>>>,
    /// Reaches witnesses, once gossip has started.
    transport: OnceLock<Transport>,
    shutdown: CancellationToken,
}

impl Membership {
    /// Source of plan and instances for the data path.
    #[must_use]
    pub fn snapshot_source(&self) -> DirectSnapshotSource {
        DirectSnapshotSource {
            handle: self.handle.clone(),
            shared: Arc::clone(&self.shared),
            news_sender: self.news_sender.clone(),
        }
    }

    /// Starts to subscribe to relays and to exchange news with peers. Further calls have no
    /// effect.
    pub fn start_gossip(&self, transport: &Arc<dyn GossipTransport>) {
        let news_receiver = self
            .news_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(news_receiver) = news_receiver {
            // Set once, like the receiver.
            let _ = self.transport.set(Transport(Arc::clone(transport)));
            let exchanges = gossip::run(
                Arc::clone(&self.shared),
                self.handle.clone(),
                Arc::clone(transport),
                news_receiver,
            );
            let subscriber = gossip::Subscriber {
                shared: Arc::clone(&self.shared),
                transport: Arc::clone(transport),
                news_sender: self.news_sender.clone(),
            };
            spawn_until(&self.shutdown, exchanges);
            spawn_until(&self.shutdown, subscriber.run());
        }
    }

    /// Shared access to the newest snapshot.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Sets the announcement that is kept in the store.
    pub fn announce(&self, announcement: Announcement) {
        self.shared.set_own(&announcement.instance);
        self.desired.send_replace(Some(announcement));
    }

    /// Announcement that this node made before its restart. Waits until the announcements have
    /// been listed from the store.
    pub async fn previous_announcement(&self) -> Option<Announcement> {
        let stored = self.shared.previous_stored().await;
        stored.map(|stored| stored.announcement)
    }

    /// Withdraws the announcement; again, writes what has changed in it since.
    pub async fn leave(&self) {
        let (done, withdrawn) = oneshot::channel();
        if self.leave_sender.send(done).await.is_err() {
            return;
        }
        let result = tokio::time::timeout(LEAVE_TIMEOUT, withdrawn).await;
        if result.is_err() {
            log::warn!("the announcement could not be withdrawn in time; its lease will lapse");
        }
    }
}

/// Starts membership of this node; it runs until `shutdown`.
pub fn start<C: Client>(
    settings: Settings,
    client: Arc<C>,
    source: &Arc<dyn PlanSource>,
    clock: Clock,
    shutdown: &CancellationToken,
) -> Membership {
    // Only the router detects dead links in this kind of membership; suspicions are dropped.
    let (suspicion_sender, _) = mpsc::channel(1);
    let (leave_sender, leave_receiver) = mpsc::channel(1);
    let publisher = Publisher::new();
    let handle = publisher.handle(suspicion_sender);
    let desired = Arc::new(watch::Sender::new(None));
    let (news_sender, news_receiver) = mpsc::channel(gossip::NEWS_QUEUE_LEN);
    let shared = Shared::new(&settings, source, publisher, clock);
    let plans = follower::Follower {
        prefix: source.prefix().to_owned(),
        watch_pacing: WatchPacing::disabled(),
        settings: settings.clone(),
        client: Arc::clone(&client),
        shared: Arc::clone(&shared),
        subject: follower::Subject::Plans,
    };
    let nodes = follower::Follower {
        prefix: settings.prefix.clone(),
        watch_pacing: WatchPacing::new(settings.watch_pause_min, settings.watch_pause_max),
        settings: settings.clone(),
        client: Arc::clone(&client),
        shared: Arc::clone(&shared),
        subject: follower::Subject::Nodes,
    };
    let bootstrap = Bootstrap {
        client: Arc::clone(&client),
        shared: Arc::clone(&shared),
    };
    let announcer = Announcer::new(settings, client, Arc::clone(&shared), desired.subscribe());
    spawn_until(shutdown, plans.run());
    spawn_until(shutdown, nodes.run());
    spawn_until(shutdown, announcer.run(leave_receiver));
    spawn_until(shutdown, bootstrap.run());
    spawn_until(shutdown, Arc::clone(&shared).run_expiry());
    Membership {
        handle,
        desired,
        shared,
        leave_sender,
        news_sender,
        news_receiver: Mutex::new(Some(news_receiver)),
        transport: OnceLock::new(),
        shutdown: shutdown.clone(),
    }
}
