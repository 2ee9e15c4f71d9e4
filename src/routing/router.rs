//! The router itself.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gate::LoadReport;
use crate::membership::ClusterSnapshot;
use crate::plan::{Regions, Route, key};
use crate::reason::Reason;
use crate::token_bucket::TokenBucket;

use super::budget::Budget;
use super::candidates::{Candidate, Draw};
use super::directory::Directory;
use super::key::Backend;
use super::member::Distance;
use super::pool::{Group, Pool};
use super::{Ask, Choice, Event, Place, Settings};

/// Time after the last call to a service in which its backend servers are probed.
const PROBED_AFTER_CALL: Duration = Duration::from_secs(10);
/// Backend servers of one service that one probe looks at.
const PROBE_STEPS: usize = 4;

/// Chooses backend servers for the calls of one node.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    place: Place,
    random: ChaCha8Rng,
    directory: Directory,
    drawn: Vec<Candidate>,
    budgets: BTreeMap<String, Budget>,
    probes: TokenBucket,
    remote_bytes: BTreeMap<String, TokenBucket>,
    probe_cursor: usize,
}

impl Router {
    /// A router that knows no backend server yet.
    #[must_use]
    pub fn new(settings: Settings, place: Place, seed: u64) -> Self {
        let bucket = |capacity, per_s| TokenBucket::new_full(capacity, per_s, Time::ZERO);
        Self {
            settings,
            place,
            random: ChaCha8Rng::seed_from_u64(seed),
            directory: Directory::default(),
            drawn: Vec::new(),
            budgets: BTreeMap::new(),
            probes: bucket(settings.probe_bytes_per_s, settings.probe_bytes_per_s),
            remote_bytes: BTreeMap::new(),
            probe_cursor: 0,
        }
    }

    /// Takes over plan and view; touches only what has changed.
    pub fn update(&mut self, now: Time, snapshot: &ClusterSnapshot) {
        self.directory
            .update(now, snapshot, &self.place, &self.settings);
    }

    /// Chooses a backend server and counts one call in flight to it.
    ///
    /// # Errors
    ///
    /// The reason why no backend server can be chosen; the call was not run.
    pub fn choose(&mut self, now: Time, ask: &Ask) -> Result<Choice, Reason> {
        let best = self.best(now, ask)?;
        self.charge(now, ask, &best);
        let recall_after = self.recall_after(now, ask.service, &best);
        let patience = self.patience(&best);
        let member = self
            .directory
            .arena
            .get_mut(best.backend)
            .ok_or(Reason::NoBackendServer)?;
        let load_age = member.estimate.age(now);
        member.estimate.dispatched(now);
        Ok(Choice {
            backend: best.backend,
            instance: member.instance.clone(),
            peer: member.peer,
            local: member.distance == Distance::Own,
            recall_after,
            patience,
            expected: best.expected(),
            waits: best.waits(),
            load_age,
        })
    }

