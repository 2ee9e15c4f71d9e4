//! Nodes known from their announcements in the store.
//!
//! Takes listings and changes of announcements, and keeps a node for a fixed time after its
//! announcement was deleted, because a lease may lapse although the node is alive.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::{Instance, State};

/// Announced nodes by name.
#[derive(Debug)]
pub struct Roster {
    lapsed_retention: Duration,
    known_nodes: BTreeMap<String, NodeEntry>,
}

#[derive(Debug)]
struct NodeEntry {
    instance: Instance,
    lapsed_at: Option<Time>,
}

impl Roster {
    /// A roster whose nodes stay for `lapsed_retention` after their announcement is gone.
    #[must_use]
    pub const fn new(lapsed_retention: Duration) -> Self {
        Self {
            lapsed_retention,
            known_nodes: BTreeMap::new(),
        }
    }

    /// Adds or updates a node; older epochs are ignored. A node with the same peer address but
    /// another name is removed.
    pub fn on_announced(&mut self, instance: Instance) {
        self.known_nodes.retain(|name, known_node| {
            *name == instance.name || known_node.instance.peer != instance.peer
        });
        let current = self.known_nodes.get(&instance.name);
        if current.is_some_and(|current| current.instance.epoch > instance.epoch) {
            return;
        }
        let name = instance.name.clone();
        let known_node = NodeEntry {
            instance,
            lapsed_at: None,
        };
        self.known_nodes.insert(name, known_node);
    }

    /// Applies a full listing: nodes that are missing from it count as deleted.
    pub fn on_listed(&mut self, now: Time, instances: impl Iterator<Item = Instance>) {
        let on_listed: Vec<Instance> = instances.collect();
        let missing: Vec<String> = self
            .known_nodes
            .keys()
            .filter(|name| !on_listed.iter().any(|instance| instance.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.on_deleted(now, &name);
        }
        for instance in on_listed {
            self.on_announced(instance);
        }
    }

    /// Handles the deletion of an announcement. A leaving node is removed; any other is kept for
    /// the retention time, since its lease may have lapsed although it is alive.
    pub fn on_deleted(&mut self, now: Time, name: &str) {
        let Some(known_node) = self.known_nodes.get_mut(name) else {
            return;
        };
        if known_node.instance.state == State::Leaving {
            self.known_nodes.remove(name);
        } else {
            known_node.lapsed_at.get_or_insert(now);
        }
    }

    /// Removes nodes whose announcement has been missing for the retention time. Returns whether
    /// any was removed.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let before = self.known_nodes.len();
        let retention = self.lapsed_retention;
        self.known_nodes
            .retain(|_, node| node.lapsed_at.is_none_or(|at| now.since(at) < retention));
        self.known_nodes.len() < before
    }

    /// Known nodes in the order of their names.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.known_nodes
            .values()
            .map(|known_node| &known_node.instance)
    }
}
