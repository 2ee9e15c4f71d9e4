//! Which nodes hold a key.

use std::collections::VecDeque;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::membership::{Instance, State, View};

use super::{CLAIM_RETENTION, Digest};

/// Nodes that hold a key.
pub const HOLDER_NODES: usize = 2;

/// Nodes that are asked about a key, its holders first.
pub const QUERIED_NODES: usize = 4;

/// Views remembered. Older ones make every key unknown until they have aged.
const MAX_VIEWS: usize = 64;

/// The nodes to ask about a key: the best one, the best of another availability
/// zone, then the next best.
#[must_use]
pub fn rank_nodes<'a>(view: &'a View, regions: &[String], digest: Digest) -> Vec<&'a Instance> {
    let mut members: Vec<(u64, &Instance)> = view
        .iter()
        .filter(|instance| instance.state == State::Present)
        .filter(|instance| regions.is_empty() || regions.contains(&instance.region))
        .map(|instance| (weight(instance, digest), instance))
        .collect();
    members.sort_by(|(wa, a), (wb, b)| wb.cmp(wa).then_with(|| a.name.cmp(&b.name)));
    let mut ranked: Vec<&Instance> = members.into_iter().map(|(_, member)| member).collect();
    let other_zone = ranked
        .iter()
        .position(|member| member.zone != ranked[0].zone);
    if let Some(position) = other_zone {
        let runner_up = ranked.remove(position);
        ranked.insert(1, runner_up);
    }
    ranked.truncate(QUERIED_NODES);
    ranked
}

#[expect(clippy::cast_possible_truncation, reason = "both halves are folded in")]
fn weight(instance: &Instance, digest: Digest) -> u64 {
    let seed = (digest.0 >> 64) as u64 ^ digest.0 as u64;
    xxh3_64_with_seed(instance.name.as_bytes(), seed)
}

#[derive(Debug)]
struct PastView {
    replaced_at: Option<Time>,
    view: Arc<View>,
}

/// Views of the time for which claims are kept.
#[derive(Debug, Default)]
pub(super) struct ViewHistory {
    views: VecDeque<PastView>,
    overflowed_at: Option<Time>,
}

impl ViewHistory {
    pub(super) fn record(&mut self, now: Time, view: &Arc<View>) {
        self.expire(now);
        if let Some(last) = self.views.back_mut() {
            if Arc::ptr_eq(&last.view, view) || last.view == *view {
                return;
            }
            last.replaced_at = Some(now);
        }
        if self.views.len() == MAX_VIEWS {
            self.views.pop_front();
            self.overflowed_at = Some(now);
        }
        self.views.push_back(PastView {
            replaced_at: None,
            view: Arc::clone(view),
        });
    }

    /// Whether some earlier view had no holder that is asked today.
    pub(super) fn may_have_lost_claims(
        &mut self,
        now: Time,
        digest: Digest,
        regions: &[String],
    ) -> bool {
        self.expire(now);
        if self.overflowed_at.is_some() {
            return true;
        }
        let Some(current) = self.views.back() else {
            return false;
        };
        let queried = rank_nodes(&current.view, regions, digest);
        let is_queried = |holder: &Instance| {
            queried
                .iter()
                .any(|node| node.name == holder.name && node.epoch == holder.epoch)
        };
        self.views.iter().any(|seen| {
            let holders = rank_nodes(&seen.view, regions, digest);
            let mut holders = holders.iter().take(HOLDER_NODES).peekable();
            holders.peek().is_some() && !holders.any(|holder| is_queried(holder))
        })
    }

    fn expire(&mut self, now: Time) {
        let is_expired = |at: Time| now.since(at) > CLAIM_RETENTION;
        while self
            .views
            .front()
            .is_some_and(|seen| seen.replaced_at.is_some_and(is_expired))
        {
            self.views.pop_front();
        }
        if self.overflowed_at.is_some_and(is_expired) {
            self.overflowed_at = None;
        }
    }
}
