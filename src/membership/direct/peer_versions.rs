//! Decides when to exchange plan records with a peer. Keeps the differing plan versions; no I/O.
//!
//! Every response of a gate carries the version of its plan. The store delivers a change to all
//! nodes within milliseconds unless it is unreachable for some of them, so a difference that lasts
//! is a reason to fetch from the peer that is ahead or to send to the one that is behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::plan::Version;

/// Minimum age of a difference before an exchange; a reachable store delivers faster than this.
const DIFFERENCE_AGE_MIN: Duration = Duration::from_millis(150);
/// Minimum time between two exchanges with one peer.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Maximum number of peers tracked.
const TRACKED_NODES_MAX: usize = 1_024;

/// Peers whose plan version differs from the own one.
#[derive(Debug, Default)]
pub struct PeerVersions {
    nodes: BTreeMap<SocketAddr, PeerState>,
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    differs_since: Time,
    version: Version,
    last_exchange_at: Option<Time>,
}

impl PeerVersions {
    /// Records the plan version of a peer and returns whether to exchange plan records with it
    /// now. If either side has no plan, there is no minimum age.
    pub fn observe(&mut self, now: Time, own: Version, node: SocketAddr, version: Version) -> bool {
        if version == own {
            self.nodes.remove(&node);
            return false;
        }
        if self.nodes.len() >= TRACKED_NODES_MAX && !self.nodes.contains_key(&node) {
            return false;
        }
        let peer = self.nodes.entry(node).or_insert(PeerState {
            differs_since: now,
            version,
            last_exchange_at: None,
        });
        peer.version = version;
        let lacks_plan = version == Version::default() || own == Version::default();
        let is_lasting = lacks_plan || now.since(peer.differs_since) >= DIFFERENCE_AGE_MIN;
        let may_exchange = peer
            .last_exchange_at
            .is_none_or(|last| now.since(last) >= EXCHANGE_INTERVAL_MIN);
        if is_lasting && may_exchange {
            peer.last_exchange_at = Some(now);
        }
        is_lasting && may_exchange
    }

    /// Returns a peer whose newer version has lasted long enough for an exchange; used when no
    /// call to the peer triggers one.
    pub fn next_peer_ahead(&mut self, now: Time, own: Version) -> Option<SocketAddr> {
        let due = |peer: &PeerState| {
            peer.version > own
                && now.since(peer.differs_since) >= DIFFERENCE_AGE_MIN
                && peer
                    .last_exchange_at
                    .is_none_or(|last| now.since(last) >= EXCHANGE_INTERVAL_MIN)
        };
        let (&node, peer) = self.nodes.iter_mut().find(|(_, peer)| due(peer))?;
        peer.last_exchange_at = Some(now);
        Some(node)
    }

    /// Whether any tracked peer has a different version.
    #[must_use]
    pub fn has_differences(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Removes peers whose version equals `own`.
    pub fn remove_matching(&mut self, own: Version) {
        self.nodes.retain(|_, peer| peer.version != own);
    }
}
