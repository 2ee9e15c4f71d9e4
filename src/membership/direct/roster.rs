//! Nodes known from their announcements in the store.
//!
//! Takes listings and changes of announcements, and keeps a node for a fixed time after its
//! announcement was deleted, because a lease may lapse although the node is alive. The roster is
//! complete up to a revision of the store, so nodes can tell each other what changed since then.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::membership::{Instance, State};

/// Maximum number of removed nodes that are remembered for peers that have not heard of them.
const MAX_TOMBSTONES: usize = 1_024;

/// Announced nodes by name.
#[derive(Debug)]
pub struct Roster {
    lapsed_retention: Duration,
    known_nodes: BTreeMap<String, NodeEntry>,
    names_by_peer: BTreeMap<SocketAddr, String>,
    /// Store revision up to which all changes are included.
    revision: u64,
    /// Removed nodes with the revision of their deletion.
    tombstones: BTreeMap<String, u64>,
    /// Revision before which deletions may have been forgotten.
    tombstones_complete_from: u64,
}

#[derive(Debug)]
struct NodeEntry {
    instance: Instance,
    lapsed: Option<Lapse>,
}

#[derive(Clone, Copy, Debug)]
struct Lapse {
    at: Time,
    revision: u64,
}

/// Changes of a roster between two store revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterChanges {
    /// Store revision up to which the changes go.
    pub revision: u64,
    /// Whether these are all nodes, so that any other is gone.
    pub complete: bool,
    /// Announcements; their epoch is the revision of the write.
    pub announced: Vec<Instance>,
    /// Nodes whose announcement was deleted although they had not left, with the revision of the
    /// deletion.
    pub lapsed: Vec<(String, u64)>,
    /// Removed nodes, with the revision of the deletion.
    pub gone: Vec<(String, u64)>,
}

impl Roster {
    /// A roster whose nodes stay for `lapsed_retention` after their announcement is gone.
    #[must_use]
    pub const fn new(lapsed_retention: Duration) -> Self {
        Self {
            lapsed_retention,
            known_nodes: BTreeMap::new(),
            names_by_peer: BTreeMap::new(),
            revision: 0,
            tombstones: BTreeMap::new(),
            tombstones_complete_from: 0,
        }
    }

    /// Store revision up to which the roster is complete.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds or updates a node; older epochs are ignored. A node with the same peer address but
    /// another name is removed.
    pub fn on_announced(&mut self, instance: Instance) {
        let revision = instance.epoch.0;
        self.revision = self.revision.max(revision);
        let current = self.known_nodes.get(&instance.name);
        if current.is_some_and(|current| current.instance.epoch > instance.epoch) {
            return;
        }
        let holder = self.names_by_peer.get(&instance.peer).cloned();
        if let Some(replaced) = holder.filter(|holder| *holder != instance.name) {
            self.bury(&replaced, revision);
        }
        if let Some(current) = self.known_nodes.get(&instance.name) {
            self.names_by_peer.remove(&current.instance.peer);
        }
        let name = instance.name.clone();
        self.names_by_peer.insert(instance.peer, name.clone());
        self.tombstones.remove(&name);
        let node = NodeEntry {
            instance,
            lapsed: None,
        };
        self.known_nodes.insert(name, node);
    }

    /// Applies a full listing: nodes that are missing from it count as deleted.
    pub fn on_listed(
        &mut self,
        now: Time,
        revision: u64,
        instances: impl Iterator<Item = Instance>,
    ) {
        let listed: BTreeMap<String, Instance> = instances
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        let missing: Vec<String> = self
            .known_nodes
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in missing {
            self.on_deleted(now, &name, revision);
        }
        for instance in listed.into_values() {
            self.on_announced(instance);
        }
    }

