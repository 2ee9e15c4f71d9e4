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
const PATIENCE: Duration = Duration::from_millis(150);
/// Shortest time between two exchanges with one node.
const INTERVAL: Duration = Duration::from_millis(500);
/// Nodes remembered.
const NODES_MAX: usize = 1_024;

/// Differences between this node and others.
#[derive(Debug, Default)]
pub struct Rumour {
    nodes: BTreeMap<SocketAddr, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    since: Time,
    version: Version,
    exchanged: Option<Time>,
}

impl Rumour {
    /// Takes in the version of another node. Tells whether to exchange bulletins
    /// with it now. A node without any plan is told at once.
    pub fn heard(&mut self, now: Time, own: Version, node: SocketAddr, version: Version) -> bool {
        if version == own {
            self.nodes.remove(&node);
            return false;
        }
        if self.nodes.len() >= NODES_MAX && !self.nodes.contains_key(&node) {
            return false;
        }
        let heard = self.nodes.entry(node).or_insert(Heard {
            since: now,
            version,
            exchanged: None,
        });
        heard.version = version;
        let urgent = version == Version::default() || own == Version::default();
        let lasts = urgent || now.since(heard.since) >= PATIENCE;
        let again = heard
            .exchanged
            .is_none_or(|last| now.since(last) >= INTERVAL);
        if lasts && again {
            heard.exchanged = Some(now);
        }
        lasts && again
    }

    /// A node that is ahead for long enough to be asked, when no call has shown it.
    pub fn ahead(&mut self, now: Time, own: Version) -> Option<SocketAddr> {
        let due = |heard: &Heard| {
            heard.version > own
                && now.since(heard.since) >= PATIENCE
                && heard
                    .exchanged
                    .is_none_or(|last| now.since(last) >= INTERVAL)
        };
        let (&node, heard) = self.nodes.iter_mut().find(|(_, heard)| due(heard))?;
        heard.exchanged = Some(now);
        Some(node)
    }

    /// Whether a node is known to differ.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Forgets differences that are settled at version `own`.
    pub fn settled(&mut self, own: Version) {
        self.nodes.retain(|_, heard| heard.version != own);
    }
}
