//! What the tasks of one membership share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::{Announcement, PeerVersions, PlanRecords, PlanReplica, PlanSource, Roster, Settings};
use crate::clock::{Clock, Time};
use crate::membership::handle::Publisher;
use crate::membership::{ClusterSnapshot, Epoch, Instance, State, View};
use crate::plan::Plan;
use crate::store::{Change, Lease, Listing, Record, Revision};

/// Time between two looks for announcements that lapsed long ago.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// What the tasks of one membership share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<Inner>,
    /// Since when the store has not told plans.
    store_unavailable_since: watch::Sender<Option<Time>>,
    pub(super) name: String,
    prefix: String,
    pub(super) previous_announcement: watch::Sender<PreviousAnnouncement>,
    /// Raised when the store has lost this node's announcement.
    pub(super) announcement_lost: Notify,
    publisher: Publisher,
    pub(super) clock: Clock,
}

/// What this node announced before it was started again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PreviousAnnouncement {
    /// The store has not told it yet.
    Unknown,
    /// Nothing.
    Absent,
    /// This.
    Found(Box<StoredAnnouncement>),
}

/// An announcement as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredAnnouncement {
    pub(super) announcement: Announcement,
    pub(super) revision: Revision,
    pub(super) lease: Option<Lease>,
}

#[derive(Debug)]
struct Inner {
    plan_replica: PlanReplica,
    roster: Roster,
    own: Option<Instance>,
    plan: Arc<Plan>,
}