    /// Handles the deletion of an announcement. A leaving node is removed; any other is kept for
    /// the retention time, since its lease may have lapsed although it is alive.
    pub fn on_deleted(&mut self, now: Time, name: &str, revision: u64) {
        self.revision = self.revision.max(revision);
        let Some(node) = self.known_nodes.get_mut(name) else {
            return;
        };
        if node.instance.epoch.0 > revision {
            return;
        }
        if node.instance.state == State::Leaving {
            self.bury(name, revision);
        } else {
            node.lapsed.get_or_insert(Lapse { at: now, revision });
        }
    }

    /// Handles the removal of a node by a peer.
    fn on_gone(&mut self, name: &str, revision: u64) {
        let node = self.known_nodes.get(name);
        if node.is_some_and(|node| node.instance.epoch.0 <= revision) {
            self.bury(name, revision);
        }
    }

    /// Changes after `revision`; `None` if there are none.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<RosterChanges> {
        if self.revision <= revision {
            return None;
        }
        let complete = revision == 0 || revision < self.tombstones_complete_from;
        let nodes = self.known_nodes.values();
        let announced = nodes.filter(|node| node.lapsed.is_none());
        let announced = announced.filter(|node| complete || node.instance.epoch.0 > revision);
        let nodes = self.known_nodes.iter();
        let lapsed = nodes.filter_map(|(name, node)| Some((name.clone(), node.lapsed?.revision)));
        let tombstones = self.tombstones.iter();
        let gone = tombstones.map(|(name, &at)| (name.clone(), at));
        let is_news = |(_, at): &(String, u64)| *at > revision;
        Some(RosterChanges {
            revision: self.revision,
            complete,
            announced: announced.map(|node| node.instance.clone()).collect(),
            lapsed: lapsed.filter(is_news).collect(),
            gone: gone.filter(is_news).collect(),
        })
    }

    /// Applies the changes that a peer knows. Returns whether they were news.
    pub fn merge_from_peer(&mut self, now: Time, changes: RosterChanges) -> bool {
        if changes.revision <= self.revision {
            return false;
        }
        let revision = changes.revision;
        if changes.complete {
            self.on_listed(now, revision, changes.announced.into_iter());
        } else {
            for instance in changes.announced {
                self.on_announced(instance);
            }
            for (name, at) in changes.lapsed {
                self.on_deleted(now, &name, at);
            }
            for (name, at) in changes.gone {
                self.on_gone(&name, at);
            }
        }
        self.revision = revision;
        true
    }

    /// Removes nodes whose announcement has been missing for the retention time. Returns whether
    /// any was removed.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let retention = self.lapsed_retention;
        let expired: Vec<(String, u64)> = self
            .known_nodes
            .iter()
            .filter_map(|(name, node)| Some((name.clone(), node.lapsed?)))
            .filter(|(_, lapse)| now.since(lapse.at) >= retention)
            .map(|(name, lapse)| (name, lapse.revision))
            .collect();
        for (name, revision) in &expired {
            self.bury(name, *revision);
        }
        !expired.is_empty()
    }

    /// Known nodes in the order of their names.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.known_nodes.values().map(|node| &node.instance)
    }

    /// Known nodes whose announcement is in the store.
    pub fn announced(&self) -> impl Iterator<Item = &Instance> {
        let nodes = self.known_nodes.values();
        let announced = nodes.filter(|node| node.lapsed.is_none());
        announced.map(|node| &node.instance)
    }

    /// Removes a node and remembers that it is gone.
    fn bury(&mut self, name: &str, revision: u64) {
        if let Some(node) = self.known_nodes.remove(name) {
            self.names_by_peer.remove(&node.instance.peer);
        }
        self.tombstones.insert(name.to_owned(), revision);
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self
            .tombstones
            .iter()
            .min_by_key(|(_, revision)| **revision);
        if let Some((name, &revision)) = oldest {
            let name = name.clone();
            self.tombstones.remove(&name);
            self.tombstones_complete_from = self.tombstones_complete_from.max(revision);
        }
    }
}
