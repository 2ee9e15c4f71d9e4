//! State shared by the tasks of direct membership: plan replica, roster and own announcement.
//!
//! Listings and changes from the store and plan records from peers come in; each change publishes a
//! new snapshot. What comes in of announcements stands in a file of its own.

mod announcements;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::{
    Announcement, DepartedProcess, DepartureLog, Departures, PackedRecords, PeerVersions,
    PlanRecords, PlanReplica, PlanSource, Progress, Relays, Roster, Settings, Witnesses,
};
use crate::clock::{Clock, Time};
use crate::membership::handle::Publisher;
use crate::membership::{ClusterSnapshot, Epoch, Instance, State, View};
use crate::plan::{Plan, Version};
use crate::store::{Change, Lease, Listing, Revision};

use super::bootstrap::Start;
use super::follower::Subject;

/// Time between two removals of expired announcements.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which records are kept that the store lost when it came back from an older copy.
const EARLIER_ERA_RETENTION: Duration = Duration::from_secs(15);

/// Time for which a relay may know a newer roster than this node, beyond the pause between watches.
const ROSTER_LAG_LIMIT: Duration = Duration::from_secs(1);

/// State shared by the tasks of one membership.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<Inner>,
    /// Time since which plans could not be read from the store; `None` while they can.
    store_unavailable_since: watch::Sender<Option<Time>>,
    /// Whether this node is to watch plans.
    watches_plans: watch::Sender<bool>,
    /// Whether this node is to watch announcements.
    watches_nodes: watch::Sender<bool>,
    /// Whether this node is the relay that watches in short waits.
    is_sentinel: watch::Sender<bool>,
    /// Counts the reasons to doubt that a waiting watch is still answered.
    doubts: watch::Sender<u64>,
    /// What subscribers are told.
    progress: watch::Sender<Progress>,
    pub(super) name: String,
    region: String,
    zone: String,
    /// Pause between two watches of announcements, at most.
    watch_pause_max: Duration,
    started_at: Time,
    prefix: String,
    pub(super) previous_announcement: watch::Sender<PreviousAnnouncement>,
    /// Whether the store gave no answer to a listing of announcements before the first that it gave.
    has_missed_store: AtomicBool,
    /// What is known of the first start of the fleet.
    pub(super) start: Start,
    /// Departure that the announcement in the store tells.
    stored_departure: watch::Sender<Option<DepartedProcess>>,
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

/// What a relay knows, compared with this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Comparison {
    /// Nothing more.
    Even,
    /// More than this node, which does not watch the store.
    Ahead,
    /// A newer plan than the store has told this node so far.
    AheadOfStore,
}

/// Revision of the roster that a relay told before the store did.
#[derive(Clone, Copy, Debug)]
struct RosterLag {
    revision: u64,
    since: Time,
}

#[derive(Debug)]
struct Inner {
    plan_replica: PlanReplica,
    /// Records of this version, as peers get them.
    packed_records: Option<(Version, PackedRecords)>,
    roster: Roster,
    roster_lag: Option<RosterLag>,
    relays: Relays,
    departure_log: DepartureLog,
    own: Option<Instance>,
    plan: Arc<Plan>,
    /// When records of an earlier era were first seen.
    earlier_era_since: Option<Time>,
}

