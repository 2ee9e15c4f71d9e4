//! Who relays for a zone and who watches whom, by rendezvous rank.
//!
//! Every node computes this from its own roster. There is no election: nodes
//! whose rosters differ for a moment may have one relay too many, which costs
//! a doubled message and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use super::InstanceId;
use super::roster::{MemberStatus, Roster};
use xxhash_rust::xxh3::xxh3_64;

/// Relays of each availability zone.
pub const RELAYS_PER_ZONE: usize = 2;
/// Relays of each region that follow the store and speak to other regions.
pub const FOLLOWERS_PER_REGION: usize = 2;
/// Monitors of an instance in its own zone, and as many in a zone beside it.
const MONITORS_PER_ZONE: usize = 2;
/// Monitors that must agree, where there are as many.
pub const ACCUSERS_REQUIRED: usize = 2;

/// Places of all nodes as seen by one.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    own_id: InstanceId,
    zones: BTreeMap<ZoneKey, Vec<InstanceId>>,
    zones_by_node: BTreeMap<InstanceId, ZoneKey>,
    /// Instances this node watches, with all monitors of each.
    pub targets: BTreeMap<InstanceId, Vec<InstanceId>>,
    /// Relays of this node's zone, best first.
    pub relays: Vec<InstanceId>,
    /// Relays of this node's region that follow the store, best first.
    pub followers: Vec<InstanceId>,
    /// Relays elsewhere that this node exchanges with; empty if it is no relay.
    pub peers: BTreeSet<InstanceId>,
    /// Present nodes of this node's zone.
    pub zone: Vec<InstanceId>,
    /// Present nodes of the fleet.
    pub present_count: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneKey {
    region: String,
    zone: String,
}

impl Topology {
    /// The topology that `roster` gives to `own_id`.
    #[must_use]
    pub fn new(own_id: InstanceId, roster: &Roster) -> Self {
        let mut topology = Self {
            own_id,
            ..Self::default()
        };
        for (id, entry) in roster.iter() {
            let place = ZoneKey {
                region: entry.instance.region.clone(),
                zone: entry.instance.zone.clone(),
            };
            if entry.standing == MemberStatus::Present {
                topology.zones.entry(place.clone()).or_default().push(id);
                topology.present_count += 1;
            }
            if entry.standing <= MemberStatus::Down {
                topology.zones_by_node.insert(id, place);
            }
        }
        if let Some(place) = topology.zones_by_node.get(&own_id).cloned() {
            topology.zone = topology.zones.get(&place).cloned().unwrap_or_default();
            topology.relays = topology.relays_of(&place);
            topology.followers = topology.followers_of(&place.region);
            topology.peers = topology.peers_for(&place);
            topology.targets = topology.targets_of(&place);
        }
        topology
    }

