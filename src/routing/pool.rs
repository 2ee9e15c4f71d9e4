//! Backend servers of one service, by availability zone.

use crate::clock::Time;
use crate::plan::key;

use super::Settings;
use super::estimate::Mean;
use super::key::Backend;
use super::member::{Distance, Member, Site};

/// Backend servers of one service in one availability zone.
#[derive(Debug)]
pub(super) struct Group {
    zone_name: String,
    pub(super) region_name: String,
    pub(super) site: Site,
    pub(super) distance: Distance,
    pub(super) members: Vec<Backend>,
}

impl Group {
    fn matches(&self, member: &Member, site: Site, distance: Distance) -> bool {
        self.zone_name == member.zone_name
            && self.region_name == member.region_name
            && self.site == site
            && self.distance == distance
    }
}

/// Backend servers of one service.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) groups: Vec<Group>,
    pub(super) own: Option<Backend>,
    pub(super) mean: Mean,
    pub(super) last_asked: Option<Time>,
    pub(super) probe_cursor: usize,
}

impl Pool {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            groups: Vec::new(),
            own: None,
            mean: Mean::new(settings),
            last_asked: None,
            probe_cursor: 0,
        }
    }

    pub(super) fn insert(&mut self, backend: Backend, member: &Member, site: Site) {
        if member.distance == Distance::Own {
            self.own = Some(backend);
        }
        let distance = member.distance.max(Distance::Zone);
        let known = self
            .groups
            .iter_mut()
            .find(|group| group.matches(member, site, distance));
        if let Some(group) = known {
            group.members.push(backend);
            return;
        }
        self.groups.push(Group {
            zone_name: member.zone_name.clone(),
            region_name: member.region_name.clone(),
            site,
            distance,
            members: vec![backend],
        });
    }

    pub(super) fn remove(&mut self, backend: Backend) {
        if self.own == Some(backend) {
            self.own = None;
        }
        for group in &mut self.groups {
            group.members.retain(|&member| member != backend);
        }
        self.groups.retain(|group| !group.members.is_empty());
    }

    /// Looks at up to `steps` members from where the last search stopped.
    pub(super) fn next_where(
        &mut self,
        steps: usize,
        fits: impl Fn(Backend) -> bool,
    ) -> Option<Backend> {
        let count = self.members().count();
        for _ in 0..steps.min(count) {
            self.probe_cursor = (self.probe_cursor + 1) % count;
            let backend = self.members().nth(self.probe_cursor)?;
            if fits(backend) {
                return Some(backend);
            }
        }
        None
    }

    pub(super) fn clear(&mut self) {
        self.groups.clear();
        self.own = None;
    }

    pub(super) fn members(&self) -> impl Iterator<Item = Backend> {
        self.groups
            .iter()
            .flat_map(|group| group.members.iter().copied())
    }
}

/// Pools by the service keys of the plan in force.
#[derive(Debug, Default)]
pub(super) struct Pools {
    pools: Vec<Pool>,
}

impl Pools {
    /// Makes one empty pool for each of `services`. Learned means are kept only
    /// as long as the arena of services keeps its length.
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

    pub(super) fn at(&mut self, index: usize) -> Option<&mut Pool> {
        self.pools.get_mut(index)
    }

    pub(super) fn len(&self) -> usize {
        self.pools.len()
    }
}