impl Shared {
    /// Nothing is known yet.
    pub(super) fn new(
        settings: &Settings,
        source: &Arc<dyn PlanSource>,
        publisher: Publisher,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Self {
            store_unavailable_since: watch::Sender::new(Some(clock.now())),
            state: Mutex::new(Inner {
                plan_replica: PlanReplica::new(Arc::clone(source)),
                roster: Roster::new(settings.lapsed_retention),
                own: None,
                plan: Arc::default(),
            }),
            name: settings.name.clone(),
            prefix: settings.prefix.clone(),
            previous_announcement: watch::Sender::new(PreviousAnnouncement::Unknown),
            announcement_lost: Notify::new(),
            publisher,
            clock,
        })
    }

    /// The own epoch counts what was announced since the start; the store
    /// gives announcements another order.
    pub(super) fn set_own(&self, instance: &Instance) {
        let mut state = self.lock();
        let epoch = state.own.as_ref().map_or(Epoch(0), |own| own.epoch);
        if state
            .own
            .as_ref()
            .is_some_and(|own| own.equals_ignoring_epoch(instance))
        {
            return;
        }
        state.own = Some(Instance {
            epoch: Epoch(epoch.0 + 1),
            ..instance.clone()
        });
        self.publish(&state);
    }

    pub(super) fn on_plans_listed(&self, listing: Listing) {
        let mut state = self.lock();
        state.plan_replica.on_listed(listing);
        self.compile(&mut state);
    }

    pub(super) fn on_plans_changed(&self, changes: Vec<Change>) {
        let mut state = self.lock();
        state.plan_replica.on_changes(changes);
        self.compile(&mut state);
    }

    /// The store told plans, or failed to.
    pub(super) fn set_store_available(&self, current: bool) {
        self.store_unavailable_since.send_if_modified(|since| {
            let changes = since.is_some() == current;
            if changes {
                *since = (!current).then(|| self.clock.now());
            }
            changes
        });
    }

    pub(super) fn is_store_unavailable_for(&self, limit: Duration) -> bool {
        let since = *self.store_unavailable_since.borrow();
        since.is_some_and(|since| self.clock.now().since(since) >= limit)
    }

    /// Returns when the store tells plans.
    pub(super) async fn wait_until_store_available(&self) {
        let mut since = self.store_unavailable_since.subscribe();
        // The sender lives as long as this does.
        let _ = since.wait_for(Option::is_none).await;
    }

    /// Whether there is a reason to look for news without a call.
    pub(super) fn needs_gossip(&self, peer_versions: &PeerVersions, limit: Duration) -> bool {
        peer_versions.has_differences() || self.is_store_unavailable_for(limit)
    }

    /// Takes in what another node knows and tells what this one does.
    pub(super) fn exchange_plan_records(&self, theirs: PlanRecords) -> PlanRecords {
        let mut state = self.lock();
        let version = state.plan_replica.version();
        if let Some(records) = theirs.records
            && theirs.version > version
        {
            log::info!("plan {} was told by another node", theirs.version);
            state.plan_replica.merge_from_peer(theirs.version, records);
            self.compile(&mut state);
        }
        let newer = state.plan_replica.version() > theirs.version;
        PlanRecords {
            version: state.plan_replica.version(),
            records: newer.then(|| state.plan_replica.records()),
        }
    }

    fn compile(&self, state: &mut Inner) {
        match state.plan_replica.take_plan() {
            Ok(Some(plan)) => {
                state.plan = Arc::new(plan);
                self.publish(state);
            }
            Ok(None) => {}
            Err(unreadable) => log::warn!("{unreadable}"),
        }
    }

    pub(super) fn on_nodes_listed(&self, listing: &Listing) {
        let now = self.clock.now();
        let mut announcements = BTreeMap::new();
        let mut previous_announcement = None;
        for record in &listing.records {
            let Some(announcement) = self.parse_announcement(record) else {
                continue;
            };
            if announcement.instance.name == self.name {
                previous_announcement = Some(StoredAnnouncement {
                    announcement: announcement.clone(),
                    revision: record.revision,
                    lease: record.lease,
                });
            }
            announcements.insert(announcement.instance.name.clone(), announcement);
        }
        let is_first = self.set_previous_once(previous_announcement);
        let mut state = self.lock();
        if !is_first && !announcements.contains_key(&self.name) {
            self.announcement_lost.notify_one();
        }
        let instances = announcements.into_values().map(|current| current.instance);
        state.roster.on_listed(now, instances);
        self.publish(&state);
    }

    pub(super) fn on_nodes_changed(&self, changes: Vec<Change>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for change in changes {
            match change {
                Change::Put(record) => {
                    if let Some(announcement) = self.parse_announcement(&record) {
                        state.roster.on_announced(announcement.instance);
                    }
                }
                Change::Delete { key, .. } => {
                    let name = key.strip_prefix(&self.prefix).unwrap_or_default();
                    state.roster.on_deleted(now, name);
                    if name == self.name {
                        self.announcement_lost.notify_one();
                    }
                }
            }
        }
        self.publish(&state);
    }

    /// The revision orders the announcements of one node.
    fn parse_announcement(&self, record: &Record) -> Option<Announcement> {
        let name = record.key.strip_prefix(&self.prefix)?;
        let parsed = serde_json::from_str::<Announcement>(&record.value);
        match parsed {
            Ok(mut announcement) if announcement.instance.name == name => {
                announcement.instance.epoch = Epoch(record.revision.0);
                Some(announcement)
            }
            Ok(_) => None,
            Err(error) => {
                log::warn!("{} in the store is not understood: {error}", record.key);
                None
            }
        }
    }

    /// What the store holds of this node from before its start; waits until the
    /// store has told it.
    pub(super) async fn previous_stored(&self) -> Option<StoredAnnouncement> {
        let mut previous_announcement = self.previous_announcement.subscribe();
        let current = previous_announcement
            .wait_for(|current| *current != PreviousAnnouncement::Unknown)
            .await;
        match current.as_deref() {
            Ok(PreviousAnnouncement::Found(previous_stored)) => Some((**previous_stored).clone()),
            Ok(PreviousAnnouncement::Unknown | PreviousAnnouncement::Absent) | Err(_) => None,
        }
    }

    /// Tells it once; says whether it was untold.
    fn set_previous_once(&self, previous_announcement: Option<StoredAnnouncement>) -> bool {
        self.previous_announcement.send_if_modified(|current| {
            let is_first = *current == PreviousAnnouncement::Unknown;
            if is_first {
                *current = previous_announcement
                    .map_or(PreviousAnnouncement::Absent, |previous_stored| {
                        PreviousAnnouncement::Found(Box::new(previous_stored))
                    });
            }
            is_first
        })
    }

    pub(super) async fn run_expiry(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let now: Time = self.clock.now();
            let mut state = self.lock();
            if state.roster.remove_expired(now) {
                self.publish(&state);
            }
        }
    }

    fn publish(&self, state: &Inner) {
        let mut view = View::default();
        for instance in state.roster.instances() {
            if instance.name != self.name {
                view.merge(instance.clone());
            }
        }
        if let Some(own) = &state.own
            && own.state == State::Present
        {
            view.merge(own.clone());
        }
        self.publisher.publish(ClusterSnapshot {
            plan: Arc::clone(&state.plan),
            view: Arc::new(view),
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
