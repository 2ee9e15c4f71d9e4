//! State shared by the tasks of direct membership: plan replica, roster and own announcement.
//!
//! Listings and changes from the store and plan records from peers come in; each change publishes a
//! new snapshot.

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

/// Time between two removals of expired announcements.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// State shared by the tasks of one membership.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<Inner>,
    /// Time since which plans could not be read from the store; `None` while they can.
    store_unavailable_since: watch::Sender<Option<Time>>,
    pub(super) name: String,
    prefix: String,
    pub(super) previous_announcement: watch::Sender<PreviousAnnouncement>,
    /// Notified when this node's announcement is missing from the store.
    pub(super) announcement_lost: Notify,
    publisher: Publisher,
    pub(super) clock: Clock,
}

/// Announcement that this node made before its restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PreviousAnnouncement {
    /// Announcements have not been listed yet.
    Unknown,
    /// The store holds none.
    Absent,
    /// The announcement found in the store.
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
    /// Creates the state without plan and nodes.
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

    /// Sets the own instance. Its local epoch counts the announcements since the start; announcements
    /// read from the store are ordered by store revision instead.
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

    /// Records whether the last read of plans from the store succeeded.
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

    /// Waits until plans can be read from the store.
    pub(super) async fn wait_until_store_available(&self) {
        let mut since = self.store_unavailable_since.subscribe();
        // The sender lives as long as this does.
        let _ = since.wait_for(Option::is_none).await;
    }

    /// Whether there is a reason to look for news without a call.
    pub(super) fn needs_gossip(&self, peer_versions: &PeerVersions, limit: Duration) -> bool {
        peer_versions.has_differences() || self.is_store_unavailable_for(limit)
    }

    /// Merges the plan records of a peer and returns the own ones.
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

    /// Parses an announcement. Its epoch is set to the record revision, which orders the
    /// announcements of one node.
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

    /// Returns the announcement that the store held before this start. Waits for the first listing.
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

    /// Sets the previous announcement once. Returns whether it was unknown before.
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
