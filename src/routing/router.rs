//! Selects a backend server for each call and updates its state from call outcomes and load
//! reports.
//!
//! Combines random sampling of candidates with load estimates, exponential backoff for gates
//! that accept no calls, outlier ejection after consecutive failures, token buckets for retries,
//! hedged requests and bytes between regions, and rate-limited probes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gate::LoadReport;
use crate::membership::ClusterSnapshot;
use crate::plan::{Regions, Route, key};
use crate::reason::Reason;
use crate::rollout::{Directive, Lane, Split};
use crate::token_bucket::TokenBucket;

use super::budget::Budget;
use super::candidates::{Candidate, Selection};
use super::directory::Directory;
use super::key::Backend;
use super::member::{Distance, Member};
use super::pool::{Group, Pool};
use super::{Choice, Event, Followed, Location, SelectionRequest, Settings, TriedBackends};

/// Backend servers of a service are probed only for this long after its last call.
const PROBE_WINDOW_AFTER_CALL: Duration = Duration::from_secs(10);
/// Time without hedged requests after a backend server of the service had no room.
const HEDGE_PAUSE_AFTER_OVERLOAD: Duration = Duration::from_secs(1);
/// Backend servers of one service that are examined for each probe.
const MAX_MEMBERS_PER_PROBE: usize = 4;

/// Selects backend servers for the calls of one node.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    location: Location,
    rng: ChaCha8Rng,
    directory: Directory,
    candidates: Vec<Candidate>,
    budgets: BTreeMap<String, Budget>,
    probe_budget: TokenBucket,
    remote_byte_budgets: BTreeMap<String, TokenBucket>,
    probe_cursor: usize,
    /// Roll-outs in progress, by service.
    splits: BTreeMap<String, Split>,
}

impl Router {
    /// Creates a router without backend servers; `seed` makes its random choices reproducible.
    #[must_use]
    pub fn new(settings: Settings, location: Location, seed: u64) -> Self {
        let bucket = |capacity, per_s| TokenBucket::new_full(capacity, per_s, Time::ZERO);
        Self {
            settings,
            location,
            rng: ChaCha8Rng::seed_from_u64(seed),
            directory: Directory::default(),
            candidates: Vec::new(),
            budgets: BTreeMap::new(),
            probe_budget: bucket(settings.probe_bytes_per_s, settings.probe_bytes_per_s),
            remote_byte_budgets: BTreeMap::new(),
            probe_cursor: 0,
            splits: BTreeMap::new(),
        }
    }

    /// Applies a new plan and membership view; updates only what has changed.
    pub fn update(&mut self, now: Time, snapshot: &ClusterSnapshot) {
        self.directory
            .update(now, snapshot, &self.location, &self.settings);
        self.update_splits();
    }

    /// Keeps a split for each order of the plan in force.
    fn update_splits(&mut self) {
        let orders = &self.directory.plan.rollouts;
        self.splits.retain(|service, split| {
            let order = orders.get(service);
            order.is_some_and(|order| order.target_version == split.target())
        });
        for (service, order) in orders {
            self.splits
                .entry(service.clone())
                .or_insert_with(|| Split::new(order.target_version.clone()));
        }
    }

    /// Takes in the directive of a roll-out.
    pub fn on_rollout(&mut self, now: Time, directive: &Directive) {
        if let Some(split) = self.splits.get_mut(&directive.service) {
            split.on_directive(now, directive);
        }
    }

    /// Selects a backend server and counts one call in flight to it.
    ///
    /// # Errors
    ///
    /// Returns the reason why no backend server can be selected; the call has not run.
    pub fn choose(&mut self, now: Time, request: &SelectionRequest) -> Result<Choice, Reason> {
        let best = self.select(now, request)?;
        self.charge_remote_bytes(now, request, &best);
        let recall_after = self.recall_after(now, request.service, &best);
        let queue_timeout = self.queue_timeout(&best);
        let member = self
            .directory
            .arena
            .get_mut(best.backend)
            .ok_or(Reason::NoBackendServer)?;
        let load_age = member.estimate.age(now);
        member.estimate.on_dispatch(now);
        Ok(Choice {
            backend: best.backend,
            instance: member.instance.clone(),
            peer: member.peer,
            local: member.distance == Distance::Own,
            recall_after,
            queue_timeout,
            expected: best.expected_time(),
            expects_queueing: best.expects_queueing(),
            load_age,
        })
    }

