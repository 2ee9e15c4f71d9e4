//! The decisions of membership. Pure: it is given the time and what happened,
//! and returns what to do.
//!
//! Plan texts and roster entries only ever move forward, whoever brings them
//! and in whatever order, so relays may be doubled, paused or replaced without
//! any agreement. What a message missed, the digests in heartbeats reveal.

mod heartbeat;
mod spread;
mod suspicion;
mod timing;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::message::{Heartbeat, News};
use super::roster::{Entry, Roster, Standing};
use super::text::{Stamp, Text, Texts};
use super::topology::Topology;
use super::{Compile, Epoch, Id, Instance, Situation, State, View};
use crate::clock::Time;
use crate::plan::{Plan, Version};

use heartbeat::Watch;
use spread::Origin;
use suspicion::Witnesses;

pub use timing::Timing;

/// What the core is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Announcement of this node, with its first epoch.
    pub instance: Instance,
    /// Makes a plan of a text.
    pub compile: Compile,
    /// Addresses to learn plan and view from.
    pub join: Vec<SocketAddr>,
    /// Seed of every random decision.
    pub seed: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat; report its answer or failure.
    Beat {
        /// Who is asked.
        to: Id,
        /// Where it listens.
        address: SocketAddr,
        /// What it is told.
        heartbeat: Heartbeat,
    },
    /// Send news; nobody waits for the result.
    Push {
        /// Where to.
        address: SocketAddr,
        /// What.
        news: Arc<News>,
    },
    /// Ask for the entries that differ.
    Pull {
        /// Whom to ask.
        address: SocketAddr,
        /// Digests of this node's buckets.
        buckets: Vec<u64>,
    },
    /// Ask for a newer text.
    Fetch {
        /// Whom to ask.
        address: SocketAddr,
        /// What this node has.
        have: Stamp,
    },
    /// Write the announcement to the store again: its epoch has changed.
    Reannounce,
}

/// How a heartbeat failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address.
    Refused,
    /// No answer in time.
    Silent,
}

/// State of membership of one node.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    me: Id,
    instance: Instance,
    leaving: bool,
    roster: Roster,
    topology: Topology,
    topology_generation: u64,
    texts: Texts,
    plan: Arc<Plan>,
    rejected: Option<Stamp>,
    watches: BTreeMap<Id, Watch>,
    witnesses: Witnesses,
    suspects: BTreeSet<Id>,
    quarantine: BTreeSet<Id>,
    pending: Pending,
    next_probe: Time,
    last_probed: Id,
    next_prune: Time,
    fetching_until: Time,
    pulling_until: Time,
    next_join: Time,
    last_tick: Time,
    last_bump: Option<Time>,
    last_contact: Option<Time>,
    last_follower: Option<Time>,
    published: Option<Snapshot>,
    rng: ChaCha8Rng,
}

/// What waits to be sent.
#[derive(Debug, Default)]
struct Pending {
    entries: BTreeSet<Id>,
    plan: bool,
    last_flush: Option<Time>,
}

/// Names what was published last.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Snapshot {
    generation: u64,
    plan: Stamp,
    quarantine: BTreeSet<Id>,
}

