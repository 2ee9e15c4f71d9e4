//! What the tasks of one membership share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::{Announcement, Bulletin, Ledger, Roster, Rumour, Settings, Source};
use crate::clock::{Clock, Time};
use crate::membership::handle::Publisher;
use crate::membership::{Epoch, Instance, Situation, State, View};
use crate::plan::Plan;
use crate::store::{Change, Lease, Listing, Record, Revision};

/// Time between two looks for announcements that lapsed long ago.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// What the tasks of one membership share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<Shelf>,
    /// Since when the store has not told plans.
    silent_since: watch::Sender<Option<Time>>,
    pub(super) name: String,
    prefix: String,
    pub(super) previous: watch::Sender<Previous>,
    /// Raised when the store has lost this node's announcement.
    pub(super) lost: Notify,
    publisher: Publisher,
    pub(super) clock: Clock,
}

/// What this node announced before it was started again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Previous {
    /// The store has not told it yet.
    Untold,
    /// Nothing.
    Nothing,
    /// This.
    Announced(Box<Held>),
}

/// An announcement as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Held {
    pub(super) announcement: Announcement,
    pub(super) revision: Revision,
    pub(super) lease: Option<Lease>,
}

#[derive(Debug)]
struct Shelf {
    ledger: Ledger,
    roster: Roster,
    own: Option<Instance>,
    plan: Arc<Plan>,
}

impl Shared {
    /// Nothing is known yet.
    pub(super) fn new(
        settings: &Settings,
        source: &Arc<dyn Source>,
        publisher: Publisher,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Self {
            silent_since: watch::Sender::new(Some(clock.now())),
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
        })
    }

    /// The own epoch counts what was announced since the start; the store
    /// gives announcements another order.
    pub(super) fn set_own(&self, instance: &Instance) {
        let mut state = self.lock();
        let epoch = state.own.as_ref().map_or(Epoch(0), |own| own.epoch);
        if state.own.as_ref().is_some_and(|own| own.is_like(instance)) {
            return;
        }
        state.own = Some(Instance {
            epoch: Epoch(epoch.0 + 1),
            ..instance.clone()
        });
        self.publish(&state);
    }

    pub(super) fn plans_listed(&self, listing: Listing) {
        let mut state = self.lock();
        state.ledger.listed(listing);
        self.compile(&mut state);
    }

    pub(super) fn plans_changed(&self, changes: Vec<Change>) {
        let mut state = self.lock();
        state.ledger.changed(changes);
        self.compile(&mut state);
    }

    /// The store told plans, or failed to.
    pub(super) fn store_told(&self, told: bool) {
        self.silent_since.send_if_modified(|since| {
            let changes = since.is_some() == told;
            if changes {
                *since = (!told).then(|| self.clock.now());
            }
            changes
        });
    }

    pub(super) fn store_is_silent(&self, limit: Duration) -> bool {
        let since = *self.silent_since.borrow();
        since.is_some_and(|since| self.clock.now().since(since) >= limit)
    }

    /// Returns when the store tells plans.
    pub(super) async fn store_speaks(&self) {
        let mut since = self.silent_since.subscribe();
        // The sender lives as long as this does.
        let _ = since.wait_for(Option::is_none).await;
    }

    /// Whether there is a reason to look for news without a call.
    pub(super) fn needs_news(&self, rumour: &Rumour, limit: Duration) -> bool {
        rumour.is_pending() || self.store_is_silent(limit)
    }

    /// Takes in what another node knows and tells what this one does.
    pub(super) fn bulletin(&self, theirs: Bulletin) -> Bulletin {
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

    pub(super) fn nodes_listed(&self, listing: &Listing) {
        let now = self.clock.now();
        let mut announcements = BTreeMap::new();
        let mut previous = None;
        for record in &listing.records {
            let Some(announcement) = self.read(record) else {
                continue;
            };
            if announcement.instance.name == self.name {
                previous = Some(Held {
                    announcement: announcement.clone(),
                    revision: record.revision,
                    lease: record.lease,
                });
            }
            announcements.insert(announcement.instance.name.clone(), announcement);
        }
        let first = self.tell_previous(previous);
        let mut state = self.lock();
        if !first && !announcements.contains_key(&self.name) {
            self.lost.notify_one();
        }
        let instances = announcements.into_values().map(|told| told.instance);
        state.roster.listed(now, instances);
        self.publish(&state);
    }

    pub(super) fn nodes_changed(&self, changes: Vec<Change>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for change in changes {
            match change {
                Change::Put(record) => {
                    if let Some(announcement) = self.read(&record) {
                        state.roster.announced(announcement.instance);
                    }
                }
                Change::Delete { key, .. } => {
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
    pub(super) async fn held(&self) -> Option<Held> {
        let mut previous = self.previous.subscribe();
        let told = previous.wait_for(|told| *told != Previous::Untold).await;
        match told.as_deref() {
            Ok(Previous::Announced(held)) => Some((**held).clone()),
            Ok(Previous::Untold | Previous::Nothing) | Err(_) => None,
        }
    }

    /// Tells it once; says whether it was untold.
    fn tell_previous(&self, previous: Option<Held>) -> bool {
        self.previous.send_if_modified(|told| {
            let first = *told == Previous::Untold;
            if first {
                *told = previous.map_or(Previous::Nothing, |held| {
                    Previous::Announced(Box::new(held))
                });
            }
            first
        })
    }

    pub(super) async fn expire(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
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
