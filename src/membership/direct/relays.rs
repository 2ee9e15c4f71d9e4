//! Decides which nodes watch the store, and from which of them the others get news. No I/O.
//!
//! Every change would wake every node if all of them watched the store, so that the calls of a
//! fleet grow with the square of its size. Only the relays watch: a few reachable nodes of each
//! region, in different availability zones if possible, by rendezvous rank and without an
//! election. Every node subscribes to the relays of its region. Nodes that disagree about the
//! relays only cost calls: a node may watch although others do, and a relay that does not watch
//! tells so by its distance.
//!
//! A watch that waits shows no sign of life, and one whose answer was lost looks the same. One relay
//! of the whole fleet, the sentinel, therefore watches the operators' records in short waits. Every
//! relay also subscribes to the best ranked relay of the other regions, and is the sentinel itself
//! unless it hears a better ranked one that watches the store. Whatever the nodes know of each
//! other, the best ranked of those that watch hears no better one.
//!
//! The distance of a node to the store is zero while it watches, else one more than the least
//! distance among the relays that it hears. It grows without bound when no relay reaches the
//! store; beyond a limit the node counts as detached and watches for itself.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::{Instance, InstanceId, State};

/// Relays of each region.
const RELAYS_PER_REGION: usize = 2;
/// Distance from which a node is detached from the store.
const DETACHED_DISTANCE: u32 = 4;
/// Age after which what a relay told of its distance is void.
const NEWS_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time for which a relay is not chosen after its subscription broke.
const LOST_TIME: Duration = Duration::from_secs(3);
/// Time without a relay after which a node watches the store itself.
const DETACHED_LIMIT: Duration = Duration::from_secs(1);
/// Nodes that are detached together start to watch spread over this time.
const DETACHED_JITTER: Duration = Duration::from_secs(1);
/// Time after a start in which a node that knows few others of its region does not watch their
/// announcements, since many more may follow. It does not watch plans either if it knows none.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time after it has settled in which a node hears the relays for the first time.
const HEARING_TIME: Duration = Duration::from_millis(1_500);

/// Place of this node, and what it knows of the relays.
#[derive(Debug)]
pub struct Relays {
    name: String,
    region: String,
    zone: String,
    settled_at: Time,
    heard: BTreeMap<String, Heard>,
    lost: BTreeMap<String, Time>,
    is_relay: bool,
    /// Other nodes of the region that are known and reachable.
    others: usize,
    sources: BTreeMap<String, SocketAddr>,
    detached_since: Option<Time>,
}

/// Last news of one relay.
#[derive(Clone, Copy, Debug)]
struct Heard {
    distance: u32,
    at: Time,
}