impl Core {
    /// Membership of a node that knows only itself.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        let instance = settings.instance.clone();
        let me = Id::of(&instance.name);
        let mut core = Self {
            me,
            instance,
            leaving: false,
            roster: Roster::default(),
            topology: Topology::default(),
            topology_generation: 0,
            texts: Texts::default(),
            plan: Arc::default(),
            rejected: None,
            watches: BTreeMap::new(),
            witnesses: Witnesses::default(),
            suspects: BTreeSet::new(),
            quarantine: BTreeSet::new(),
            pending: Pending::default(),
            next_probe: now,
            last_probed: Id::default(),
            next_prune: now,
            fetching_until: now,
            pulling_until: now,
            next_join: now,
            last_tick: now,
            last_bump: None,
            last_contact: None,
            last_follower: None,
            published: None,
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ me.0),
            settings,
        };
        core.merge_own(now);
        core.pending.entries.insert(me);
        core.refresh_topology(now);
        core
    }

    /// What this node announces of itself.
    #[must_use]
    pub const fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Name of the newest text.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.texts.stamp()
    }

    /// Version of the plan in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.plan.version
    }

    /// Digest of the roster.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.roster.digest()
    }

    /// Present nodes of the fleet.
    #[must_use]
    pub const fn fleet_size(&self) -> usize {
        self.topology.present
    }

    /// Whether this node relays for its zone.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay()
    }

    /// Whether this node keeps a watch on the store.
    #[must_use]
    pub fn follows_store(&self, now: Time) -> bool {
        let needed = self.topology.is_follower()
            || self.has_heard_nothing(now)
            || (self.is_relay() && self.has_heard_no_follower(now));
        !self.leaving && needed
    }

    /// The situation, if it has changed since the last call.
    pub fn take_situation(&mut self) -> Option<Situation> {
        let snapshot = Snapshot {
            generation: self.roster.generation(),
            plan: self.stamp(),
            quarantine: self.quarantine.clone(),
        };
        if self.published.as_ref() == Some(&snapshot) {
            return None;
        }
        self.published = Some(snapshot);
        let mut view = View::default();
        for (id, entry) in self.roster.iter() {
            if entry.standing == Standing::Present && !self.quarantine.contains(&id) {
                view.merge(entry.instance.clone());
            }
        }
        Some(Situation {
            plan: Arc::clone(&self.plan),
            view: Arc::new(view),
        })
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        self.last_tick = now;
        self.refute(now, actions);
        self.prune(now);
        self.refresh_topology(now);
        self.beat(now, actions);
        self.accuse(now, actions);
        self.join(now, actions);
        self.settle(now, actions);
    }

    /// Takes in announcements found in the store.
    pub fn store_put(&mut self, now: Time, found: Vec<Instance>, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        let entries = found.into_iter().map(|instance| Entry {
            standing: match instance.state {
                State::Present => Standing::Present,
                State::Leaving => Standing::Leaving,
            },
            instance,
        });
        self.learn(now, entries.collect());
        self.settle(now, actions);
    }

    /// Takes in that an announcement has gone from the store. That alone is no
    /// evidence: the store may have been down, or its holder paused.
    pub fn store_lapsed(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        let id = Id::of(name);
        let Some(entry) = self.roster.get(id) else {
            return;
        };
        if entry.standing == Standing::Present {
            return;
        }
        let epoch = entry.instance.epoch;
        if self.roster.mark(now, id, epoch, Standing::Gone) {
            self.pending.entries.insert(id);
        }
        self.settle(now, actions);
    }

    /// Takes in a text found in the store.
    pub fn store_text(&mut self, now: Time, text: Text, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        self.adopt(text, Origin::Store);
        self.settle(now, actions);
    }

    /// Withdraws this node.
    pub fn leave(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut recipients = self.topology.recipients();
        recipients.extend(self.topology.monitors_of(self.me));
        recipients.remove(&self.me);
        self.leaving = true;
        self.merge_own(now);
        self.pending.entries.insert(self.me);
        self.flush(now, &recipients, actions);
        self.settle(now, actions);
    }

    /// Announces this node anew when it has slept so long that its lease may
    /// have lapsed or its peers may have given it up.
    fn notice_pause(&mut self, now: Time, actions: &mut Vec<Action>) {
        let slept = now.since(self.last_tick);
        if slept < self.settings.timing.pause_limit {
            return;
        }
        self.last_tick = now;
        self.forgive(now);
        if slept >= self.settings.timing.silence_limit {
            self.bump(now, self.instance.epoch, actions);
        }
    }

    fn prune(&mut self, now: Time) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + self.settings.timing.prune_interval;
        self.roster.prune(now);
    }

    /// Announces this node anew when others hold something newer of it.
    fn refute(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(entry) = self.roster.get(self.me) else {
            return;
        };
        let held = entry.instance.epoch;
        let is_own = entry.instance == self.instance && entry.standing == self.standing();
        let rested = self
            .last_bump
            .is_none_or(|last| now.since(last) >= self.settings.timing.bump_interval);
        if !is_own && rested {
            self.bump(now, held, actions);
        }
    }

    fn bump(&mut self, now: Time, above: Epoch, actions: &mut Vec<Action>) {
        let epoch = self.instance.epoch.max(above);
        self.instance.epoch = Epoch(epoch.0 + 1);
        self.last_bump = Some(now);
        self.merge_own(now);
        self.pending.entries.insert(self.me);
        log::info!("announced again with epoch {}", self.instance.epoch.0);
        actions.push(Action::Reannounce);
    }

    fn merge_own(&mut self, now: Time) {
        let entry = Entry {
            instance: self.instance.clone(),
            standing: self.standing(),
        };
        self.roster.merge(now, entry);
    }

    const fn standing(&self) -> Standing {
        if self.leaving {
            Standing::Leaving
        } else {
            Standing::Present
        }
    }

    fn has_heard_nothing(&self, now: Time) -> bool {
        self.last_contact
            .is_none_or(|last| now.since(last) >= self.settings.timing.lonely_after)
    }

    /// A zone that its region's followers do not reach looks after itself.
    fn has_heard_no_follower(&self, now: Time) -> bool {
        self.last_follower
            .is_none_or(|last| now.since(last) >= self.settings.timing.lonely_after)
    }

    /// Notes that `from` is within reach.
    fn hear_from(&mut self, now: Time, from: Id) {
        self.last_contact = Some(now);
        if self.topology.followers.contains(&from) {
            self.last_follower = Some(now);
        }
    }

    fn address(&self, id: Id) -> Option<SocketAddr> {
        self.roster.get(id).map(|entry| entry.instance.control)
    }

    fn refresh_topology(&mut self, now: Time) {
        if self.topology_generation == self.roster.generation() {
            return;
        }
        self.topology_generation = self.roster.generation();
        self.topology = Topology::new(self.me, &self.roster);
        self.refresh_watches(now);
    }

    /// Does what follows from any change.
    fn settle(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.refresh_topology(now);
        let due = self
            .pending
            .last_flush
            .is_none_or(|last| now.since(last) >= self.settings.timing.flush_interval);
        if due && (self.pending.plan || !self.pending.entries.is_empty()) {
            let recipients = self.topology.recipients();
            self.flush(now, &recipients, actions);
        }
    }

    fn jitter(&mut self, interval: std::time::Duration) -> std::time::Duration {
        interval.mul_f64(self.rng.random_range(0.9..=1.1))
    }
}
