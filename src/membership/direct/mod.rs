//! Membership in which every node follows the store itself.
//!
//! A platform that sells cheap watches needs no relays: each node watches what
//! the operators wrote and what the nodes announce, and keeps its own
//! announcement under a lease. Peers tell each other nothing. A deletion in the
//! store is no proof that a node is gone, since leases lapse while the store is
//! away; such a node stays in the view for a while, and its gate decides.
//!
//! [`Ledger`] and [`Roster`] decide, without I/O; the follower and the announcer
//! make the calls.

mod announcement;
mod announcer;
mod board;
mod bulletin;
mod follower;
mod ledger;
mod roster;
mod rumour;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::handle::Publisher;
use super::{Handle, Instance, Situation, State, View};
use crate::clock::{Clock, Time};
use crate::plan::{Plan, Version};
use crate::store::{Client, Listing, Record};

pub use announcement::{Announcement, Departed};
pub use board::Board;
pub use bulletin::{Bulletin, Neighbours};
pub use ledger::Ledger;
pub use roster::Roster;
pub use rumour::Rumour;

use announcer::Announcer;

/// Longest wait for the withdrawal of the announcement.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a plan out of the records that the operators keep in the store.
pub trait Source: fmt::Debug + Send + Sync + 'static {
    /// Start of the keys of these records.
    fn prefix(&self) -> &str;

    /// Compiles the records; nothing while they hold no plan.
    ///
    /// # Errors
    ///
    /// Tells which record cannot be read. The plan before stays in force.
    fn plan(
        &self,
        version: Version,
        records: &BTreeMap<String, String>,
    ) -> Result<Option<Plan>, Unreadable>;

    /// Number that the operators gave to the plan. It never goes back.
    fn number(&self, records: &BTreeMap<String, String>) -> u64;
}

/// {key} cannot be read ({cause}); the plan before stays in force until the record is mended
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Unreadable {
    /// Key of the record.
    pub key: String,
    /// What was wrong.
    pub cause: String,
}

impl std::error::Error for Unreadable {}

/// How a node follows the store and announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Start of the keys of announcements.
    pub prefix: String,
    /// Time to live of the lease of the announcement.
    pub ttl: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Longest wait of one watch.
    pub watch_wait: Duration,
    /// Pause between two watches of announcements, so that many changes at once
    /// take few calls.
    pub spacing: Duration,
    /// First pause after a failed call; it doubles.
    pub retry_min: Duration,
    /// Longest pause after a failed call.
    pub retry_max: Duration,
    /// Time for which a node stays in the view after its announcement lapsed.
    pub lapse: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            prefix: "monsooncove/node/".to_owned(),
            ttl: Duration::from_secs(12),
            renewal: Duration::from_secs(4),
            watch_wait: Duration::from_secs(10),
            spacing: Duration::from_millis(250),
            retry_min: Duration::from_millis(200),
            retry_max: Duration::from_millis(1_500),
            lapse: Duration::from_secs(20),
            seed: 0,
        }
    }
}

/// Membership of one node.
#[derive(Debug)]
pub struct Member {
    handle: Handle,
    desired: Arc<watch::Sender<Option<Announcement>>>,
    shared: Arc<Shared>,
    departures: mpsc::Sender<oneshot::Sender<()>>,
    heard: mpsc::Sender<board::Heard>,
    hearing: Mutex<Option<mpsc::Receiver<board::Heard>>>,
    shutdown: CancellationToken,
}

impl Member {
    /// What the data path asks.
    #[must_use]
    pub fn board(&self) -> Board {
        Board {
            handle: self.handle.clone(),
            shared: Arc::clone(&self.shared),
            heard: self.heard.clone(),
        }
    }

    /// Lets this node exchange bulletins with others, once.
    pub fn meet(&self, neighbours: Arc<dyn Neighbours>) {
        let hearing = self
            .hearing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(hearing) = hearing {
            let shared = Arc::clone(&self.shared);
            let handle = self.handle.clone();
            spawn_until(
                &self.shutdown,
                board::run(shared, handle, neighbours, hearing),
            );
        }
    }

    /// Access for the other slices.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Announces this node, or something new of it.
    pub fn announce(&self, announcement: Announcement) {
        self.shared.set_own(&announcement.instance);
        self.desired.send_replace(Some(announcement));
    }

