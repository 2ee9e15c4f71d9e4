//! Keeps the arena and the pools in step with plan and view.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;
use crate::membership::{ClusterSnapshot, Instance, View};
use crate::plan::{Plan, key};

use super::arena::Arena;
use super::estimate::Estimate;
use super::key::Backend;
use super::member::Member;
use super::pool::Pools;
use super::{Place, Settings};

/// Known backend servers and where they stand in the plan.
#[derive(Debug, Default)]
pub(super) struct Directory {
    pub(super) arena: Arena,
    pub(super) pools: Pools,
    pub(super) plan: Arc<Plan>,
    view: Arc<View>,
    names: BTreeMap<String, Backend>,
}

impl Directory {
    /// Takes over `snapshot`; touches only what has changed.
    pub(super) fn update(
        &mut self,
        now: Time,
        snapshot: &ClusterSnapshot,
        place: &Place,
        settings: &Settings,
    ) {
        let same_plan = Arc::ptr_eq(&self.plan, &snapshot.plan);
        let same_view = Arc::ptr_eq(&self.view, &snapshot.view);
        if !same_plan {
            self.plan = Arc::clone(&snapshot.plan);
        }
        if !same_view {
            self.update_view(now, &snapshot.view, place);
            self.view = Arc::clone(&snapshot.view);
        }
        if !same_plan {
            self.place_all(settings);
        }
    }

    /// Name of a service of the plan; empty when the plan has no such key.
    pub(super) fn service_name(&self, service: key::Service) -> &str {
        let known = self.plan.services.get(service.index());
        known.map_or("", |service| &service.name)
    }

    /// The backend server of an instance.
    pub(super) fn find(&self, instance: &str) -> Option<Backend> {
        self.names.get(instance).copied()
    }

    fn update_view(&mut self, now: Time, view: &View, place: &Place) {
        let gone: Vec<Backend> = self
            .names
            .iter()
            .filter(|(name, _)| view.get(name).is_none())
            .map(|(_, &backend)| backend)
            .collect();
        for backend in gone {
            self.remove(backend);
        }
        for instance in view.iter() {
            self.merge(now, instance, place);
        }
    }

    fn merge(&mut self, now: Time, instance: &Instance, place: &Place) {
        if let Some(&backend) = self.names.get(&instance.name) {
            let member = self.arena.get_mut(backend);
            match member {
                Some(member) if member.is_current(instance) => return,
                Some(member) if member.epoch == instance.epoch => {
                    // Calls in flight are still counted on a member that leaves.
                    member.leaving = true;
                    return;
                }
                _ => self.remove(backend),
            }
        }
        self.insert(now, instance, place);
    }

    fn insert(&mut self, now: Time, instance: &Instance, place: &Place) {
        let limit = self.fresh_limit(&instance.service);
        let member = Member::new(instance, place, Estimate::unknown(limit, now));
        let backend = self.arena.insert(member);
        self.names.insert(instance.name.clone(), backend);
        self.place(backend);
    }

    fn remove(&mut self, backend: Backend) {
        let Some(member) = self.arena.remove(backend) else {
            return;
        };
        self.names.remove(&member.instance);
        let pool = member
            .site
            .and_then(|site| self.pools.get_mut(site.service));
        if let Some(pool) = pool {
            pool.remove(backend);
        }
    }

    fn place(&mut self, backend: Backend) {
        let Some(member) = self.arena.get_mut(backend) else {
            return;
        };
        let was_out = member.site.is_some_and(|site| !site.in_service);
        member.site = member.locate(&self.plan);
        if was_out && member.site.is_some_and(|site| site.in_service) {
            member.health.opened();
        }
        if let Some(site) = member.site
            && let Some(pool) = self.pools.get_mut(site.service)
        {
            pool.insert(backend, member, site);
        }
    }

    fn place_all(&mut self, settings: &Settings) {
        self.pools.reset(self.plan.services.len(), settings);
        let backends: Vec<Backend> = self.names.values().copied().collect();
        for backend in backends {
            self.place(backend);
        }
    }

    fn fresh_limit(&self, service: &str) -> u32 {
        let key = self.plan.service_names.get(service);
        key.map_or(1, |&key| self.plan.service(key).cold.allowance)
    }
}
