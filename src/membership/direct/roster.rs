//! The nodes that were announced.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::{Instance, State};

/// Announced nodes by name.
#[derive(Debug)]
pub struct Roster {
    lapse: Duration,
    sightings: BTreeMap<String, Sighting>,
}

#[derive(Debug)]
struct Sighting {
    instance: Instance,
    lapsed: Option<Time>,
}

impl Roster {
    /// A roster whose nodes stay for `lapse` after their announcement is gone.
    #[must_use]
    pub const fn new(lapse: Duration) -> Self {
        Self {
            lapse,
            sightings: BTreeMap::new(),
        }
    }

    /// Takes in one announcement. A new node at the address of an earlier one
    /// replaces it.
    pub fn announced(&mut self, instance: Instance) {
        self.sightings.retain(|name, sighting| {
            *name == instance.name || sighting.instance.peer != instance.peer
        });
        let known = self.sightings.get(&instance.name);
        if known.is_some_and(|known| known.instance.epoch > instance.epoch) {
            return;
        }
        let name = instance.name.clone();
        let sighting = Sighting {
            instance,
            lapsed: None,
        };
        self.sightings.insert(name, sighting);
    }

    /// Takes in all announcements at once.
    pub fn listed(&mut self, now: Time, instances: impl Iterator<Item = Instance>) {
        let listed: Vec<Instance> = instances.collect();
        let missing: Vec<String> = self
            .sightings
            .keys()
            .filter(|name| !listed.iter().any(|instance| instance.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.deleted(now, &name);
        }
        for instance in listed {
            self.announced(instance);
        }
    }

    /// An announcement is gone. A node that said that it leaves is forgotten;
    /// of any other, the lease may have lapsed though it lives.
    pub fn deleted(&mut self, now: Time, name: &str) {
        let Some(sighting) = self.sightings.get_mut(name) else {
            return;
        };
        if sighting.instance.state == State::Leaving {
            self.sightings.remove(name);
        } else {
            sighting.lapsed.get_or_insert(now);
        }
    }

    /// Forgets nodes whose announcement has been gone for long. Tells whether
    /// there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.sightings.len();
        let lapse = self.lapse;
        self.sightings
            .retain(|_, sighting| sighting.lapsed.is_none_or(|at| now.since(at) < lapse));
        self.sightings.len() < before
    }

    /// Known nodes in the order of their names.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.sightings.values().map(|sighting| &sighting.instance)
    }
}