    /// Whether this node is a relay.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relays.contains(&self.own_id)
    }

    /// Whether this node follows the store for its region.
    #[must_use]
    pub fn is_follower(&self) -> bool {
        self.followers.contains(&self.own_id)
    }

    /// Whom this node tells what it has learned first.
    #[must_use]
    pub fn recipients(&self) -> BTreeSet<InstanceId> {
        let mut recipients: BTreeSet<InstanceId> = self.relays.iter().copied().collect();
        if self.is_relay() {
            recipients.extend(&self.zone);
            recipients.extend(&self.peers);
        }
        if self.is_follower()
            && let Some(own_place) = self.zones_by_node.get(&self.own_id)
        {
            recipients.extend(self.relays_in(&own_place.region));
        }
        recipients.remove(&self.own_id);
        recipients
    }

    /// Monitors of an instance: the nodes before it in the circle of its own
    /// zone, and those at the same place in the circle of the zone beside.
    /// Every node so watches, and is watched by, nearly the same number.
    #[must_use]
    pub fn monitors_of(&self, id: InstanceId) -> Vec<InstanceId> {
        let Some(place) = self.zones_by_node.get(&id) else {
            return Vec::new();
        };
        let no_nodes = Vec::new();
        let own = self.zones.get(place).unwrap_or(&no_nodes);
        let position = own.partition_point(|other| *other < id);
        let mut monitors: Vec<InstanceId> = Vec::with_capacity(2 * MONITORS_PER_ZONE);
        let before = own[..position].iter().rev();
        let after = own[position..].iter().rev();
        let others = before.chain(after).filter(|other| **other != id);
        monitors.extend(others.take(MONITORS_PER_ZONE));
        let beside = self.next_zone(place);
        if let Some(beside) = beside.and_then(|place| self.zones.get(place)) {
            let start = position * beside.len() / own.len().max(1);
            let from_start = beside.iter().cycle().skip(start);
            monitors.extend(from_start.take(MONITORS_PER_ZONE.min(beside.len())));
        }
        if monitors.len() < ACCUSERS_REQUIRED {
            let all = self.zones.values().flatten();
            let others = all.filter(|other| !monitors.contains(other));
            let missing = ACCUSERS_REQUIRED - monitors.len();
            let found = highest_scored(others, id, missing);
            monitors.extend(found);
        }
        monitors
    }

    /// The next zone of the same region, in a circle.
    fn next_zone(&self, place: &ZoneKey) -> Option<&ZoneKey> {
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
    fn targets_of(&self, own_place: &ZoneKey) -> BTreeMap<InstanceId, Vec<InstanceId>> {
        let is_small =
            |place: &ZoneKey| self.zones.get(place).map_or(0, Vec::len) <= ACCUSERS_REQUIRED;
        let may_hold_targets = |place: &ZoneKey| {
            place == own_place
                || is_small(place)
                || self
                    .next_zone(place)
                    .is_some_and(|beside| beside == own_place)
        };
        let zones: BTreeSet<&ZoneKey> = self
            .zones_by_node
            .values()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .filter(|place| may_hold_targets(place))
            .collect();
        self.zones_by_node
            .iter()
            .filter(|(id, place)| **id != self.own_id && zones.contains(place))
            .map(|(id, _)| (*id, self.monitors_of(*id)))
            .filter(|(_, monitors)| monitors.contains(&self.own_id))
            .collect()
    }

    fn relays_of(&self, place: &ZoneKey) -> Vec<InstanceId> {
        let key = InstanceId(xxh3_64(place.zone.as_bytes()));
        let nodes = self.zones.get(place).into_iter().flatten();
        highest_scored(nodes, key, RELAYS_PER_ZONE)
    }

    /// Relays of all zones of `region`.
    fn relays_in(&self, region: &str) -> impl Iterator<Item = InstanceId> {
        let zones = self.zones.keys().filter(move |zone| zone.region == region);
        zones.flat_map(|zone| self.relays_of(zone))
    }

    fn followers_of(&self, region: &str) -> Vec<InstanceId> {
        let relays: Vec<InstanceId> = self.relays_in(region).collect();
        highest_scored(relays.iter(), InstanceId::of(region), FOLLOWERS_PER_REGION)
    }

    /// For a relay of rank n, the relays of rank n in the zones of its region,
    /// and the followers of the region. For a follower of rank n, also the
    /// followers of rank n elsewhere: only they speak across regions.
    fn peers_for(&self, own_place: &ZoneKey) -> BTreeSet<InstanceId> {
        let mut peers = BTreeSet::new();
        let Some(rank) = self.relays.iter().position(|id| *id == self.own_id) else {
            return peers;
        };
        peers.extend(&self.followers);
        for place in self.zones.keys().filter(|place| *place != own_place) {
            if place.region == own_place.region {
                peers.extend(relay_of_rank(&self.relays_of(place), rank));
            }
        }
        if let Some(rank) = self.followers.iter().position(|id| *id == self.own_id) {
            let regions: BTreeSet<&str> =
                self.zones.keys().map(|zone| zone.region.as_str()).collect();
            for region in regions
                .into_iter()
                .filter(|region| *region != own_place.region)
            {
                peers.extend(relay_of_rank(&self.followers_of(region), rank));
            }
        }
        peers.remove(&self.own_id);
        peers
    }
}

/// The member of `relays` with `rank`, or the first where there are fewer.
fn relay_of_rank(relays: &[InstanceId], rank: usize) -> Option<InstanceId> {
    relays.get(rank).or(relays.first()).copied()
}

/// The `count` nodes with the highest score for `key`, without itself.
fn highest_scored<'a>(
    nodes: impl Iterator<Item = &'a InstanceId>,
    key: InstanceId,
    count: usize,
) -> Vec<InstanceId> {
    let mut highest_scored: Vec<InstanceId> = Vec::with_capacity(count + 1);
    for id in nodes.copied().filter(|id| *id != key) {
        let rank = highest_scored.partition_point(|other| other.score(key) > id.score(key));
        if rank < count {
            highest_scored.insert(rank, id);
            highest_scored.truncate(count);
        }
    }
    highest_scored
}
