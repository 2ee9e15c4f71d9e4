//! Who relays for a zone and who watches whom, by rendezvous rank.
//!
//! Every node computes this from its own roster. There is no election: nodes
//! whose rosters differ for a moment may have one relay too many, which costs
//! a doubled message and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use super::Id;
use super::roster::{Roster, Standing};
use xxhash_rust::xxh3::xxh3_64;

/// Relays of each availability zone.
pub const RELAYS_PER_ZONE: usize = 2;
/// Monitors of an instance in its own zone, and as many in a zone beside it.
const MONITORS_PER_ZONE: usize = 2;
/// Monitors that must agree, where there are as many.
pub const WITNESSES: usize = 2;

/// Places of all nodes as seen by one.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    me: Id,
    zones: BTreeMap<Place, Vec<Id>>,
    places: BTreeMap<Id, Place>,
    /// Instances this node watches, with all monitors of each.
    pub targets: BTreeMap<Id, Vec<Id>>,
    /// Relays of this node's zone, best first.
    pub relays: Vec<Id>,
    /// Relays elsewhere that this node exchanges with; empty if it is no relay.
    pub peers: Vec<Id>,
    /// Present nodes of this node's zone.
    pub zone: Vec<Id>,
    /// Present nodes of the fleet.
    pub present: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    region: String,
    zone: String,
}

impl Topology {
    /// The topology that `roster` gives to `me`.
    #[must_use]
    pub fn new(me: Id, roster: &Roster) -> Self {
        let mut topology = Self {
            me,
            ..Self::default()
        };
        for (id, entry) in roster.iter() {
            let place = Place {
                region: entry.instance.region.clone(),
                zone: entry.instance.zone.clone(),
            };
            if entry.standing == Standing::Present {
                topology.zones.entry(place.clone()).or_default().push(id);
                topology.present += 1;
            }
            if entry.standing <= Standing::Down {
                topology.places.insert(id, place);
            }
        }
        if let Some(place) = topology.places.get(&me).cloned() {
            topology.zone = topology.zones.get(&place).cloned().unwrap_or_default();
            topology.relays = topology.relays_of(&place);
            topology.peers = topology.peers_at(&place);
            topology.targets = topology.targets_of(&place);
        }
        topology
    }

    /// Whether this node is a relay.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relays.contains(&self.me)
    }

    /// Whom this node tells what it has learned first.
    #[must_use]
    pub fn recipients(&self) -> BTreeSet<Id> {
        let mut recipients: BTreeSet<Id> = self.relays.iter().copied().collect();
        if self.is_relay() {
            recipients.extend(&self.zone);
            recipients.extend(&self.peers);
        }
        recipients.remove(&self.me);
        recipients
    }

    /// Monitors of an instance: the nodes before it in the circle of its own
    /// zone, and those at the same place in the circle of the zone beside.
    /// Every node so watches, and is watched by, nearly the same number.
    #[must_use]
    pub fn monitors_of(&self, id: Id) -> Vec<Id> {
        let Some(place) = self.places.get(&id) else {
            return Vec::new();
        };
        let nobody = Vec::new();
        let own = self.zones.get(place).unwrap_or(&nobody);
        let position = own.partition_point(|other| *other < id);
        let mut monitors: Vec<Id> = Vec::with_capacity(2 * MONITORS_PER_ZONE);
        let before = own[..position].iter().rev();
        let after = own[position..].iter().rev();
        let others = before.chain(after).filter(|other| **other != id);
        monitors.extend(others.take(MONITORS_PER_ZONE));
        let beside = self.zone_beside(place);
        if let Some(beside) = beside.and_then(|place| self.zones.get(place)) {
            let start = position * beside.len() / own.len().max(1);
            let from_start = beside.iter().cycle().skip(start);
            monitors.extend(from_start.take(MONITORS_PER_ZONE.min(beside.len())));
        }
        if monitors.len() < WITNESSES {
            let all = self.zones.values().flatten();
            let others = all.filter(|other| !monitors.contains(other));
            let missing = WITNESSES - monitors.len();
            let found = best(others, id, missing);
            monitors.extend(found);
        }
        monitors
    }

    /// The next zone of the same region, in a circle.
    fn zone_beside(&self, place: &Place) -> Option<&Place> {
        let region = || {
            self.zones
                .keys()
                .filter(|other| other.region == place.region)
        };
        let after = region().find(|other| *other > place);
        after
            .or_else(|| region().next())
            .filter(|found| *found != place)
    }

    /// Only instances in this zone and in the zone before it in the circle can
    /// be targets, and those whose own zone has too few monitors.
    fn targets_of(&self, here: &Place) -> BTreeMap<Id, Vec<Id>> {
        let is_small = |place: &Place| self.zones.get(place).map_or(0, Vec::len) <= WITNESSES;
        let near = |place: &Place| {
            place == here
                || is_small(place)
                || self.zone_beside(place).is_some_and(|beside| beside == here)
        };
        let zones: BTreeSet<&Place> = self
            .places
            .values()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .filter(|place| near(place))
            .collect();
        self.places
            .iter()
            .filter(|(id, place)| **id != self.me && zones.contains(place))
            .map(|(id, _)| (*id, self.monitors_of(*id)))
            .filter(|(_, monitors)| monitors.contains(&self.me))
            .collect()
    }

    fn relays_of(&self, place: &Place) -> Vec<Id> {
        let key = Id(xxh3_64(place.zone.as_bytes()));
        let nodes = self.zones.get(place).into_iter().flatten();
        best(nodes, key, RELAYS_PER_ZONE)
    }

    /// For a relay of rank n, the relays of rank n in the zones of its region,
    /// and in one zone of each other region.
    fn peers_at(&self, here: &Place) -> Vec<Id> {
        let Some(rank) = self.relays.iter().position(|id| *id == self.me) else {
            return Vec::new();
        };
        let mut peers = Vec::new();
        let mut remote: BTreeMap<&str, &Place> = BTreeMap::new();
        for place in self.zones.keys().filter(|place| *place != here) {
            if place.region == here.region {
                peers.extend(self.relay_of_rank(place, rank));
                continue;
            }
            let score = |place: &Place| Id::of(&place.zone).score(Id::of(&here.zone));
            let chosen = remote.entry(&place.region).or_insert(place);
            if score(place) > score(chosen) {
                *chosen = place;
            }
        }
        for place in remote.into_values() {
            peers.extend(self.relay_of_rank(place, rank));
        }
        peers
    }

    fn relay_of_rank(&self, place: &Place, rank: usize) -> Option<Id> {
        let relays = self.relays_of(place);
        relays.get(rank).or(relays.first()).copied()
    }
}

/// The `count` nodes with the highest score for `key`, without itself.
fn best<'a>(nodes: impl Iterator<Item = &'a Id>, key: Id, count: usize) -> Vec<Id> {
    let mut best: Vec<Id> = Vec::with_capacity(count + 1);
    for id in nodes.copied().filter(|id| *id != key) {
        let rank = best.partition_point(|other| other.score(key) > id.score(key));
        if rank < count {
            best.insert(rank, id);
            best.truncate(count);
        }
    }
    best
}