    /// What this node announced before it was started again; waits until the
    /// store has told it.
    pub async fn previous(&self) -> Option<Announcement> {
        let mut previous = self.shared.previous.subscribe();
        let told = previous.wait_for(|told| *told != Previous::Untold).await;
        match told.as_deref() {
            Ok(Previous::Announced(announcement)) => Some((**announcement).clone()),
            Ok(Previous::Untold | Previous::Nothing) | Err(_) => None,
        }
    }

    /// Withdraws the announcement.
    pub async fn leave(&self) {
        let (done, finished) = oneshot::channel();
        if self.departures.send(done).await.is_err() {
            return;
        }
        let left = tokio::time::timeout(LEAVE_TIMEOUT, finished).await;
        if left.is_err() {
            log::warn!("the announcement could not be withdrawn in time; its lease will lapse");
        }
    }
}

/// Starts membership of this node; it runs until `shutdown`.
pub fn start<C: Client>(
    settings: Settings,
    client: C,
    source: &Arc<dyn Source>,
    clock: Clock,
    shutdown: &CancellationToken,
) -> Member {
    let client = Arc::new(client);
    // Links that are dead are found by the router alone.
    let (suspicions, _) = mpsc::channel(1);
    let (departures, departed) = mpsc::channel(1);
    let publisher = Publisher::new();
    let handle = publisher.handle(suspicions);
    let desired = Arc::new(watch::Sender::new(None));
    let (heard, hearing) = mpsc::channel(board::HEARD_QUEUE);
    let shared = Arc::new(Shared {
        silent_since: Mutex::new(Some(clock.now())),
        state: Mutex::new(Shelf {
            ledger: Ledger::new(Arc::clone(source)),
            roster: Roster::new(settings.lapse),
            own: None,
            plan: Arc::default(),
        }),
        name: settings.name.clone(),
        prefix: settings.prefix.clone(),
        previous: watch::Sender::new(Previous::Untold),
        lost: Notify::new(),
        publisher,
        clock,
    });
    let plans = follower::Follower {
        prefix: source.prefix().to_owned(),
        spacing: Duration::ZERO,
        settings: settings.clone(),
        client: Arc::clone(&client),
        shared: Arc::clone(&shared),
        subject: follower::Subject::Plans,
    };
    let nodes = follower::Follower {
        prefix: settings.prefix.clone(),
        spacing: settings.spacing,
        settings: settings.clone(),
        client: Arc::clone(&client),
        shared: Arc::clone(&shared),
        subject: follower::Subject::Nodes,
    };
    let announcer = Announcer::new(settings, client, Arc::clone(&shared), desired.subscribe());
    spawn_until(shutdown, plans.run());
    spawn_until(shutdown, nodes.run());
    spawn_until(shutdown, announcer.run(departed));
    spawn_until(shutdown, Arc::clone(&shared).expire());
    Member {
        handle,
        desired,
        shared,
        departures,
        heard,
        hearing: Mutex::new(Some(hearing)),
        shutdown: shutdown.clone(),
    }
}

/// What the tasks of one membership share.
#[derive(Debug)]
struct Shared {
    state: Mutex<Shelf>,
    /// Since when the store has not told plans.
    silent_since: Mutex<Option<Time>>,
    name: String,
    prefix: String,
    previous: watch::Sender<Previous>,
    /// Raised when the store has lost this node's announcement.
    lost: Notify,
    publisher: Publisher,
    clock: Clock,
}

/// What this node announced before it was started again.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Previous {
    /// The store has not told it yet.
    Untold,
    /// Nothing.
    Nothing,
    /// This.
    Announced(Box<Announcement>),
}

#[derive(Debug)]
struct Shelf {
    ledger: Ledger,
    roster: Roster,
    own: Option<Instance>,
    plan: Arc<Plan>,
}

impl Shared {
    /// The own epoch counts what was announced since the start; the store
    /// gives announcements another order.
    fn set_own(&self, instance: &Instance) {
        let mut state = self.lock();
        let epoch = state.own.as_ref().map_or(super::Epoch(0), |own| own.epoch);
        if state.own.as_ref().is_some_and(|own| own.is_like(instance)) {
            return;
        }
        state.own = Some(Instance {
            epoch: super::Epoch(epoch.0 + 1),
            ..instance.clone()
        });
        self.publish(&state);
    }

