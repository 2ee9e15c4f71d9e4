//! Which nodes hold a key.

use std::collections::VecDeque;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::membership::{Instance, State, View};

use super::{Digest, RETENTION};

/// Nodes that hold a key.
pub const HOLDERS: usize = 2;

/// Nodes that are asked about a key, its holders first.
pub const ASKED: usize = 4;

/// Views remembered. Older ones make every key unknown until they have aged.
const MAX_VIEWS: usize = 64;

/// The nodes to ask about a key: the best one, the best of another availability
/// zone, then the next best.
#[must_use]
pub fn rank<'a>(view: &'a View, regions: &[String], digest: Digest) -> Vec<&'a Instance> {
    let mut members: Vec<(u64, &Instance)> = view
        .iter()
        .filter(|instance| instance.state == State::Present)
        .filter(|instance| regions.is_empty() || regions.contains(&instance.region))
        .map(|instance| (weight(instance, digest), instance))
        .collect();
    members.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.name.cmp(&y.name)));
    let mut ranked: Vec<&Instance> = members.into_iter().map(|(_, member)| member).collect();
    let other_zone = ranked
        .iter()
        .position(|member| member.zone != ranked[0].zone);
    if let Some(position) = other_zone {
        let second = ranked.remove(position);
        ranked.insert(1, second);
    }
    ranked.truncate(ASKED);
    ranked
}

#[expect(clippy::cast_possible_truncation, reason = "both halves are folded in")]
fn weight(instance: &Instance, digest: Digest) -> u64 {
    let seed = (digest.0 >> 64) as u64 ^ digest.0 as u64;
    xxh3_64_with_seed(instance.name.as_bytes(), seed)
}

#[derive(Debug)]
struct Seen {
    until: Option<Time>,
    view: Arc<View>,
}

/// Views of the time for which claims are kept.
#[derive(Debug, Default)]
pub(super) struct History {
    views: VecDeque<Seen>,
    forgotten: Option<Time>,
}

impl History {
    pub(super) fn note(&mut self, now: Time, view: &Arc<View>) {
        self.forget(now);
        if let Some(last) = self.views.back_mut() {
            if Arc::ptr_eq(&last.view, view) || last.view == *view {
                return;
            }
            last.until = Some(now);
        }
        if self.views.len() == MAX_VIEWS {
            self.views.pop_front();
            self.forgotten = Some(now);
        }
        self.views.push_back(Seen {
            until: None,
            view: Arc::clone(view),
        });
    }

    /// Whether some earlier view had no holder that is asked today.
    pub(super) fn has_gap(&mut self, now: Time, digest: Digest, regions: &[String]) -> bool {
        self.forget(now);
        if self.forgotten.is_some() {
            return true;
        }
        let Some(current) = self.views.back() else {
            return false;
        };
        let asked = rank(&current.view, regions, digest);
        let is_asked = |holder: &Instance| {
            asked
                .iter()
                .any(|node| node.name == holder.name && node.epoch == holder.epoch)
        };
        self.views.iter().any(|seen| {
            let holders = rank(&seen.view, regions, digest);
            let mut holders = holders.iter().take(HOLDERS).peekable();
            holders.peek().is_some() && !holders.any(|holder| is_asked(holder))
        })
    }

    fn forget(&mut self, now: Time) {
        let old = |at: Time| now.since(at) > RETENTION;
        while self
            .views
            .front()
            .is_some_and(|seen| seen.until.is_some_and(old))
        {
            self.views.pop_front();
        }
        if self.forgotten.is_some_and(old) {
            self.forgotten = None;
        }
    }
}
