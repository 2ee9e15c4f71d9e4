//! Counts over nodes of one zone or service.

use std::collections::BTreeMap;

use monsooncove::plan::Version;
use serde::Serialize;

use crate::fleet::Node;

/// What a group of nodes has in force and in hand.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Group {
    /// Announced nodes.
    pub nodes: usize,
    /// Nodes that have the newest version in force.
    pub in_force: usize,
    /// Nodes that answer and have an older version.
    pub late: usize,
    /// Nodes that do not answer.
    pub silent: usize,
    /// Backend servers by the state of their gate.
    pub states: BTreeMap<String, usize>,
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls admitted at the same time.
    pub limit: u32,
}

impl Group {
    /// Counts the nodes that `belongs` picks.
    pub fn of(nodes: &[Node], version: Version, belongs: impl Fn(&Node) -> bool) -> Self {
        let mut group = Self::default();
        for node in nodes.iter().filter(|node| belongs(node)) {
            group.add(node, version);
        }
        group
    }

    /// Counts `node`, where `version` is the newest.
    pub fn add(&mut self, node: &Node, version: Version) {
        self.nodes += 1;
        let Some(status) = &node.status else {
            self.silent += 1;
            return;
        };
        if status.plan_version >= version {
            self.in_force += 1;
        } else {
            self.late += 1;
        }
        let condition = &status.condition;
        *self.states.entry(condition.gate.clone()).or_default() += 1;
        self.in_hand += condition.in_hand;
        self.queued += condition.queued;
        self.limit += condition.limit;
    }
}
