//! Draws a few candidates and finds the one that is expected to finish first.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::reason::Reason;
use crate::token_bucket::TokenBucket;

use super::arena::Arena;
use super::estimate::{Expected, micros};
use super::key::Backend;
use super::member::{Distance, Member};
use super::pool::{Group, Pool};
use super::router::bytes;
use super::{Ask, Settings};

/// Members looked at for each candidate wanted.
const STEPS_PER_CANDIDATE: usize = 4;
/// Share of the time left that a call may be expected to take and still be
/// certain to be in time.
const CERTAIN: f64 = 0.7;
/// Seconds of budget that can be saved up for bytes between regions.
const REMOTE_BURST_S: f64 = 1.0;

/// A backend server that could take the call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) backend: Backend,
    pub(super) group: usize,
    pub(super) cost_us: f64,
    transit_us: f64,
    expected: Expected,
}

impl Candidate {
    /// Time that a call is expected to take, all told.
    pub(super) fn expected(&self) -> Duration {
        let micros = self.transit_us + self.expected.wait_us + self.expected.service_us;
        Duration::from_secs_f64(micros / 1e6)
    }

    /// Whether a call is expected to wait at the gate.
    pub(super) fn waits(&self) -> bool {
        self.expected.wait_us > 0.0
    }

    /// Time within which the turn of the call must come; after it, the next best
    /// would have been better.
    pub(super) fn patience(&self, next_best_us: f64, settings: &Settings) -> Duration {
        let gain_us = (next_best_us - self.cost_us).max(0.0);
        let gain = Duration::from_secs_f64(gain_us / 1e6);
        let wait = Duration::from_secs_f64(self.expected.wait_us / 1e6);
        wait + gain.clamp(settings.patience_min, settings.patience_max)
    }

    /// Time after which the call should long have been admitted.
    pub(super) fn recall_after(&self, next_best_us: f64, settings: &Settings) -> Duration {
        let admitted_us = self.transit_us + 2.0 * self.expected.wait_us;
        let gain_us = (next_best_us - self.cost_us).max(0.0);
        let least_us = settings.recall_min * self.expected.service_us;
        Duration::from_secs_f64((admitted_us + gain_us.max(least_us)) / 1e6)
    }
}

/// One draw.
pub(super) struct Draw<'a> {
    pub(super) now: Time,
    pub(super) ask: &'a Ask,
    pub(super) settings: &'a Settings,
    pub(super) arena: &'a Arena,
    pub(super) pool: &'a Pool,
    pub(super) remote_bytes: &'a mut BTreeMap<String, TokenBucket>,
    pub(super) random: &'a mut ChaCha8Rng,
    pub(super) drawn: &'a mut Vec<Candidate>,
}

