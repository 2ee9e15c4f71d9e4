//! Backend servers of one service, grouped by availability zone.

use crate::clock::Time;
use crate::plan::key;

use super::Settings;
use super::estimate::ServiceMean;
use super::key::Backend;
use super::member::{Distance, Member, Placement};

/// Backend servers of one service in one availability zone.
#[derive(Debug)]
pub(super) struct Group {
    zone_name: String,
    pub(super) region_name: String,
    pub(super) placement: Placement,
    pub(super) distance: Distance,
    /// In the order of their rendezvous scores, highest first.
    pub(super) members: Vec<Backend>,
    scores: Vec<u64>,
}

impl Group {
    fn matches(&self, member: &Member, placement: Placement, distance: Distance) -> bool {
        self.zone_name == member.zone_name
            && self.region_name == member.region_name
            && self.placement == placement
            && self.distance == distance
    }

    /// Returns the number of members from which candidates are sampled.
    pub(super) const fn subset_size(&self, settings: &Settings) -> usize {
        match self.distance {
            Distance::Own | Distance::Zone => settings.zone_subset,
            Distance::Region => settings.region_subset,
            Distance::Remote => settings.remote_subset,
        }
    }

    fn insert(&mut self, backend: Backend, score: u64) {
        let position = self.scores.partition_point(|&known| known > score);
        self.scores.insert(position, score);
        self.members.insert(position, backend);
    }

    fn remove(&mut self, backend: Backend) {
        if let Some(position) = self.members.iter().position(|&member| member == backend) {
            self.scores.remove(position);
            self.members.remove(position);
        }
    }
}

/// Backend servers of one service.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) groups: Vec<Group>,
    pub(super) own_backend: Option<Backend>,
    pub(super) mean: ServiceMean,
    pub(super) last_call_at: Option<Time>,
    /// Last time that a gate or a backend server had no room.
    pub(super) last_overload_at: Option<Time>,
    pub(super) probe_cursor: usize,
}

impl Pool {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            groups: Vec::new(),
            own_backend: None,
            mean: ServiceMean::new(settings),
            last_call_at: None,
            last_overload_at: None,
            probe_cursor: 0,
        }
    }

    pub(super) fn insert(&mut self, backend: Backend, member: &Member, placement: Placement) {
        if member.distance == Distance::Own {
            self.own_backend = Some(backend);
        }
        let distance = member.distance.max(Distance::Zone);
        let existing = self
            .groups
            .iter_mut()
            .find(|group| group.matches(member, placement, distance));
        if let Some(group) = existing {
            group.insert(backend, member.score);
            return;
        }
        self.groups.push(Group {
            zone_name: member.zone_name.clone(),
            region_name: member.region_name.clone(),
            placement,
            distance,
            members: vec![backend],
            scores: vec![member.score],
        });
    }

    pub(super) fn remove(&mut self, backend: Backend) {
        if self.own_backend == Some(backend) {
            self.own_backend = None;
        }
        for group in &mut self.groups {
            group.remove(backend);
        }
        self.groups.retain(|group| !group.members.is_empty());
    }

    /// Examines up to `max_members` members, continuing where the last search stopped.
    pub(super) fn find_next(
        &mut self,
        max_members: usize,
        predicate: impl Fn(Backend) -> bool,
    ) -> Option<Backend> {
        let count = self.members().count();
        for _ in 0..max_members.min(count) {
            self.probe_cursor = (self.probe_cursor + 1) % count;
            let backend = self.members().nth(self.probe_cursor)?;
            if predicate(backend) {
                return Some(backend);
            }
        }
        None
    }

    pub(super) fn clear(&mut self) {
        self.groups.clear();
        self.own_backend = None;
    }

    pub(super) fn members(&self) -> impl Iterator<Item = Backend> {
        self.groups
            .iter()
            .flat_map(|group| group.members.iter().copied())
    }
}

/// Pools by the service keys of the current plan.
#[derive(Debug, Default)]
pub(super) struct Pools {
    pools: Vec<Pool>,
}

impl Pools {
    /// Creates one empty pool for each of `services`. The moving averages are kept only if the
    /// number of services is unchanged.
    pub(super) fn reset(&mut self, services: usize, settings: &Settings) {
        if self.pools.len() == services {
            self.pools.iter_mut().for_each(Pool::clear);
        } else {
            self.pools = (0..services).map(|_| Pool::new(settings)).collect();
        }
    }

    pub(super) fn get(&self, service: key::Service) -> Option<&Pool> {
        self.pools.get(service.index())
    }

    pub(super) fn get_mut(&mut self, service: key::Service) -> Option<&mut Pool> {
        self.pools.get_mut(service.index())
    }

    pub(super) fn get_by_index(&mut self, index: usize) -> Option<&mut Pool> {
        self.pools.get_mut(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.pools.len()
    }
}
