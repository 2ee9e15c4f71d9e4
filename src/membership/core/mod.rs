//! State machine of membership. It receives the time and events and returns actions; no I/O.
//!
//! Techniques: gossip of plan texts and roster entries with digests, and failure detection by
//! heartbeats and accusations of several monitors. Texts and entries only move to newer versions,
//! whatever the source and order, so relays may be duplicated, paused or replaced without
//! consensus. Messages that were lost are detected by the digests in heartbeats.

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
use super::roster::{Entry, MemberStatus, Roster};
use super::text::{SheetText, TextHistory, TextId};
use super::topology::Topology;
use super::{ClusterSnapshot, Epoch, Instance, InstanceId, State, View};
use crate::clock::Time;
use crate::plan::{Plan, Version};

use heartbeat::HeartbeatState;
use spread::Origin;
use suspicion::AccusationLog;

pub use timing::Timing;

/// What the core is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Announcement of this node, with its first epoch.
    pub instance: Instance,
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
    SendHeartbeat {
        /// Who is asked.
        to: InstanceId,
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
        have: TextId,
    },
    /// Compile the newest text; report the plan.
    Compile(Arc<SheetText>),
    /// Write the announcement to the store again: its epoch has changed.
    Reannounce,
}

/// How a heartbeat failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address.
    Refused,
    /// No answer in time.
    TimedOut,
}

/// State of membership of one node.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    own_id: InstanceId,
    instance: Instance,
    leaving: bool,
    roster: Roster,
    topology: Topology,
    topology_generation: u64,
    texts: TextHistory,
    plan: Arc<Plan>,
    in_force: TextId,
    heartbeat_states: BTreeMap<InstanceId, HeartbeatState>,
    accusation_log: AccusationLog,
    suspects: BTreeSet<InstanceId>,
    quarantine: BTreeSet<InstanceId>,
    pending: Pending,
    next_probe_at: Time,
    last_probed_id: InstanceId,
    next_prune_at: Time,
    fetch_deadline: Time,
    pull_deadline: Time,
    next_join_at: Time,
    last_tick_at: Time,
    last_reannounced_at: Option<Time>,
    last_contact_at: Option<Time>,
    last_follower_contact_at: Option<Time>,
    published: Option<PublishedState>,
    rng: ChaCha8Rng,
}

/// What waits to be sent.
#[derive(Debug, Default)]
struct Pending {
    entries: BTreeSet<InstanceId>,
    plan: bool,
    compile: bool,
    last_flush_at: Option<Time>,
}

/// Names what was published last.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PublishedState {
    generation: u64,
    plan: TextId,
    quarantine: BTreeSet<InstanceId>,
}

impl Core {
    /// Membership of a node that knows only itself.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        let instance = settings.instance.clone();
        let own_id = InstanceId::of(&instance.name);
        let mut core = Self {
            own_id,
            instance,
            leaving: false,
            roster: Roster::default(),
            topology: Topology::default(),
            topology_generation: 0,
            texts: TextHistory::default(),
            plan: Arc::default(),
            in_force: TextId::default(),
            heartbeat_states: BTreeMap::new(),
            accusation_log: AccusationLog::default(),
            suspects: BTreeSet::new(),
            quarantine: BTreeSet::new(),
            pending: Pending::default(),
            next_probe_at: now,
            last_probed_id: InstanceId::default(),
            next_prune_at: now,
            fetch_deadline: now,
            pull_deadline: now,
            next_join_at: now,
            last_tick_at: now,
            last_reannounced_at: None,
            last_contact_at: None,
            last_follower_contact_at: None,
            published: None,
            rng: ChaCha8Rng::seed_from_u64(settings.seed ^ own_id.0),
            settings,
        };
        core.merge_own_entry(now);
        core.pending.entries.insert(own_id);
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
    pub fn stamp(&self) -> TextId {
        self.texts.stamp()
    }

    /// Name of the text whose plan is in force.
    #[must_use]
    pub const fn in_force(&self) -> TextId {
        self.in_force
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
        self.topology.present_count
    }