    /// Picks one of the services that share the calls of `route`, by weight.
    pub fn target(&mut self, route: &Route) -> key::Service {
        let targets = &route.terms.targets;
        let total: u32 = targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return route.service;
        }
        let mut drawn = self.random.random_range(0..total);
        for target in targets {
            if drawn < target.weight {
                return target.service;
            }
            drawn -= target.weight;
        }
        route.service
    }

    /// Takes in what became of a call. Events for a vanished backend server are
    /// ignored.
    pub fn observe(&mut self, now: Time, backend: Backend, event: &Event) {
        match *event {
            Event::Report(load) => self.reported(now, backend, &load),
            Event::Answered { .. } => self.answered(now, backend),
            Event::Refused(reason) => self.refused(now, backend, reason),
            Event::Failed => self.failed(now, backend),
            Event::Abandoned => self.ended(now, backend),
        }
    }

    /// Takes in what a gate tells of itself without a call.
    pub fn told(&mut self, now: Time, instance: &str, load: &LoadReport) {
        if let Some(backend) = self.directory.find(instance) {
            self.reported(now, backend, load);
        }
    }

    /// The link to a gate is gone; calls go elsewhere until it is back.
    pub fn lost(&mut self, now: Time, instance: &str) {
        if let Some(backend) = self.directory.find(instance)
            && let Some(member) = self.directory.arena.get_mut(backend)
        {
            let reason = Reason::Unreachable;
            member.health.close(now, reason, &self.settings);
        }
    }

    /// Time until a backend server of `service` that takes work is expected to have
    /// room for one more call; nothing while none does.
    #[must_use]
    pub fn room(&self, now: Time, service: key::Service, regions: Regions) -> Option<Duration> {
        let pool = self.directory.pools.get(service)?;
        let open = |group: &&Group| group.site.in_service && group.site.allows(regions);
        let members = pool.groups.iter().filter(open);
        let members = members.flat_map(|group| &group.members);
        let members = members.filter_map(|&backend| self.directory.arena.get(backend));
        let taking = members.filter(|member| {
            let health = &member.health;
            !member.leaving && health.closed(now).is_none() && !health.is_ejected(now)
        });
        let waits_us = taking.map(|member| {
            let expected = member.estimate.expect(now, &pool.mean, &self.settings);
            expected.wait_us
        });
        let first_us = waits_us.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(first_us / 1e6))
    }

    /// A number from zero to one, drawn evenly.
    pub fn draw(&mut self) -> f64 {
        self.random.random()
    }

    /// Takes a token of the retry budget. Tells whether there was one.
    pub fn may_retry(&mut self, now: Time, service: key::Service) -> bool {
        self.budget(now, service).retries.try_take(now, 1.0)
    }

    /// Gives back a token that was taken for a retry that was not made.
    pub fn return_retry(&mut self, now: Time, service: key::Service) {
        self.budget(now, service).retries.add(1.0);
    }

    /// Takes a token of the budget of second copies. Tells whether there was one.
    pub fn may_copy(&mut self, now: Time, service: key::Service) -> bool {
        self.budget(now, service).copies.try_take(now, 1.0)
    }

    /// Counts a call of a caller, which pays into the budgets of retries and copies.
    pub fn call_made(&mut self, now: Time, service: key::Service) {
        let settings = self.settings;
        self.budget(now, service).call_made(&settings);
    }

    /// Budgets outlive plans, so they are kept by name.
    fn budget(&mut self, now: Time, service: key::Service) -> &mut Budget {
        let name = self.directory.service_name(service);
        let settings = &self.settings;
        self.budgets
            .entry(name.to_owned())
            .or_insert_with(|| Budget::new(settings, now))
    }

    /// A backend server without a fresh report, when the budget allows a probe.
    /// Probes are not counted as in flight.
    pub fn probe(&mut self, now: Time) -> Option<Choice> {
        if !self.probes.refill_and_check(now, self.settings.probe_bytes) {
            return None;
        }
        let backend = self.stale_backend(now)?;
        self.probes.try_take(now, self.settings.probe_bytes);
        let member = self.directory.arena.get(backend)?;
        Some(Choice {
            backend,
            instance: member.instance.clone(),
            peer: member.peer,
            local: member.distance == Distance::Own,
            recall_after: None,
            patience: None,
            expected: Duration::ZERO,
            waits: false,
            load_age: None,
        })
    }

    fn best(&mut self, now: Time, ask: &Ask) -> Result<Candidate, Reason> {
        let Directory { arena, pools, .. } = &mut self.directory;
        let pool = pools.get_mut(ask.service).ok_or(Reason::NoBackendServer)?;
        pool.last_asked = Some(now);
        self.drawn.clear();
        let mut draw = Draw {
            now,
            ask,
            settings: &self.settings,
            arena,
            pool,
            remote_bytes: &mut self.remote_bytes,
            random: &mut self.random,
            drawn: &mut self.drawn,
        };
        draw.best()
    }

    /// A recall makes sense when another backend server could take the call, and
    /// the retry budget is likely to pay for it.
    /// Nothing is to be gained elsewhere when no other was drawn.
    fn patience(&self, best: &Candidate) -> Option<Duration> {
        let others = self.drawn.iter().filter(|one| one.backend != best.backend);
        let next_best_us = others.map(|one| one.cost_us).min_by(f64::total_cmp)?;
        let bounds = self.settings.patience_min..=self.settings.patience_max;
        (!bounds.is_empty()).then(|| best.patience(next_best_us, &self.settings))
    }

    fn recall_after(
        &mut self,
        now: Time,
        service: key::Service,
        best: &Candidate,
    ) -> Option<Duration> {
        let reserve = self.settings.recall_reserve;
        if !self
            .budget(now, service)
            .retries
            .refill_and_check(now, reserve)
        {
            return None;
        }
        let others = self.drawn.iter().filter(|one| one.backend != best.backend);
        let next_best_us = others.map(|one| one.cost_us).min_by(f64::total_cmp)?;
        Some(best.recall_after(next_best_us, &self.settings))
    }

    fn charge(&mut self, now: Time, ask: &Ask, best: &Candidate) {
        let pool = self.directory.pools.get(ask.service);
        let group = pool.and_then(|pool| pool.groups.get(best.group));
        let remote = group.filter(|group| group.distance == Distance::Remote);
        if let Some(group) = remote
            && let Some(bucket) = self.remote_bytes.get_mut(&group.region_name)
        {
            bucket.try_take(now, bytes(ask));
        }
    }

    fn reported(&mut self, now: Time, backend: Backend, load: &LoadReport) {
        let Directory { arena, pools, .. } = &mut self.directory;
        let Some(member) = arena.get_mut(backend) else {
            return;
        };
        let pool = member.site.and_then(|site| pools.get_mut(site.service));
        if let Some(pool) = pool {
            member.estimate.reported(now, load, &mut pool.mean);
        }
        if load.accepting {
            member.health.opened();
        } else if member.health.closed(now).is_none() {
            let reason = Reason::NoBackendServer;
            member.health.close(now, reason, &self.settings);
        }
    }

    fn answered(&mut self, now: Time, backend: Backend) {
        if let Some(member) = self.directory.arena.get_mut(backend) {
            member.estimate.ended(now);
            member.health.succeeded();
        }
    }

    fn refused(&mut self, now: Time, backend: Backend, reason: Reason) {
        let Some(member) = self.directory.arena.get_mut(backend) else {
            return;
        };
        member.estimate.ended(now);
        match reason {
            Reason::Overloaded | Reason::Shed => member.estimate.refused_full(now),
            Reason::ZoneOut | Reason::Draining | Reason::Unreachable => {
                member.health.close(now, reason, &self.settings);
            }
            _ => {}
        }
    }

    fn failed(&mut self, now: Time, backend: Backend) {
        let Some(member) = self.directory.arena.get_mut(backend) else {
            return;
        };
        member.estimate.ended(now);
        let service = member.site.map(|site| site.service);
        if !member.health.failed(&self.settings) {
            return;
        }
        let pool = service.and_then(|service| self.directory.pools.get(service));
        if pool.is_some_and(|pool| self.may_eject(now, pool))
            && let Some(member) = self.directory.arena.get_mut(backend)
        {
            member.health.eject(now, &self.settings);
        }
    }

    fn ended(&mut self, now: Time, backend: Backend) {
        if let Some(member) = self.directory.arena.get_mut(backend) {
            member.estimate.ended(now);
        }
    }

    /// Whether one more ejection leaves the service enough backend servers.
    fn may_eject(&self, now: Time, pool: &Pool) -> bool {
        let arena = &self.directory.arena;
        let members = || pool.members().filter_map(|backend| arena.get(backend));
        let ejected = members().filter(|member| member.health.is_ejected(now));
        let ejected = u32::try_from(ejected.count()).unwrap_or(u32::MAX);
        let all = u32::try_from(members().count()).unwrap_or(u32::MAX);
        f64::from(ejected) + 1.0 <= f64::from(all) * self.settings.ejected_share
    }

    /// Goes on from where the last probe stopped, over the services in use.
    fn stale_backend(&mut self, now: Time) -> Option<Backend> {
        let Directory { arena, pools, .. } = &mut self.directory;
        let services = pools.len();
        for _ in 0..services {
            self.probe_cursor = (self.probe_cursor + 1) % services;
            let Some(pool) = pools.at(self.probe_cursor) else {
                continue;
            };
            let recent = |asked: Time| now.since(asked) < PROBED_AFTER_CALL;
            if !pool.last_asked.is_some_and(recent) {
                continue;
            }
            let stale = pool.next_where(PROBE_STEPS, |backend| {
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
pub(super) fn bytes(ask: &Ask) -> f64 {
    ask.bytes as f64
}
