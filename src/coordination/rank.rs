//! Rank of the nodes as coordinators.

use std::net::SocketAddr;

use crate::membership::{InstanceId, State, View};

/// Topic of the ranking; another topic would rank the nodes in another order.
const TOPIC: &str = "coordinator";

/// The first `count` coordinators among the nodes of `view` that take work, best first.
#[must_use]
pub fn ranked(view: &View, count: usize) -> Vec<(String, SocketAddr)> {
    let topic = InstanceId::of(TOPIC);
    let present = view.iter().filter(|node| node.state == State::Present);
    let mut ranks: Vec<_> = present
        .map(|node| (InstanceId::of(&node.name).score(topic), node))
        .collect();
    ranks.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
    let best = ranks.into_iter().take(count);
    best.map(|(_, node)| (node.name.clone(), node.peer))
        .collect()
}