    /// Selects one of the target services of `route` at random, by weight.
    pub fn pick_target(&mut self, route: &Route) -> key::Service {
        let targets = &route.terms.targets;
        let total: u32 = targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return route.service;
        }
        let mut pick = self.rng.random_range(0..total);
        for target in targets {
            if pick < target.weight {
                return target.service;
            }
            pick -= target.weight;
        }
        route.service
    }

    /// Processes the outcome of a call or a load report. Events for a removed backend server
    /// are ignored.
    pub fn observe(&mut self, now: Time, backend: Backend, event: &Event) {
        match *event {
            Event::Report(load) => self.on_report(now, backend, &load),
            Event::Answered { .. } => self.on_answered(now, backend),
            Event::Refused(reason) => self.on_refused(now, backend, reason),
            Event::Failed => self.on_failed(now, backend),
            Event::Cancelled => self.on_cancelled(now, backend),
        }
    }

    /// Processes a load report that a gate sent independently of a call.
    pub fn on_load_report(&mut self, now: Time, instance: &str, load: &LoadReport) {
        if let Some(backend) = self.directory.find_by_instance(instance) {
            self.on_report(now, backend, load);
        }
    }

    /// Returns the instances whose load reports this node follows without calls: the subsets of
    /// its own region from which candidates are sampled.
    #[must_use]
    pub fn followed(&self) -> BTreeMap<String, Followed> {
        let arena = &self.directory.arena;
        let groups = self.directory.pools.iter().flat_map(|pool| &pool.groups);
        let nearby = groups.filter(|group| group.distance != Distance::Remote);
        let subsets = nearby.flat_map(|group| {
            let members = group.members.iter().filter_map(|&key| arena.get(key));
            let present = members.filter(|member| !member.leaving);
            let others = present.filter(|member| member.distance != Distance::Own);
            others.take(group.subset_size(&self.settings))
        });
        let followed = subsets.map(|member| {
            let Member { epoch, peer, .. } = *member;
            (member.instance.clone(), Followed { epoch, peer })
        });
        followed.collect()
    }

    /// Starts a backoff for the backend server whose link was lost.
    pub fn on_link_lost(&mut self, now: Time, instance: &str) {
        if let Some(backend) = self.directory.find_by_instance(instance)
            && let Some(member) = self.directory.arena.get_mut(backend)
        {
            let reason = Reason::Unreachable;
            member.health.back_off(now, reason, &self.settings);
        }
    }

    /// Returns the shortest expected queueing time over the backend servers of `service` that
    /// accept calls; `None` if there is none.
    #[must_use]
    pub fn time_until_capacity(
        &self,
        now: Time,
        service: key::Service,
        regions: Regions,
    ) -> Option<Duration> {
        let pool = self.directory.pools.get(service)?;
        let is_allowed =
            |group: &&Group| group.placement.in_service && group.placement.allows(regions);
        let members = pool.groups.iter().filter(is_allowed);
        let members = members.flat_map(|group| &group.members);
        let members = members.filter_map(|&backend| self.directory.arena.get(backend));
        let available = members.filter(|member| {
            let health = &member.health;
            !member.leaving && health.backoff_reason(now).is_none() && !health.is_ejected(now)
        });
        let waits_us = available.map(|member| {
            let forecast = member.estimate.forecast(now, &pool.mean, &self.settings);
            forecast.wait_us
        });
        let min_wait_us = waits_us.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(min_wait_us / 1e6))
    }

    /// A uniform random number from zero to one.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Takes a token from the retry budget. Returns whether one was available.
    pub fn take_retry_token(&mut self, now: Time, service: key::Service) -> bool {
        self.budget(now, service).retries.try_take(now, 1.0)
    }

    /// Returns a token that was taken for a retry that was not made.
    pub fn return_retry_token(&mut self, now: Time, service: key::Service) {
        self.budget(now, service).retries.add(1.0);
    }

    /// Takes a token of the hedge budget. Returns whether a hedged request may be sent.
    ///
    /// None is sent while the service has no room or retries have used up their budget: extra work
    /// would prolong an overload.
    pub fn take_hedge_token(&mut self, now: Time, service: key::Service) -> bool {
        let pool = self.directory.pools.get(service);
        let overloaded_at = pool.and_then(|pool| pool.last_overload_at);
        if overloaded_at.is_some_and(|at| now.since(at) < HEDGE_PAUSE_AFTER_OVERLOAD) {
            return false;
        }
        let budget = self.budget(now, service);
        budget.retries.refill_and_check(now, 1.0) && budget.hedges.try_take(now, 1.0)
    }

    /// Adds the share of one new call to the budgets of retries and hedged requests.
    pub fn on_call(&mut self, now: Time, service: key::Service) {
        let settings = self.settings;
        self.budget(now, service).on_call(&settings);
    }

    /// Returns the budgets of a service. They are kept by name because service keys change with
    /// each plan.
    fn budget(&mut self, now: Time, service: key::Service) -> &mut Budget {
        let name = self.directory.service_name(service);
        let settings = &self.settings;
        self.budgets
            .entry(name.to_owned())
            .or_insert_with(|| Budget::new(settings, now))
    }

    /// Returns a backend server without a recent load report, if the budget allows a probe.
    /// Probes do not count as calls in flight.
    pub fn probe(&mut self, now: Time) -> Option<Choice> {
        if !self
            .probe_budget
            .refill_and_check(now, self.settings.probe_bytes)
        {
            return None;
        }
        let backend = self.next_stale_backend(now)?;
        self.probe_budget.try_take(now, self.settings.probe_bytes);
        let member = self.directory.arena.get(backend)?;
        Some(Choice {
            backend,
            instance: member.instance.clone(),
            peer: member.peer,
            local: member.distance == Distance::Own,
            recall_after: None,
            queue_timeout: None,
            expected: Duration::ZERO,
            expects_queueing: false,
            load_age: None,
        })
    }

    fn select(&mut self, now: Time, request: &SelectionRequest) -> Result<Candidate, Reason> {
        let lane = self.lane(now, request);
        let selected = self.select_in(now, request, lane);
        let Err(reason) = selected else {
            return selected;
        };
        match lane {
            Lane::Target => self.select_in(now, request, Lane::Old { is_final: false }),
            Lane::Old { is_final: false } if !self.has_old_version(request.service) => {
                self.select_in(now, request, Lane::Any)
            }
            Lane::Any | Lane::Old { .. } => Err(reason),
        }
    }

    /// Versions to which the call may go.
    fn lane(&mut self, now: Time, request: &SelectionRequest) -> Lane {
        if self.splits.is_empty() {
            return Lane::Any;
        }
        let name = self.directory.service_name(request.service);
        let Some(split) = self.splits.get(name) else {
            return Lane::Any;
        };
        let is_retry = request.tried != TriedBackends::new();
        split.lane(now, request.idempotent, is_retry, self.rng.random())
    }

    /// Whether a backend server of another than the target version is known that does not leave.
    fn has_old_version(&self, service: key::Service) -> bool {
        let name = self.directory.service_name(service);
        let (Some(split), Some(pool)) = (self.splits.get(name), self.directory.pools.get(service))
        else {
            return false;
        };
        let mut members = pool
            .members()
            .filter_map(|key| self.directory.arena.get(key));
        let old = Lane::Old { is_final: false };
        members.any(|member| !member.leaving && old.admits(&member.version, split.target()))
    }

    fn select_in(
        &mut self,
        now: Time,
        request: &SelectionRequest,
        lane: Lane,
    ) -> Result<Candidate, Reason> {
        let name = self.directory.service_name(request.service);
        let target_version = self.splits.get(name).map_or("", Split::target);
        let Directory { arena, pools, .. } = &mut self.directory;
        let pool = pools
            .get_mut(request.service)
            .ok_or(Reason::NoBackendServer)?;
        pool.last_call_at = Some(now);
        self.candidates.clear();
        let mut selection = Selection {
            now,
            request,
            settings: &self.settings,
            arena,
            pool,
            remote_byte_budgets: &mut self.remote_byte_budgets,
            rng: &mut self.rng,
            candidates: &mut self.candidates,
            lane,
            target_version,
        };
        selection.select()
    }

    /// Returns `None` if there is no other candidate, since recalling the call would gain
    /// nothing, or if the settings disable the queue timeout.
    fn queue_timeout(&self, best: &Candidate) -> Option<Duration> {
        let alternatives = self
            .candidates
            .iter()
            .filter(|candidate| candidate.backend != best.backend);
        let next_best_us = alternatives
            .map(|candidate| candidate.cost_us)
            .min_by(f64::total_cmp)?;
        let bounds = self.settings.queue_timeout_min..=self.settings.queue_timeout_max;
        (!bounds.is_empty()).then(|| best.queue_timeout(next_best_us, &self.settings))
    }

    /// A recall makes sense only if another candidate could take the call and the retry budget is
    /// likely to pay for it.
    fn recall_after(
        &mut self,
        now: Time,
        service: key::Service,
        best: &Candidate,
    ) -> Option<Duration> {
        let reserve = self.settings.recall_min_tokens;
        if !self
            .budget(now, service)
            .retries
            .refill_and_check(now, reserve)
        {
            return None;
        }
        let alternatives = self
            .candidates
            .iter()
            .filter(|candidate| candidate.backend != best.backend);
        let next_best_us = alternatives
            .map(|candidate| candidate.cost_us)
            .min_by(f64::total_cmp)?;
        Some(best.recall_after(next_best_us, &self.settings))
    }

    fn charge_remote_bytes(&mut self, now: Time, request: &SelectionRequest, best: &Candidate) {
        let pool = self.directory.pools.get(request.service);
        let group = pool.and_then(|pool| pool.groups.get(best.group));
        let remote = group.filter(|group| group.distance == Distance::Remote);
        if let Some(group) = remote
            && let Some(bucket) = self.remote_byte_budgets.get_mut(&group.region_name)
        {
            bucket.try_take(now, request_bytes(request));
        }
    }

    fn on_report(&mut self, now: Time, backend: Backend, load: &LoadReport) {
        let Directory { arena, pools, .. } = &mut self.directory;
        let Some(member) = arena.get_mut(backend) else {
            return;
        };
        let pool = member
            .placement
            .and_then(|placement| pools.get_mut(placement.service));
        if let Some(pool) = pool {
            member.estimate.on_report(now, load, &mut pool.mean);
        }
        if load.accepting {
            member.health.clear_backoff();
        } else if member.health.backoff_reason(now).is_none() {
            let reason = Reason::NoBackendServer;
            member.health.back_off(now, reason, &self.settings);
        }
    }

    fn on_answered(&mut self, now: Time, backend: Backend) {
        if let Some(member) = self.directory.arena.get_mut(backend) {
            member.estimate.on_end(now);
            member.health.on_success();
        }
    }

    fn on_refused(&mut self, now: Time, backend: Backend, reason: Reason) {
        let Some(member) = self.directory.arena.get_mut(backend) else {
            return;
        };
        member.estimate.on_end(now);
        let service = member.placement.map(|placement| placement.service);
        match reason {
            Reason::Overloaded | Reason::Shed => {
                member.estimate.on_overload_refusal(now);
                let pool = service.and_then(|service| self.directory.pools.get_mut(service));
                if let Some(pool) = pool {
                    pool.last_overload_at = Some(now);
                }
            }
            Reason::ZoneOut | Reason::Draining | Reason::Unreachable => {
                member.health.back_off(now, reason, &self.settings);
            }
            _ => {}
        }
    }

    fn on_failed(&mut self, now: Time, backend: Backend) {
        let Some(member) = self.directory.arena.get_mut(backend) else {
            return;
        };
        member.estimate.on_end(now);
        let service = member.placement.map(|placement| placement.service);
        if !member.health.on_failure(&self.settings) {
            return;
        }
        let pool = service.and_then(|service| self.directory.pools.get(service));
        if pool.is_some_and(|pool| self.can_eject(now, pool))
            && let Some(member) = self.directory.arena.get_mut(backend)
        {
            member.health.eject(now, &self.settings);
        }
    }

    fn on_cancelled(&mut self, now: Time, backend: Backend) {
        if let Some(member) = self.directory.arena.get_mut(backend) {
            member.estimate.on_end(now);
        }
    }

    /// Returns whether one more ejection stays within `max_ejected_share`.
    fn can_eject(&self, now: Time, pool: &Pool) -> bool {
        let arena = &self.directory.arena;
        let members = || pool.members().filter_map(|backend| arena.get(backend));
        let ejected = members().filter(|member| member.health.is_ejected(now));
        let ejected = u32::try_from(ejected.count()).unwrap_or(u32::MAX);
        let all = u32::try_from(members().count()).unwrap_or(u32::MAX);
        f64::from(ejected) + 1.0 <= f64::from(all) * self.settings.max_ejected_share
    }

    /// Returns the next backend server to probe, round-robin over the recently called services.
    fn next_stale_backend(&mut self, now: Time) -> Option<Backend> {
        let Directory { arena, pools, .. } = &mut self.directory;
        let services = pools.len();
        for _ in 0..services {
            self.probe_cursor = (self.probe_cursor + 1) % services;
            let Some(pool) = pools.get_by_index(self.probe_cursor) else {
                continue;
            };
            let is_recent = |called_at: Time| now.since(called_at) < PROBE_WINDOW_AFTER_CALL;
            if !pool.last_call_at.is_some_and(is_recent) {
                continue;
            }
            let stale = pool.find_next(MAX_MEMBERS_PER_PROBE, |backend| {
                arena.get(backend).is_some_and(|member| {
                    !member.leaving
                        && member.estimate.in_flight() == 0
                        && member.estimate.is_stale(now, self.settings.report_lifetime)
                })
            });
            if stale.is_some() {
                return stale;
            }
        }
        None
    }
}

#[allow(clippy::cast_precision_loss)] // Bodies stay far below 2^52 bytes.
pub(super) fn request_bytes(request: &SelectionRequest) -> f64 {
    request.bytes as f64
}
