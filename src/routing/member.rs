//! One known backend server.

use std::net::SocketAddr;

use crate::membership::{Epoch, Instance, State};
use crate::plan::{Plan, Regions, key};

use super::Location;
use super::estimate::LoadEstimate;
use super::health::Health;

/// How far away a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    Own,
    Zone,
    Region,
    Remote,
}

/// Where a backend server is and how it does.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) instance: String,
    pub(super) epoch: Epoch,
    pub(super) peer: SocketAddr,
    pub(super) leaving: bool,
    pub(super) service_name: String,
    pub(super) region_name: String,
    pub(super) zone_name: String,
    pub(super) distance: Distance,
    pub(super) placement: Option<Placement>,
    pub(super) estimate: LoadEstimate,
    pub(super) health: Health,
}

/// Where a backend server stands in the plan in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Placement {
    pub(super) service: key::Service,
    pub(super) region: Option<key::Region>,
    pub(super) zone: Option<key::Zone>,
    pub(super) in_service: bool,
}

impl Member {
    pub(super) fn new(instance: &Instance, location: &Location, estimate: LoadEstimate) -> Self {
        Self {
            instance: instance.name.clone(),
            epoch: instance.epoch,
            peer: instance.peer,
            leaving: instance.state == State::Leaving,
            service_name: instance.service.clone(),
            region_name: instance.region.clone(),
            zone_name: instance.zone.clone(),
            distance: distance(instance, location),
            placement: None,
            estimate,
            health: Health::default(),
        }
    }

    /// Whether the announcement is the one this member was made from.
    pub(super) fn is_current(&self, instance: &Instance) -> bool {
        self.epoch == instance.epoch && self.leaving == (instance.state == State::Leaving)
    }

    /// Finds the member in `plan`. A zone that lies in another region there
    /// makes the member unknown.
    pub(super) fn placement_in(&self, plan: &Plan) -> Option<Placement> {
        let service = *plan.service_names.get(&self.service_name)?;
        let region = plan.region_names.get(&self.region_name).copied();
        let zone = plan.zone_names.get(&self.zone_name).copied();
        let in_service = zone.is_some_and(|zone| plan.zone(zone).in_service);
        let is_consistent = zone.is_none_or(|zone| region == Some(plan.zone(zone).region));
        is_consistent.then_some(Placement {
            service,
            region,
            zone,
            in_service,
        })
    }
}

impl Placement {
    /// Whether calls that must stay in `regions` may go here.
    pub(super) fn allows(&self, regions: Regions) -> bool {
        match self.region {
            Some(region) => regions.contains(region),
            None => regions == Regions::ALL,
        }
    }
}

fn distance(instance: &Instance, location: &Location) -> Distance {
    if instance.name == location.instance {
        Distance::Own
    } else if instance.region != location.region {
        Distance::Remote
    } else if instance.zone != location.zone {
        Distance::Region
    } else {
        Distance::Zone
    }
}