    fn plans_listed(&self, listing: Listing) {
        let mut state = self.lock();
        state.ledger.listed(listing);
        self.compile(&mut state);
    }

    fn plans_changed(&self, changes: Vec<crate::store::Change>) {
        let mut state = self.lock();
        state.ledger.changed(changes);
        self.compile(&mut state);
    }

    /// The store told plans, or failed to.
    fn store_told(&self, told: bool) {
        let mut since = self
            .silent_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if told {
            *since = None;
        } else if since.is_none() {
            *since = Some(self.clock.now());
        }
    }

    fn store_is_silent(&self, limit: Duration) -> bool {
        let since = *self
            .silent_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| self.clock.now().since(since) >= limit)
    }

    /// Whether there is a reason to look for news without a call.
    fn needs_news(&self, rumour: &Rumour, limit: Duration) -> bool {
        rumour.is_pending() || self.store_is_silent(limit)
    }

    /// Takes in what another node knows and tells what this one does.
    fn bulletin(&self, theirs: Bulletin) -> Bulletin {
        let mut state = self.lock();
        let version = state.ledger.version();
        if let Some(records) = theirs.records
            && theirs.version > version
        {
            log::info!("plan {} was told by another node", theirs.version);
            state.ledger.told(theirs.version, records);
            self.compile(&mut state);
        }
        let newer = state.ledger.version() > theirs.version;
        Bulletin {
            version: state.ledger.version(),
            records: newer.then(|| state.ledger.records()),
        }
    }

    fn compile(&self, state: &mut Shelf) {
        match state.ledger.take_plan() {
            Ok(Some(plan)) => {
                state.plan = Arc::new(plan);
                self.publish(state);
            }
            Ok(None) => {}
            Err(unreadable) => log::warn!("{unreadable}"),
        }
    }

    fn nodes_listed(&self, listing: &Listing) {
        let now = self.clock.now();
        let mut announcements = BTreeMap::new();
        for record in &listing.records {
            if let Some(announcement) = self.read(record) {
                announcements.insert(announcement.instance.name.clone(), announcement);
            }
        }
        self.tell_previous(announcements.get(&self.name).cloned());
        let mut state = self.lock();
        if !announcements.contains_key(&self.name) {
            self.lost.notify_one();
        }
        let instances = announcements.into_values().map(|told| told.instance);
        state.roster.listed(now, instances);
        self.publish(&state);
    }

    fn nodes_changed(&self, changes: Vec<crate::store::Change>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for change in changes {
            match change {
                crate::store::Change::Put(record) => {
                    if let Some(announcement) = self.read(&record) {
                        state.roster.announced(announcement.instance);
                    }
                }
                crate::store::Change::Delete { key, .. } => {
                    let name = key.strip_prefix(&self.prefix).unwrap_or_default();
                    state.roster.deleted(now, name);
                    if name == self.name {
                        self.lost.notify_one();
                    }
                }
            }
        }
        self.publish(&state);
    }

    /// The revision orders the announcements of one node.
    fn read(&self, record: &Record) -> Option<Announcement> {
        let name = record.key.strip_prefix(&self.prefix)?;
        let parsed = serde_json::from_str::<Announcement>(&record.value);
        match parsed {
            Ok(mut announcement) if announcement.instance.name == name => {
                announcement.instance.epoch = super::Epoch(record.revision.0);
                Some(announcement)
            }
            Ok(_) => None,
            Err(error) => {
                log::warn!("{} in the store is not understood: {error}", record.key);
                None
            }
        }
    }

    fn tell_previous(&self, previous: Option<Announcement>) {
        self.previous.send_if_modified(|told| {
            let first = *told == Previous::Untold;
            if first {
                *told = previous.map_or(Previous::Nothing, |announcement| {
                    Previous::Announced(Box::new(announcement))
                });
            }
            first
        });
    }

    async fn expire(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(5)).await;
            let now: Time = self.clock.now();
            let mut state = self.lock();
            if state.roster.expire(now) {
                self.publish(&state);
            }
        }
    }

    fn publish(&self, state: &Shelf) {
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
        self.publisher.publish(Situation {
            plan: Arc::clone(&state.plan),
            view: Arc::new(view),
        });
    }

    fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn spawn_until(shutdown: &CancellationToken, work: impl Future<Output = ()> + Send + 'static) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = work => {}
            () = shutdown.cancelled() => {}
        }
    });
}