    /// Whether this node relays for its zone.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay()
    }

    /// Whether this node keeps a watch on the store.
    #[must_use]
    pub fn follows_store(&self, now: Time) -> bool {
        let is_needed = self.topology.is_follower()
            || self.is_isolated(now)
            || (self.is_relay() && self.lacks_follower_contact(now));
        !self.leaving && is_needed
    }

    /// The snapshot, if it has changed since the last call.
    pub fn take_snapshot(&mut self) -> Option<ClusterSnapshot> {
        let latest = PublishedState {
            generation: self.roster.generation(),
            plan: self.in_force,
            quarantine: self.quarantine.clone(),
        };
        if self.published.as_ref() == Some(&latest) {
            return None;
        }
        self.published = Some(latest);
        let mut view = View::default();
        for (id, entry) in self.roster.iter() {
            if entry.standing == MemberStatus::Present && !self.quarantine.contains(&id) {
                view.merge(entry.instance.clone());
            }
        }
        Some(ClusterSnapshot {
            plan: Arc::clone(&self.plan),
            view: Arc::new(view),
        })
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        self.last_tick_at = now;
        self.refute_newer_claims(now, actions);
        self.prune(now);
        self.refresh_topology(now);
        self.send_heartbeats(now, actions);
        self.accuse_unresponsive(now, actions);
        self.join(now, actions);
        self.apply_pending(now, actions);
    }

    /// Takes in announcements found in the store.
    pub fn on_store_instances(
        &mut self,
        now: Time,
        instances: Vec<Instance>,
        actions: &mut Vec<Action>,
    ) {
        self.detect_own_pause(now, actions);
        let entries = instances.into_iter().map(|instance| Entry {
            standing: match instance.state {
                State::Present => MemberStatus::Present,
                State::Leaving => MemberStatus::Leaving,
            },
            instance,
        });
        self.merge_entries(now, entries.collect());
        self.apply_pending(now, actions);
    }

    /// Takes in that an announcement has gone from the store. That alone is no
    /// evidence: the store may have been down, or its holder paused.
    pub fn on_store_delete(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        let id = InstanceId::of(name);
        let Some(entry) = self.roster.get(id) else {
            return;
        };
        if entry.standing == MemberStatus::Present {
            return;
        }
        let epoch = entry.instance.epoch;
        if self.roster.set_standing(now, id, epoch, MemberStatus::Gone) {
            self.pending.entries.insert(id);
        }
        self.apply_pending(now, actions);
    }

    /// Takes in a text found in the store.
    pub fn on_store_text(&mut self, now: Time, text: SheetText, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        self.accept_text(text, Origin::Store);
        self.apply_pending(now, actions);
    }

    /// Withdraws this node.
    pub fn leave(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut recipients = self.topology.recipients();
        recipients.extend(self.topology.monitors_of(self.own_id));
        recipients.remove(&self.own_id);
        self.leaving = true;
        self.merge_own_entry(now);
        self.pending.entries.insert(self.own_id);
        self.flush(now, &recipients, actions);
        self.apply_pending(now, actions);
    }

    /// Announces this node anew when it has slept so long that its lease may
    /// have lapsed or its peers may have given it up.
    fn detect_own_pause(&mut self, now: Time, actions: &mut Vec<Action>) {
        let paused_for = now.since(self.last_tick_at);
        if paused_for < self.settings.timing.pause_threshold {
            return;
        }
        self.last_tick_at = now;
        self.reset_failure_detection(now);
        if paused_for >= self.settings.timing.failure_timeout {
            self.reannounce(now, self.instance.epoch, actions);
        }
    }

    fn prune(&mut self, now: Time) {
        if now < self.next_prune_at {
            return;
        }
        self.next_prune_at = now + self.settings.timing.prune_interval;
        self.roster.prune(now);
    }

    /// Announces this node anew when others hold something newer of it.
    fn refute_newer_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(entry) = self.roster.get(self.own_id) else {
            return;
        };
        let held = entry.instance.epoch;
        let is_own = entry.instance == self.instance && entry.standing == self.standing();
        let may_reannounce = self
            .last_reannounced_at
            .is_none_or(|last| now.since(last) >= self.settings.timing.reannounce_interval_min);
        if !is_own && may_reannounce {
            self.reannounce(now, held, actions);
        }
    }

    fn reannounce(&mut self, now: Time, above: Epoch, actions: &mut Vec<Action>) {
        let epoch = self.instance.epoch.max(above);
        self.instance.epoch = Epoch(epoch.0 + 1);
        self.last_reannounced_at = Some(now);
        self.merge_own_entry(now);
        self.pending.entries.insert(self.own_id);
        log::info!("announced again with epoch {}", self.instance.epoch.0);
        actions.push(Action::Reannounce);
    }

    fn merge_own_entry(&mut self, now: Time) {
        let entry = Entry {
            instance: self.instance.clone(),
            standing: self.standing(),
        };
        self.roster.merge(now, entry);
    }

    const fn standing(&self) -> MemberStatus {
        if self.leaving {
            MemberStatus::Leaving
        } else {
            MemberStatus::Present
        }
    }

    fn is_isolated(&self, now: Time) -> bool {
        self.last_contact_at
            .is_none_or(|last| now.since(last) >= self.settings.timing.isolation_timeout)
    }

    /// A zone that its region's followers do not reach looks after itself.
    fn lacks_follower_contact(&self, now: Time) -> bool {
        self.last_follower_contact_at
            .is_none_or(|last| now.since(last) >= self.settings.timing.isolation_timeout)
    }

    /// Notes that `from` is within reach.
    fn note_contact(&mut self, now: Time, from: InstanceId) {
        self.last_contact_at = Some(now);
        if self.topology.followers.contains(&from) {
            self.last_follower_contact_at = Some(now);
        }
    }

    fn address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.roster.get(id).map(|entry| entry.instance.control)
    }

    fn refresh_topology(&mut self, now: Time) {
        if self.topology_generation == self.roster.generation() {
            return;
        }
        self.topology_generation = self.roster.generation();
        self.topology = Topology::new(self.own_id, &self.roster);
        self.refresh_heartbeat_states(now);
    }

    /// Does what follows from any change.
    fn apply_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.refresh_topology(now);
        let is_due = self
            .pending
            .last_flush_at
            .is_none_or(|last| now.since(last) >= self.settings.timing.flush_interval);
        if is_due && (self.pending.plan || !self.pending.entries.is_empty()) {
            let recipients = self.topology.recipients();
            self.flush(now, &recipients, actions);
        }
        if std::mem::take(&mut self.pending.compile)
            && let Some(text) = self.texts.newest()
        {
            actions.push(Action::Compile(text));
        }
    }

    fn jitter(&mut self, interval: std::time::Duration) -> std::time::Duration {
        interval.mul_f64(self.rng.random_range(0.9..=1.1))
    }
}
