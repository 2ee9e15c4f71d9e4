//! When to exchange bulletins with another node. Pure.
//!
//! Every answer of a gate tells the version of its plan. The store tells a
//! change to all nodes within milliseconds, unless it turns some of them away;
//! so a difference that lasts is a reason to ask the node that is ahead, or to
//! tell the one that is behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::plan::Version;

/// Time that a difference must last; the store is faster when it answers.
const DIFFERENCE_AGE_MIN: Duration = Duration::from_millis(150);
/// Shortest time between two exchanges with one node.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Nodes remembered.
const TRACKED_NODES_MAX: usize = 1_024;

/// Differences between this node and others.
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
    /// Takes in the version of another node. Tells whether to exchange bulletins
    /// with it now. A node without any plan is told at once.
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

    /// A node that is ahead for long enough to be asked, when no call has shown it.
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

    /// Whether a node is known to differ.
    #[must_use]
    pub fn has_differences(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Forgets differences that are settled at version `own`.
    pub fn remove_matching(&mut self, own: Version) {
        self.nodes.retain(|_, peer| peer.version != own);
    }
}
