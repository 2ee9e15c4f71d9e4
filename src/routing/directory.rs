//! Updates the arena and the pools when the plan or the membership view changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;
use crate::membership::{ClusterSnapshot, Instance, View};
use crate::plan::{Plan, key};

use super::arena::Arena;
use super::estimate::LoadEstimate;
use super::key::Backend;
use super::member::Member;
use super::pool::Pools;
use super::{Location, Settings};

/// Known backend servers and their pools according to the plan.
#[derive(Debug, Default)]
pub(super) struct Directory {
    pub(super) arena: Arena,
    pub(super) pools: Pools,
    pub(super) plan: Arc<Plan>,
    view: Arc<View>,
    backends_by_name: BTreeMap<String, Backend>,
}

impl Directory {
    /// Applies `snapshot`; updates only what has changed.
    pub(super) fn update(
        &mut self,
        now: Time,
        snapshot: &ClusterSnapshot,
        location: &Location,
        settings: &Settings,
    ) {
        let is_same_plan = Arc::ptr_eq(&self.plan, &snapshot.plan);
        let is_same_view = Arc::ptr_eq(&self.view, &snapshot.view);
        if !is_same_plan {
            self.plan = Arc::clone(&snapshot.plan);
        }
        if !is_same_view {
            self.update_view(now, &snapshot.view, location);
            self.view = Arc::clone(&snapshot.view);
        }
        if !is_same_plan {
            self.assign_all(settings);
        }
    }

    /// Returns the name of a service; empty if the plan has no such key.
    pub(super) fn service_name(&self, service: key::Service) -> &str {
        let found = self.plan.services.get(service.index());
        found.map_or("", |service| &service.name)
    }

    /// Returns the key of an instance's backend server.
    pub(super) fn find_by_instance(&self, instance: &str) -> Option<Backend> {
        self.backends_by_name.get(instance).copied()
    }

    fn update_view(&mut self, now: Time, view: &View, location: &Location) {
        let removed: Vec<Backend> = self
            .backends_by_name
            .iter()
            .filter(|(name, _)| view.get(name).is_none())
            .map(|(_, &backend)| backend)
            .collect();
        for backend in removed {
            self.remove(backend);
        }
        for instance in view.iter() {
            self.upsert(now, instance, location);
        }
    }

    fn upsert(&mut self, now: Time, instance: &Instance, location: &Location) {
        if let Some(&backend) = self.backends_by_name.get(&instance.name) {
            let member = self.arena.get_mut(backend);
            match member {
                Some(member) if member.is_current(instance) => return,
                Some(member) if member.epoch == instance.epoch => {
                    // A leaving member is kept because its calls in flight are still counted.
                    member.leaving = true;
                    return;
                }
                _ => self.remove(backend),
            }
        }
        self.insert(now, instance, location);
    }

    fn insert(&mut self, now: Time, instance: &Instance, location: &Location) {
        let limit = self.initial_limit(&instance.service);
        let member = Member::new(instance, location, LoadEstimate::unknown(limit, now));
        let backend = self.arena.insert(member);
        self.backends_by_name.insert(instance.name.clone(), backend);
        self.assign(backend);
    }

    fn remove(&mut self, backend: Backend) {
        let Some(member) = self.arena.remove(backend) else {
            return;
        };
        self.backends_by_name.remove(&member.instance);
        let pool = member
            .placement
            .and_then(|placement| self.pools.get_mut(placement.service));
        if let Some(pool) = pool {
            pool.remove(backend);
        }
    }

    fn assign(&mut self, backend: Backend) {
        let Some(member) = self.arena.get_mut(backend) else {
            return;
        };
        let was_out_of_service = member
            .placement
            .is_some_and(|placement| !placement.in_service);
        member.placement = member.placement_in(&self.plan);
        if was_out_of_service
            && member
                .placement
                .is_some_and(|placement| placement.in_service)
        {
            member.health.clear_backoff();
        }
        if let Some(placement) = member.placement
            && let Some(pool) = self.pools.get_mut(placement.service)
        {
            pool.insert(backend, member, placement);
        }
    }

    fn assign_all(&mut self, settings: &Settings) {
        self.pools.reset(self.plan.services.len(), settings);
        let backends: Vec<Backend> = self.backends_by_name.values().copied().collect();
        for backend in backends {
            self.assign(backend);
        }
    }

    fn initial_limit(&self, service: &str) -> u32 {
        let key = self.plan.service_names.get(service);
        key.map_or(1, |&key| self.plan.service(key).cold.allowance)
    }
}
