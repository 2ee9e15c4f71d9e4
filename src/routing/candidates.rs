//! Samples a few candidates and selects the one with the lowest expected completion time.
//!
//! Candidates are sampled at random from the node's own backend server, its availability zone,
//! its region and other regions, in this order. The cost of a candidate is its round trip,
//! queueing and service time plus penalties for failures, distance and lateness.
//!
//! Sampling is limited to a subset of each group: the usable members with the highest rendezvous
//! scores for this node (deterministic subsetting). Links and load subscriptions of a node
//! therefore do not grow with the fleet, and the load reports behind a choice stay fresh.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::reason::Reason;
use crate::rollout::Lane;
use crate::token_bucket::TokenBucket;

use super::arena::Arena;
use super::estimate::{CallForecast, micros};
use super::key::Backend;
use super::member::{Distance, Member};
use super::pool::{Group, Pool};
use super::router::request_bytes;
use super::{SelectionRequest, Settings};

/// A call whose expected time is at most this share of the time left counts as certain to meet
/// its objective.
const ON_TIME_SHARE: f64 = 0.7;
/// Capacity, in seconds at full rate, of the byte budget to another region.
const REMOTE_BURST_S: f64 = 1.0;

/// A backend server that could take the call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) backend: Backend,
    pub(super) group: usize,
    pub(super) cost_us: f64,
    round_trip_us: f64,
    forecast: CallForecast,
}

impl Candidate {
    /// Returns the expected total time of a call.
    pub(super) fn expected_time(&self) -> Duration {
        let micros = self.round_trip_us + self.forecast.wait_us + self.forecast.service_us;
        Duration::from_secs_f64(micros / 1e6)
    }

    /// Returns whether a call is expected to queue at the gate.
    pub(super) fn expects_queueing(&self) -> bool {
        self.forecast.wait_us > 0.0
    }

    /// Returns the longest time that the call may queue before the next best candidate would
    /// have been better.
    pub(super) fn queue_timeout(&self, next_best_us: f64, settings: &Settings) -> Duration {
        let saving_us = (next_best_us - self.cost_us).max(0.0);
        let saving = Duration::from_secs_f64(saving_us / 1e6);
        let wait = Duration::from_secs_f64(self.forecast.wait_us / 1e6);
        wait + saving.clamp(settings.queue_timeout_min, settings.queue_timeout_max)
    }

    /// Returns the time after which a call that is still queued should be recalled: twice the
    /// expected queueing time, plus at least `recall_min` service times.
    pub(super) fn recall_after(&self, next_best_us: f64, settings: &Settings) -> Duration {
        let admission_us = self.round_trip_us + 2.0 * self.forecast.wait_us;
        let saving_us = (next_best_us - self.cost_us).max(0.0);
        let min_us = settings.recall_min * self.forecast.service_us;
        Duration::from_secs_f64((admission_us + saving_us.max(min_us)) / 1e6)
    }
}

/// State of one selection.
pub(super) struct Selection<'a> {
    pub(super) now: Time,
    pub(super) request: &'a SelectionRequest,
    pub(super) settings: &'a Settings,
    pub(super) arena: &'a Arena,
    pub(super) pool: &'a Pool,
    pub(super) remote_byte_budgets: &'a mut BTreeMap<String, TokenBucket>,
    pub(super) rng: &'a mut ChaCha8Rng,
    pub(super) candidates: &'a mut Vec<Candidate>,
    /// Versions to which the call may go, and the target version of the roll-out.
    pub(super) lane: Lane,
    pub(super) target_version: &'a str,
}

