//! The instances that one node knows of.

use std::collections::BTreeMap;

use super::{Instance, State};

/// Known instances by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    instances: BTreeMap<String, Instance>,
}

impl View {
    /// Takes in an announcement unless a newer one is known. Tells whether
    /// anything changed.
    pub fn merge(&mut self, instance: Instance) -> bool {
        if let Some(known) = self.instances.get(&instance.name)
            && !supersedes(&instance, known)
        {
            return false;
        }
        self.instances.insert(instance.name.clone(), instance);
        true
    }

    /// Forgets `name`.
    pub fn remove(&mut self, name: &str) -> Option<Instance> {
        self.instances.remove(name)
    }

    /// The newest announcement of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// All instances in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Number of known instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}

fn supersedes(new: &Instance, known: &Instance) -> bool {
    let is_withdrawal = new.state == State::Leaving && known.state == State::Present;
    new.epoch > known.epoch || (new.epoch == known.epoch && is_withdrawal)
}