impl Relays {
    /// A node that has just started and knows no other.
    #[must_use]
    pub fn new(name: &str, region: &str, zone: &str, now: Time) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            zone: zone.to_owned(),
            settled_at: now + SETTLE_TIME,
            heard: BTreeMap::new(),
            lost: BTreeMap::new(),
            is_relay: true,
            others: 0,
            sources: BTreeMap::new(),
            detached_since: Some(now),
        }
    }

    /// Whether a relay was lost, so that the nodes are to be ranked anew when that time is over.
    #[must_use]
    pub fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Ranks the known `nodes` anew. Lapsed nodes are not among them.
    pub fn update<'a>(&mut self, now: Time, nodes: impl Iterator<Item = &'a Instance>) {
        self.lost.retain(|_, at| now.since(*at) < LOST_TIME);
        let mut regions: BTreeMap<&str, BTreeMap<&str, Vec<Ranked<'_>>>> = BTreeMap::new();
        for node in nodes.filter(|node| self.may_relay(node)) {
            let ranked = Ranked::new(&node.name, &node.region, Some(node.peer));
            let zones = regions.entry(&node.region).or_default();
            zones.entry(&node.zone).or_default().push(ranked);
        }
        let zones = regions.entry(&self.region).or_default();
        self.others = zones.values().map(Vec::len).sum();
        let own = Ranked::new(&self.name, &self.region, None);
        zones.entry(&self.zone).or_default().push(own);
        let mut relays = Vec::new();
        let mut remote_relays = Vec::new();
        for (region, zones) in regions {
            if region == self.region {
                relays = rank(zones);
            } else {
                remote_relays.extend(rank(zones));
            }
        }
        let was_relay = self.is_relay;
        self.is_relay = relays.iter().any(|relay| relay.name == self.name);
        if was_relay && !self.is_relay {
            // From now on it takes some time to hear the relays.
            self.detached_since = Some(now);
        }
        let best_remote = remote_relays
            .iter()
            .max_by_key(|relay| InstanceId::of(relay.name))
            .filter(|_| self.is_relay);
        let sources = relays.iter().chain(best_remote);
        self.sources = sources
            .filter_map(|relay| Some((relay.name.to_owned(), relay.peer?)))
            .collect();
        let sources = &self.sources;
        self.heard.retain(|name, _| sources.contains_key(name));
        self.update_detached(now);
    }

    /// Ends the wait for other nodes: this is a restart within a running fleet.
    pub const fn skip_settling(&mut self) {
        self.settled_at = Time::ZERO;
    }

    /// Whether other nodes are known, so that a node that has just started may rely on them.
    #[must_use]
    pub const fn knows_others(&self) -> bool {
        self.zone.is_empty() || self.others > 0
    }

    /// Relays to subscribe to, by name.
    #[must_use]
    pub const fn sources(&self) -> &BTreeMap<String, SocketAddr> {
        &self.sources
    }

    /// Takes in the distance that a relay told.
    pub fn on_heard(&mut self, now: Time, name: &str, distance: u32) {
        self.heard
            .insert(name.to_owned(), Heard { distance, at: now });
        self.update_detached(now);
    }

    /// Handles the end of the subscription to a relay.
    pub fn on_lost(&mut self, now: Time, name: &str) {
        self.heard.remove(name);
        self.lost.insert(name.to_owned(), now);
        self.update_detached(now);
    }

    /// Whether this node is one of the relays of its region.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Whether this node is the relay that watches in short waits.
    #[must_use]
    pub fn is_sentinel(&self, now: Time) -> bool {
        let own = InstanceId::of(&self.name);
        let mut watching = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.distance == 0 && now.since(heard.at) < NEWS_LIFETIME);
        let hears_better = watching.any(|(name, _)| InstanceId::of(name) > own);
        let may_hear = now >= self.settled_at + HEARING_TIME;
        self.is_relay && !self.zone.is_empty() && may_hear && !hears_better
    }

    /// Whether this node is to watch the operators' records.
    #[must_use]
    pub fn watches_plans(&self, now: Time) -> bool {
        let may_watch = self.knows_others() || now >= self.settled_at;
        may_watch && self.is_responsible(now)
    }

    /// Whether this node is to watch announcements.
    #[must_use]
    pub fn watches_nodes(&self, now: Time) -> bool {
        let knows_enough = self.zone.is_empty() || self.others >= RELAYS_PER_REGION;
        let may_watch = knows_enough || now >= self.settled_at;
        may_watch && self.is_responsible(now)
    }

    /// Whether news reach this node only if it watches the store.
    fn is_responsible(&self, now: Time) -> bool {
        let patience = DETACHED_LIMIT + self.jitter();
        let is_detached = |since: Time| now.since(since) >= patience;
        self.is_relay || self.detached_since.is_some_and(is_detached)
    }

    /// Distance of this node to the store.
    #[must_use]
    pub fn distance(&self, now: Time, is_watching: bool) -> u32 {
        if is_watching {
            0
        } else {
            self.distance_by_relays(now)
        }
    }

    /// Whether news of the store reach this node through relays.
    #[must_use]
    pub fn is_attached(&self, now: Time) -> bool {
        self.distance_by_relays(now) < DETACHED_DISTANCE
    }

    fn distance_by_relays(&self, now: Time) -> u32 {
        let current = self.heard.values();
        let current = current.filter(|heard| now.since(heard.at) < NEWS_LIFETIME);
        let nearest = current.map(|heard| heard.distance).min();
        nearest.map_or(DETACHED_DISTANCE, |distance| {
            distance.saturating_add(1).min(DETACHED_DISTANCE)
        })
    }

    fn update_detached(&mut self, now: Time) {
        if self.is_attached(now) {
            self.detached_since = None;
        } else {
            self.detached_since.get_or_insert(now);
        }
    }

    fn may_relay(&self, node: &Instance) -> bool {
        node.name != self.name
            && node.state == State::Present
            && !self.lost.contains_key(&node.name)
    }

    fn jitter(&self) -> Duration {
        let share = InstanceId::of(&self.name).0 % 1_000;
        DETACHED_JITTER * u32::try_from(share).unwrap_or(0) / 1_000
    }
}

/// A node of the region that may be a relay.
struct Ranked<'a> {
    name: &'a str,
    /// Address for calls from other nodes; `None` for this node.
    peer: Option<SocketAddr>,
    score: u64,
}

impl<'a> Ranked<'a> {
    fn new(name: &'a str, region: &str, peer: Option<SocketAddr>) -> Self {
        let score = InstanceId::of(name).score(InstanceId::of(region));
        Self { name, peer, score }
    }
}

/// The relays: the best of each zone, then the second of each zone, until there are enough.
fn rank<'a>(zones: BTreeMap<&str, Vec<Ranked<'a>>>) -> Vec<Ranked<'a>> {
    let mut ranked: Vec<(usize, Ranked<'a>)> = Vec::new();
    for mut zone in zones.into_values() {
        zone.sort_by_key(|node| Reverse(node.score));
        zone.truncate(RELAYS_PER_REGION);
        ranked.extend(zone.into_iter().enumerate());
    }
    ranked.sort_by_key(|(place, node)| (*place, Reverse(node.score)));
    let relays = ranked.into_iter().map(|(_, node)| node);
    relays.take(RELAYS_PER_REGION).collect()
}