impl Draw<'_> {
    /// The drawn candidate that is expected to finish first.
    pub(super) fn best(&mut self) -> Result<Candidate, Reason> {
        self.draw_own();
        self.draw_from(Distance::Zone, self.settings.zone_candidates);
        self.draw_from(Distance::Region, self.settings.region_candidates);
        self.draw_from(Distance::Remote, self.settings.remote_candidates);
        self.top_up();
        if self.drawn.is_empty() {
            self.draw_ejected();
        }
        let best = self
            .drawn
            .iter()
            .min_by(|one, other| one.cost_us.total_cmp(&other.cost_us));
        best.copied().ok_or_else(|| self.why_none())
    }

    /// Draws more, near ones first, when a distance had too few to offer.
    fn top_up(&mut self) {
        for distance in [Distance::Zone, Distance::Region, Distance::Remote] {
            let missing = self.settings.candidates.saturating_sub(self.drawn.len());
            if missing > 0 {
                self.draw_from(distance, missing);
            }
        }
    }

    fn draw_own(&mut self) {
        let Some(own) = self.pool.own else {
            return;
        };
        let home = |group: &Group| group.members.contains(&own);
        if let Some(index) = self.pool.groups.iter().position(home)
            && self.is_open(index)
        {
            self.consider(index, own, Self::is_usable);
        }
    }

    /// Draws up to `wanted` candidates from the groups at `distance`.
    fn draw_from(&mut self, distance: Distance, wanted: usize) {
        let groups = self.pool.groups.len();
        let start = self.below(groups);
        let mut left = wanted;
        for step in 0..groups {
            let index = (start + step) % groups;
            let at_distance = self.pool.groups[index].distance == distance;
            if left > 0 && at_distance && self.is_open(index) {
                let fair = wanted.div_ceil(self.groups_at(distance)).min(left);
                left -= self.draw_members(index, fair);
            }
        }
    }

    fn draw_members(&mut self, index: usize, wanted: usize) -> usize {
        let pool = self.pool;
        let members = &pool.groups[index].members;
        let start = self.below(members.len());
        let mut found = 0;
        for step in 0..members.len().min(wanted * STEPS_PER_CANDIDATE) {
            if found == wanted {
                break;
            }
            let backend = members[(start + step) % members.len()];
            if self.consider(index, backend, Self::is_usable) {
                found += 1;
            }
        }
        found
    }

    /// With nothing else left, an ejected backend server is better than none,
    /// and one that was tried already comes last.
    fn draw_ejected(&mut self) {
        let pool = self.pool;
        for tried in [false, true] {
            for (index, group) in pool.groups.iter().enumerate() {
                if !self.is_open(index) {
                    continue;
                }
                for &backend in &group.members {
                    if self.ask.avoid.contains(backend) == tried {
                        self.consider(index, backend, Self::is_present);
                    }
                }
            }
            if !self.drawn.is_empty() {
                return;
            }
        }
    }

    fn consider(
        &mut self,
        group: usize,
        backend: Backend,
        fits: fn(&Self, Backend, &Member) -> bool,
    ) -> bool {
        let arena = self.arena;
        let Some(member) = arena.get(backend) else {
            return false;
        };
        let known = self.drawn.iter().any(|drawn| drawn.backend == backend);
        if known || !fits(self, backend, member) {
            return false;
        }
        let candidate = self.candidate(group, backend, member);
        self.drawn.push(candidate);
        true
    }

    fn candidate(&self, group: usize, backend: Backend, member: &Member) -> Candidate {
        let expected = member
            .estimate
            .expect(self.now, &self.pool.mean, self.settings);
        let transit_us = 2.0 * micros(self.latency(member.distance));
        let failures = f64::from(member.health.failures());
        let weight = 1.0 + self.settings.crowding * expected.occupancy + failures;
        let near_us = transit_us + expected.wait_us + expected.service_us * weight;
        let cost_us = match member.distance {
            Distance::Remote => {
                let surcharge_us = micros(self.settings.remote_surcharge);
                near_us / (1.0 - self.settings.remote_gain) + surcharge_us
            }
            _ => near_us,
        };
        let total_us = transit_us + expected.wait_us + expected.service_us;
        Candidate {
            backend,
            group,
            cost_us: cost_us + self.lateness(total_us) * micros(self.settings.late_surcharge),
            transit_us,
            expected,
        }
    }

    /// How likely a call that is expected to take `total_us` is to be late, from
    /// zero to one. Calls of one kind differ in length.
    fn lateness(&self, total_us: f64) -> f64 {
        let Some(objective) = self.ask.objective else {
            return 0.0;
        };
        let left_us = micros(objective.since(self.now)).max(1.0);
        ((total_us / left_us - CERTAIN) / (2.0 * (1.0 - CERTAIN))).clamp(0.0, 1.0)
    }

    fn latency(&self, distance: Distance) -> Duration {
        match distance {
            Distance::Own => Duration::ZERO,
            Distance::Zone => self.settings.zone_latency,
            Distance::Region => self.settings.region_latency,
            Distance::Remote => self.settings.remote_latency,
        }
    }

    /// Whether calls may go to the group at all.
    fn is_open(&mut self, index: usize) -> bool {
        let group = &self.pool.groups[index];
        group.site.in_service && group.site.allows(self.ask.regions) && self.has_bytes(index)
    }

    fn has_bytes(&mut self, index: usize) -> bool {
        let group = &self.pool.groups[index];
        if group.distance != Distance::Remote {
            return true;
        }
        let per_s = self.settings.remote_bytes_per_s;
        let now = self.now;
        if !self.remote_bytes.contains_key(&group.region_name) {
            let full = TokenBucket::new_full(per_s * REMOTE_BURST_S, per_s, now);
            self.remote_bytes.insert(group.region_name.clone(), full);
        }
        let wanted = bytes(self.ask);
        self.remote_bytes
            .get_mut(&group.region_name)
            .is_some_and(|bucket| bucket.refill_and_check(now, wanted))
    }

    fn is_usable(&self, backend: Backend, member: &Member) -> bool {
        let health = &member.health;
        let trial_runs = health.is_on_trial() && member.estimate.in_flight() > 0;
        self.is_present(backend, member)
            && !health.is_ejected(self.now)
            && !trial_runs
            && !self.ask.avoid.contains(backend)
    }

    fn is_present(&self, _backend: Backend, member: &Member) -> bool {
        !member.leaving && member.health.closed(self.now).is_none()
    }

    fn groups_at(&self, distance: Distance) -> usize {
        let at = |group: &&Group| group.distance == distance;
        self.pool.groups.iter().filter(at).count().max(1)
    }

    fn below(&mut self, end: usize) -> usize {
        if end > 1 {
            self.random.random_range(0..end)
        } else {
            0
        }
    }

    fn why_none(&self) -> Reason {
        let groups = &self.pool.groups;
        if groups.is_empty() {
            return Reason::NoBackendServer;
        }
        let at_home = |group: &&Group| group.site.allows(self.ask.regions);
        if !groups.iter().any(|group| at_home(&group)) {
            return Reason::Region;
        }
        let in_service = |group: &Group| group.site.in_service;
        if !groups.iter().filter(at_home).any(in_service) {
            return Reason::ZoneOut;
        }
        let mut members = self.pool.members().filter_map(|key| self.arena.get(key));
        members
            .find_map(|member| member.health.closed(self.now))
            .unwrap_or(Reason::NoBackendServer)
    }
}