impl Selection<'_> {
    /// Samples candidates and returns the one with the lowest cost.
    pub(super) fn select(&mut self) -> Result<Candidate, Reason> {
        self.add_own();
        self.add_from(Distance::Zone, self.settings.zone_candidates);
        self.add_from(Distance::Region, self.settings.region_candidates);
        self.add_from(Distance::Remote, self.settings.remote_candidates);
        self.fill_up();
        if self.candidates.is_empty() {
            self.add_ejected();
        }
        let best = self
            .candidates
            .iter()
            .min_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        best.copied().ok_or_else(|| self.no_candidate_reason())
    }

    /// Samples more candidates, nearest first, if a distance had too few.
    fn fill_up(&mut self) {
        for distance in [Distance::Zone, Distance::Region, Distance::Remote] {
            let missing = self
                .settings
                .candidates
                .saturating_sub(self.candidates.len());
            if missing > 0 {
                self.add_from(distance, missing);
            }
        }
    }

    fn add_own(&mut self) {
        let Some(own) = self.pool.own_backend else {
            return;
        };
        let holds_own = |group: &Group| group.members.contains(&own);
        if let Some(index) = self.pool.groups.iter().position(holds_own)
            && self.is_allowed(index)
        {
            self.add_if(index, own, Self::is_usable);
        }
    }

    /// Adds up to `wanted` candidates from the groups at `distance`.
    fn add_from(&mut self, distance: Distance, wanted: usize) {
        let groups = self.pool.groups.len();
        let start = self.random_below(groups);
        let mut remaining = wanted;
        for step in 0..groups {
            let index = (start + step) % groups;
            let at_distance = self.pool.groups[index].distance == distance;
            if remaining > 0 && at_distance && self.is_allowed(index) {
                let quota = wanted.div_ceil(self.group_count(distance)).min(remaining);
                remaining -= self.add_members(index, quota);
            }
        }
    }

    fn add_members(&mut self, index: usize, wanted: usize) -> usize {
        let subset = self.subset(index);
        let start = self.random_below(subset.len());
        let mut found = 0;
        for step in 0..subset.len() {
            if found == wanted {
                break;
            }
            let backend = subset[(start + step) % subset.len()];
            if self.add_if(index, backend, Self::is_usable) {
                found += 1;
            }
        }
        found
    }

    /// Returns the usable members of the group with the highest scores, without the candidates
    /// that are known already.
    fn subset(&self, index: usize) -> Vec<Backend> {
        let group = &self.pool.groups[index];
        let is_candidate = |backend: Backend| {
            let mut candidates = self.candidates.iter();
            candidates.any(|candidate| candidate.backend == backend)
        };
        let usable = group.members.iter().copied().filter(|&backend| {
            let member = self.arena.get(backend);
            member.is_some_and(|member| self.is_usable(backend, member)) && !is_candidate(backend)
        });
        usable.take(group.subset_size(self.settings)).collect()
    }

    /// Adds ejected backend servers, used only if there is no other candidate. Those that were
    /// already tried come last.
    fn add_ejected(&mut self) {
        let pool = self.pool;
        for already_tried in [false, true] {
            for (index, group) in pool.groups.iter().enumerate() {
                if !self.is_allowed(index) {
                    continue;
                }
                for &backend in &group.members {
                    if self.request.tried.contains(backend) == already_tried {
                        self.add_if(index, backend, Self::is_present);
                    }
                }
            }
            if !self.candidates.is_empty() {
                return;
            }
        }
    }

    fn add_if(
        &mut self,
        group: usize,
        backend: Backend,
        is_eligible: fn(&Self, Backend, &Member) -> bool,
    ) -> bool {
        let arena = self.arena;
        let Some(member) = arena.get(backend) else {
            return false;
        };
        let is_known = self
            .candidates
            .iter()
            .any(|candidate| candidate.backend == backend);
        if is_known || !is_eligible(self, backend, member) {
            return false;
        }
        let candidate = self.evaluate(group, backend, member);
        self.candidates.push(candidate);
        true
    }

    fn evaluate(&self, group: usize, backend: Backend, member: &Member) -> Candidate {
        let forecast = member
            .estimate
            .forecast(self.now, &self.pool.mean, self.settings);
        let round_trip_us = 2.0 * micros(self.latency(member.distance));
        let failures = f64::from(member.health.failures());
        let service_weight = 1.0 + self.settings.contention_factor * forecast.occupancy + failures;
        let base_us = round_trip_us + forecast.wait_us + forecast.service_us * service_weight;
        let cost_us = match member.distance {
            Distance::Remote => {
                let surcharge_us = micros(self.settings.remote_penalty);
                base_us / (1.0 - self.settings.remote_min_saving) + surcharge_us
            }
            _ => base_us,
        };
        let total_us = round_trip_us + forecast.wait_us + forecast.service_us;
        Candidate {
            backend,
            group,
            cost_us: cost_us
                + self.late_probability(total_us) * micros(self.settings.lateness_penalty),
            round_trip_us,
            forecast,
        }
    }

    /// Estimates how likely a call with expected time `total_us` is to miss its objective, 0 to
    /// 1. It is a linear ramp because service times vary between calls.
    fn late_probability(&self, total_us: f64) -> f64 {
        let Some(objective) = self.request.objective else {
            return 0.0;
        };
        let remaining_us = micros(objective.since(self.now)).max(1.0);
        ((total_us / remaining_us - ON_TIME_SHARE) / (2.0 * (1.0 - ON_TIME_SHARE))).clamp(0.0, 1.0)
    }

    fn latency(&self, distance: Distance) -> Duration {
        match distance {
            Distance::Own => Duration::ZERO,
            Distance::Zone => self.settings.zone_latency,
            Distance::Region => self.settings.region_latency,
            Distance::Remote => self.settings.remote_latency,
        }
    }

    /// Returns whether calls may be sent to the group.
    fn is_allowed(&mut self, index: usize) -> bool {
        let group = &self.pool.groups[index];
        group.placement.in_service
            && group.placement.allows(self.request.regions)
            && self.has_byte_budget(index)
    }

    fn has_byte_budget(&mut self, index: usize) -> bool {
        let group = &self.pool.groups[index];
        if group.distance != Distance::Remote {
            return true;
        }
        let per_s = self.settings.remote_bytes_per_s;
        let now = self.now;
        if !self.remote_byte_budgets.contains_key(&group.region_name) {
            let full = TokenBucket::new_full(per_s * REMOTE_BURST_S, per_s, now);
            self.remote_byte_budgets
                .insert(group.region_name.clone(), full);
        }
        let wanted = request_bytes(self.request);
        self.remote_byte_budgets
            .get_mut(&group.region_name)
            .is_some_and(|bucket| bucket.refill_and_check(now, wanted))
    }

    fn is_usable(&self, backend: Backend, member: &Member) -> bool {
        let health = &member.health;
        let is_trial_running = health.needs_trial() && member.estimate.in_flight() > 0;
        self.is_present(backend, member)
            && !health.is_ejected(self.now)
            && !is_trial_running
            && !self.request.tried.contains(backend)
    }

    fn is_present(&self, _backend: Backend, member: &Member) -> bool {
        !member.leaving
            && member.health.backoff_reason(self.now).is_none()
            && self.lane.admits(&member.version, self.target_version)
    }

    fn group_count(&self, distance: Distance) -> usize {
        let is_at_distance = |group: &&Group| group.distance == distance;
        self.pool
            .groups
            .iter()
            .filter(is_at_distance)
            .count()
            .max(1)
    }

    fn random_below(&mut self, end: usize) -> usize {
        if end > 1 {
            self.rng.random_range(0..end)
        } else {
            0
        }
    }

    fn no_candidate_reason(&self) -> Reason {
        let groups = &self.pool.groups;
        if groups.is_empty() {
            return Reason::NoBackendServer;
        }
        let is_in_regions = |group: &&Group| group.placement.allows(self.request.regions);
        if !groups.iter().any(|group| is_in_regions(&group)) {
            return Reason::Region;
        }
        let in_service = |group: &Group| group.placement.in_service;
        if !groups.iter().filter(is_in_regions).any(in_service) {
            return Reason::ZoneOut;
        }
        let mut members = self.pool.members().filter_map(|key| self.arena.get(key));
        members
            .find_map(|member| member.health.backoff_reason(self.now))
            .unwrap_or(Reason::NoBackendServer)
    }
}
