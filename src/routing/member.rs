//! State of one known backend server.

use std::net::SocketAddr;

use crate::membership::{Epoch, Instance, InstanceId, State};
use crate::plan::{Plan, Regions, key};

use super::Location;
use super::estimate::LoadEstimate;
use super::health::Health;

/// Distance of a backend server, nearest first: this node's own, same availability zone, same
/// region, other region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    Own,
    Zone,
    Region,
    Remote,
}

/// Address, location, load estimate and health of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) instance: String,
    pub(super) epoch: Epoch,
    pub(super) peer: SocketAddr,
    pub(super) leaving: bool,
    pub(super) service_name: String,
    pub(super) version: String,
    pub(super) region_name: String,
    pub(super) zone_name: String,
    pub(super) distance: Distance,
    /// Rendezvous score of the member for this node; the highest come first in a group.
    pub(super) score: u64,
    pub(super) placement: Option<Placement>,
    pub(super) estimate: LoadEstimate,
    pub(super) health: Health,
}

/// Position of a backend server in the current plan.
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
            version: instance.version.clone(),
            region_name: instance.region.clone(),
            zone_name: instance.zone.clone(),
            distance: distance(instance, location),
            score: InstanceId::of(&instance.name).score(InstanceId::of(&location.instance)),
            placement: None,
            estimate,
            health: Health::default(),
        }
    }

    /// Returns whether epoch and state of `instance` match this member.
    pub(super) fn is_current(&self, instance: &Instance) -> bool {
        self.epoch == instance.epoch && self.leaving == (instance.state == State::Leaving)
    }

    /// Finds the member in `plan`. Returns `None` if the service is unknown or the plan puts the
    /// zone in another region.
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
    /// Returns whether calls that must stay in `regions` may be sent here.
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