impl Shared {
    /// Creates the state without plan and nodes.
    pub(super) fn new(
        settings: &Settings,
        source: &Arc<dyn PlanSource>,
        publisher: Publisher,
        clock: Clock,
    ) -> Arc<Self> {
        let now = clock.now();
        let relays = Relays::new(&settings.name, &settings.region, &settings.zone, now);
        Arc::new(Self {
            store_unavailable_since: watch::Sender::new(Some(now)),
            watches_plans: watch::Sender::new(relays.watches_plans(now)),
            watches_nodes: watch::Sender::new(relays.watches_nodes(now)),
            is_sentinel: watch::Sender::new(relays.is_sentinel(now)),
            doubts: watch::Sender::default(),
            progress: watch::Sender::default(),
            state: Mutex::new(Inner {
                plan_replica: PlanReplica::new(Arc::clone(source)),
                packed_records: None,
                roster: Roster::new(settings.lapsed_retention),
                roster_lag: None,
                relays,
                departure_log: DepartureLog::default(),
                own: None,
                plan: Arc::default(),
                earlier_era_since: None,
            }),
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            watch_pause_max: settings.watch_pause_max,
            started_at: now,
            has_missed_store: AtomicBool::new(false),
            start: Start::new(&settings.prefix),
            stored_departure: watch::Sender::default(),
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
        self.publish(&mut state);
    }

    /// Brings what follows from the time up to date: whether this node watches the store, and what
    /// its subscribers are told.
    pub(super) fn refresh(&self) {
        let mut state = self.lock();
        if state.relays.has_lost() {
            self.rank_relays(&mut state);
        } else {
            self.refresh_progress(&state);
        }
    }

    /// Ranks the relays after the roster has changed or one was lost.
    fn rank_relays(&self, state: &mut Inner) {
        let now = self.clock.now();
        state.relays.update(now, state.roster.announced());
        self.refresh_progress(state);
    }

    fn refresh_progress(&self, state: &Inner) {
        let now = self.clock.now();
        let watches = state.relays.watches_plans(now);
        set_if_changed(&self.watches_nodes, state.relays.watches_nodes(now));
        if set_if_changed(&self.watches_plans, watches) {
            log_role(watches, state.relays.is_relay());
        }
        let is_sentinel = state.relays.is_sentinel(now);
        if set_if_changed(&self.is_sentinel, is_sentinel) && is_sentinel {
            self.doubt_watches();
        }
        let reads_store = watches && self.store_unavailable_since.borrow().is_none();
        let progress = Progress {
            plan: state.plan_replica.version(),
            roster_revision: state.roster.revision(),
            distance: state.relays.distance(now, reads_store),
        };
        set_if_changed(&self.progress, progress);
    }

    /// Whether this node is to watch the records of `subject`.
    pub(super) fn watches(&self, subject: Subject) -> watch::Receiver<bool> {
        match subject {
            Subject::Plans => self.watches_plans.subscribe(),
            Subject::Nodes => self.watches_nodes.subscribe(),
        }
    }

    /// Whether this node is the relay that watches in short waits.
    pub(super) fn is_sentinel(&self) -> bool {
        *self.is_sentinel.borrow()
    }

    /// Changes whenever a watch that waits is to be given up and made again.
    pub(super) fn doubts(&self) -> watch::Receiver<u64> {
        self.doubts.subscribe()
    }

    fn doubt_watches(&self) {
        self.doubts.send_modify(|doubts| *doubts += 1);
    }

    /// Whether other nodes of the region are known.
    pub(super) fn knows_others(&self) -> bool {
        self.lock().relays.knows_others()
    }

    /// Whether this node is one of the relays of its region.
    pub(super) fn is_relay(&self) -> bool {
        self.lock().relays.is_relay()
    }

    /// What subscribers are told.
    pub(super) fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Relays to subscribe to, by name.
    pub(super) fn sources(&self) -> BTreeMap<String, SocketAddr> {
        self.lock().relays.sources().clone()
    }

    /// Takes in the progress of a relay, and returns whether the relay knows more than this node.
    /// A node that watches the store itself usually hears the same from there.
    pub(super) fn on_progress(&self, relay: &str, progress: Progress) -> Comparison {
        let now = self.clock.now();
        let mut state = self.lock();
        state.relays.on_heard(now, relay, progress.distance);
        self.refresh_progress(&state);
        let has_newer_plan = progress.plan > state.plan_replica.version();
        let has_newer_roster = progress.roster_revision > state.roster.revision();
        if *self.watches_plans.borrow() {
            if has_newer_plan {
                return Comparison::AheadOfStore;
            }
            if self.has_stuck_roster(&mut state, progress.roster_revision) {
                self.doubt_watches();
            }
            Comparison::Even
        } else if has_newer_plan || has_newer_roster {
            Comparison::Ahead
        } else {
            Comparison::Even
        }
    }

    /// Whether a relay has known a newer roster for longer than the store takes to tell it.
    fn has_stuck_roster(&self, state: &mut Inner, told: u64) -> bool {
        let now = self.clock.now();
        let own = state.roster.revision();
        if state.roster_lag.is_some_and(|lag| lag.revision <= own) {
            state.roster_lag = None;
        }
        if told <= own {
            return false;
        }
        let lag = *state.roster_lag.get_or_insert(RosterLag {
            revision: told,
            since: now,
        });
        let is_stuck = now.since(lag.since) >= self.watch_pause_max + ROSTER_LAG_LIMIT;
        if is_stuck {
            state.roster_lag = None;
        }
        is_stuck
    }

    /// Handles the end of the subscription to a relay, or an exchange that failed.
    pub(super) fn on_relay_lost(&self, relay: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.relays.on_lost(now, relay);
        self.rank_relays(&mut state);
    }

    /// Store revision from which a watch continues; `None` if nothing is known.
    pub(super) fn position(&self, subject: Subject) -> Option<Revision> {
        let state = self.lock();
        let revision = match subject {
            Subject::Plans => state.plan_replica.version().0,
            Subject::Nodes => state.roster.revision(),
        };
        (revision > 0).then_some(Revision(revision))
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
        if !current {
            self.doubt_watches();
        }
        self.refresh();
    }

    /// Whether this node watches the store and could not read it for `limit`.
    pub(super) fn is_store_unavailable_for(&self, limit: Duration) -> bool {
        let since = *self.store_unavailable_since.borrow();
        let is_unavailable = since.is_some_and(|since| self.clock.now().since(since) >= limit);
        is_unavailable && *self.watches_plans.borrow()
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

    /// Merges the news of a peer and returns what this node knows beyond them.
    pub(super) fn exchange_plan_records(&self, theirs: PlanRecords) -> PlanRecords {
        let mut state = self.lock();
        let PlanRecords {
            version,
            records,
            roster_revision,
            roster,
        } = theirs;
        if let Some(records) = records
            && version > state.plan_replica.version()
        {
            self.merge_records(&mut state, version, records);
            if *self.watches_plans.borrow() {
                // The store has not told this node in time.
                self.doubt_watches();
            }
        }
        if let Some(changes) = roster
            && state.roster.merge_from_peer(self.clock.now(), changes)
        {
            self.check_own_announcement(&state);
            self.publish(&mut state);
        }
        let is_newer = state.plan_replica.version() > version;
        let roster = match roster_revision {
            0 => None,
            known => state.roster.changes_since(known),
        };
        PlanRecords {
            version: state.plan_replica.version(),
            records: if is_newer { packed(&mut state) } else { None },
            roster_revision: state.roster.revision(),
            roster,
        }
    }

    /// What this node asks a peer with; its records go along if the peer's plan is older.
    pub(super) fn plan_records_for(&self, peer_version: Version) -> PlanRecords {
        let mut state = self.lock();
        let version = state.plan_replica.version();
        PlanRecords {
            version,
            records: if version > peer_version {
                packed(&mut state)
            } else {
                None
            },
            roster_revision: state.roster.revision(),
            roster: None,
        }
    }

    /// Remembers what another node acknowledged, and returns all that it is known to have.
    pub(super) fn exchange_departures(&self, theirs: &Departures) -> Departures {
        let processes = self.lock().departure_log.merge(theirs);
        Departures {
            instance: theirs.instance.clone(),
            processes,
            uptime: self.clock.now().since(self.started_at),
        }
    }

    /// What this node tells its witnesses.
    pub(super) fn own_departures(&self, processes: Vec<DepartedProcess>) -> Departures {
        Departures {
            instance: self.name.clone(),
            processes,
            uptime: self.clock.now().since(self.started_at),
        }
    }

    /// Addresses of the first `count` witnesses of this node.
    pub(super) fn witnesses(&self, count: usize) -> Vec<SocketAddr> {
        let ranking = Witnesses {
            name: &self.name,
            region: &self.region,
            zone: &self.zone,
        };
        ranking.choose(self.lock().roster.instances(), count)
    }

    /// Records the departure that the announcement in the store tells.
    pub(super) fn set_stored_departure(&self, departed: Option<DepartedProcess>) {
        set_if_changed(&self.stored_departure, departed);
    }

    /// Waits until the announcement in the store tells this departure.
    pub(super) async fn wait_until_stored(&self, departed: &DepartedProcess) {
        let mut stored = self.stored_departure.subscribe();
        // The sender lives as long as this does.
        let _ = stored
            .wait_for(|stored| stored.as_ref() == Some(departed))
            .await;
    }

    fn merge_records(&self, state: &mut Inner, version: Version, packed: PackedRecords) {
        let Some(records) = packed.unpack() else {
            log::warn!(
                "plan {version} of another node cannot be read and is refused; the plan in force \
                 stays until a node or the store sends it whole"
            );
            return;
        };
        log::info!("plan {version} was received from another node");
        state.plan_replica.merge_from_peer(version, records);
        state.packed_records = Some((version, packed));
        self.compile(state);
    }

    fn compile(&self, state: &mut Inner) {
        match state.plan_replica.take_plan() {
            Ok(Some(plan)) => {
                state.plan = Arc::new(plan);
                self.publish(state);
            }
            Ok(None) => self.refresh_progress(state),
            Err(unreadable) => {
                log::warn!("{unreadable}");
                self.refresh_progress(state);
            }
        }
    }

    pub(super) async fn run_expiry(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let now: Time = self.clock.now();
            let mut state = self.lock();
            if state.roster.remove_expired(now) {
                self.publish(&mut state);
            }
            if self.is_listed() {
                self.start.assign(&self.name, state.roster.announced());
            }
            self.expire_earlier_era(now, &mut state);
        }
    }

    /// Gives up records that the operators have not written again after the store came back.
    fn expire_earlier_era(&self, now: Time, state: &mut Inner) {
        if !state.plan_replica.has_earlier_era() {
            state.earlier_era_since = None;
            return;
        }
        let since = *state.earlier_era_since.get_or_insert(now);
        if now.since(since) >= EARLIER_ERA_RETENTION {
            state.plan_replica.remove_earlier_era();
            self.compile(state);
        }
    }

    fn publish(&self, state: &mut Inner) {
        self.rank_relays(state);
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

/// The records of the current version, packed once.
fn packed(state: &mut Inner) -> Option<PackedRecords> {
    let version = state.plan_replica.version();
    if let Some((packed_version, records)) = &state.packed_records
        && *packed_version == version
    {
        return Some(records.clone());
    }
    let records = PackedRecords::pack(&state.plan_replica.records())?;
    state.packed_records = Some((version, records.clone()));
    Some(records)
}

fn log_role(watches: bool, is_relay: bool) {
    match (watches, is_relay) {
        (true, true) => log::info!("this node watches the store as a relay"),
        (true, false) => log::info!("this node watches the store because it hears no relay"),
        (false, _) => log::info!("this node no longer watches the store; it hears relays"),
    }
}

/// Returns whether the value was another one before.
fn set_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) -> bool {
    sender.send_if_modified(|current| {
        let changes = *current != value;
        *current = value;
        changes
    })
}
