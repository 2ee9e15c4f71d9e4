//! The gate: entry points for events and the state they change.

use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::backoff::Backoff;
use super::boot_ids::BootIds;
use super::cold_rate_limit::ColdRateLimit;
use super::latency_collapse::{self, LatencyCollapse};
use super::lifecycle::{DrainCause, Phase};
use super::limit::ConcurrencyLimit;
use super::load_query::LoadQueries;
use super::queue::Queue;
use super::service_times::ServiceTimes;
use super::slowdown::Slowdown;
use super::start::RunningCall;
use super::{Action, Arrival, CallClass, CallId, LoadReport, Outcome, Settings, Signal, State};

/// End of the cold period until the backend server reports one: it may be cold.
const COLD_INDEFINITELY: Time = Time::from_micros(u64::MAX);

/// Admission control for one backend server.
#[derive(Debug)]
pub struct Gate {
    pub(super) settings: Settings,
    phase: Phase,
    reports_cold: bool,
    zone_out_since: Option<Time>,
    pub(super) cold_until: Time,
    pub(super) cold_rate_limit: ColdRateLimit,
    /// Time at which the cold rate limit permits the next queued call.
    pub(super) next_permitted_at: Option<Time>,
    pub(super) slowdown: Slowdown,
    pub(super) load_queries: LoadQueries,
    /// Time at which calls that wait for a slowdown reading are reconsidered.
    pub(super) load_recheck_at: Option<Time>,
    boot_ids: BootIds,
    latency_collapse: LatencyCollapse,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) backoff: Backoff,
    /// End of a backoff that has not passed yet.
    pub(super) backoff_ends_at: Option<Time>,
    pub(super) running: BTreeMap<CallId, RunningCall>,
    pub(super) queued_classes: BTreeMap<CallId, CallClass>,
    pub(super) service_times: ServiceTimes,
    pub(super) queue: Queue,
}

impl Gate {
    /// Creates the gate of a backend server that is assumed to be cold.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            phase: Phase::cold(),
            reports_cold: false,
            zone_out_since: None,
            cold_until: COLD_INDEFINITELY,
            cold_rate_limit: ColdRateLimit::new(now),
            next_permitted_at: None,
            slowdown: Slowdown::default(),
            load_queries: LoadQueries::new(&settings, now),
            load_recheck_at: None,
            boot_ids: BootIds::default(),
            latency_collapse: LatencyCollapse::default(),
            concurrency_limit: ConcurrencyLimit::new(&settings, now),
            backoff: Backoff::default(),
            backoff_ends_at: None,
            running: BTreeMap::new(),
            queued_classes: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            queue: Queue::default(),
        }
    }

    /// Handles a call that requests admission. Ignores an id that is running or queued.
    pub fn on_arrival(&mut self, now: Time, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.running.contains_key(&arrival.call_id) || self.queue.contains(arrival.call_id) {
            return;
        }
        if let Some(reason) = self
            .closed_reason(now)
            .or_else(|| self.refusal_reason(now, &arrival))
        {
            actions.push(Action::Refuse(arrival.call_id, reason));
            return;
        }
        let start_deadlines = self.start_deadlines(now, &arrival);
        self.queue.push(&arrival, start_deadlines);
        self.queued_classes.insert(arrival.call_id, arrival.class);
        self.process_queue(now, actions);
        self.shed_excess(arrival, actions);
    }

    /// Handles the end of an admitted call. Ignores an id that is not running.
    pub fn on_finish(
        &mut self,
        now: Time,
        call_id: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.running.remove(&call_id) else {
            return;
        };
        match outcome {
            Outcome::Answered { service_time } => self.on_answered(now, call, service_time),
            Outcome::Failed => self.on_failed(now, actions),
            Outcome::Shed => self.concurrency_limit.shrink(now),
            Outcome::Unreachable => self.on_unreachable(now, actions),
            Outcome::Cancelled => {}
        }
        self.process_queue(now, actions);
    }

    /// Removes a queued call. Returns whether it was queued.
    pub fn recall(&mut self, _now: Time, call_id: CallId) -> bool {
        let recalled = self.queue.remove(call_id);
        if recalled {
            self.queued_classes.remove(&call_id);
            self.finish_drain_if_empty();
        }
        recalled
    }

    /// Handles an observation about the backend server.
    pub fn on_signal(&mut self, now: Time, signal: Signal, actions: &mut Vec<Action>) {
        match signal {
            Signal::Boot(boot) => {
                if self.boot_ids.record(boot) {
                    self.cold_until = COLD_INDEFINITELY;
                    self.backoff.reset();
                    self.transition(Phase::on_restart);
                }
            }
            Signal::Cold => {
                self.reports_cold = true;
                self.transition(Phase::reset_to_cold);
            }
            Signal::ColdFor(time) => {
                self.cold_until = now + time;
                if let Some(cold_time) = self.settings.cold_time {
                    self.cold_rate_limit.on_cold(now, time, cold_time);
                }
            }
            Signal::ColdAtLeast(time) => self.cold_until = self.cold_until.max(now + time),
            Signal::SlowdownPercent(percent) => {
                self.slowdown.on_report(now, percent);
                self.load_queries.on_report();
            }
            Signal::Reachable => self.backoff.on_connected(),
            Signal::Serving => self.reports_cold = false,
            Signal::Draining => {
                self.transition(|phase| phase.into_draining(DrainCause::Announced, now));
                self.refuse_queue(Reason::Draining, actions);
            }
            Signal::Unhealthy => self.transition(Phase::reset_to_cold),
        }
        self.process_queue(now, actions);
    }

    /// Replaces the settings.
    pub fn configure(&mut self, now: Time, settings: Settings, actions: &mut Vec<Action>) {
        if settings.usable_slots() != self.settings.usable_slots() {
            self.concurrency_limit.reset(settings.usable_slots());
        }
        self.settings = settings;
        self.process_queue(now, actions);
    }

    /// Handles a change of the availability zone's state.
    pub fn set_zone_in_service(&mut self, now: Time, in_service: bool, actions: &mut Vec<Action>) {
        match (in_service, self.zone_out_since) {
            (false, None) => self.zone_out_since = Some(now),
            (true, Some(_)) => {
                self.zone_out_since = None;
                self.transition(Phase::on_zone_return);
            }
            _ => {}
        }
        self.process_queue(now, actions);
    }

    /// Starts a planned shutdown.
    pub fn start_drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.transition(|phase| phase.into_draining(DrainCause::Planned, now));
        self.process_queue(now, actions);
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.process_queue(now, actions);
    }

    /// Time of the next required [`Gate::tick`], unless another event comes first.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let drain_queue_deadline = self
            .closing_since()
            .map(|at| at + self.settings.drain_queue_timeout);
        let times = [
            self.queue.next_expiry(),
            drain_queue_deadline,
            self.backoff_ends_at,
        ];
        let times = times
            .into_iter()
            .chain([self.next_permitted_at, self.load_recheck_at]);
        times.flatten().min()
    }

    /// Load report sent to entries.
    #[must_use]
    pub fn load_report(&self, now: Time) -> LoadReport {
        let estimate = self
            .slowdown
            .best_start(now, self.concurrency_limit.service_time());
        LoadReport {
            in_hand: self.in_hand(),
            queued: self.queued(),
            limit: self.limit(),
            service_time: estimate.service_time,
            accepting: self.closed_reason(now).is_none(),
            delay: estimate.delay.max(self.cold_rate_delay(now)),
        }
    }

    /// Whether the backend server is cold, or was cold until it is known better.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        self.reports_cold || now < self.cold_until
    }

    /// Lifecycle state of the backend server.
    #[must_use]
    pub fn state(&self) -> State {
        self.phase.state()
    }

    /// Number of running calls.
    #[must_use]
    pub fn in_hand(&self) -> u32 {
        saturating_u32(self.running.len())
    }

    /// Number of queued calls.
    #[must_use]
    pub fn queued(&self) -> u32 {
        saturating_u32(self.queue.len())
    }

    /// Maximum number of running calls at the moment.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let slots = self.settings.usable_slots();
        let max_in_hand = self.phase.max_in_hand(self.settings.cold, slots);
        let adaptive = self.concurrency_limit.current(slots).min(max_in_hand);
        if self.backoff.is_trial_only() {
            adaptive.min(1)
        } else {
            adaptive
        }
    }

    /// Reason why the gate accepts no calls, if it accepts none.
    fn closed_reason(&self, now: Time) -> Option<Reason> {
        if !self.phase.is_open() {
            return Some(Reason::Draining);
        }
        if self.zone_out_since.is_some() {
            return Some(Reason::ZoneOut);
        }
        self.backoff.is_active(now).then_some(Reason::Unreachable)
    }

    fn closing_since(&self) -> Option<Time> {
        let drain_since = self.phase.drain_cause_and_start().map(|(_, since)| since);
        match (drain_since, self.zone_out_since) {
            (Some(drain), Some(zone)) => Some(drain.min(zone)),
            (drain, zone) => drain.or(zone),
        }
    }

    fn on_answered(&mut self, now: Time, call: RunningCall, service_time: Duration) {
        let in_hand = self.in_hand();
        let service_time = service_time.div_f64(call.slowdown);
        self.service_times.add_sample(call.class, service_time);
        let slowdown = self.concurrency_limit.slowdown_of(service_time);
        let is_load_low = in_hand <= self.settings.slots / 2;
        if self.latency_collapse.on_answer(now, slowdown, is_load_low) {
            self.transition(Phase::reset_to_cold);
        }
        self.concurrency_limit
            .on_answer(now, service_time, in_hand, self.settings.usable_slots());
        self.backoff.reset();
        if !self.reports_cold && !latency_collapse::is_slow(slowdown) {
            let cold = self.settings.cold;
            self.transition(|phase| phase.on_good_answer(now, cold));
        }
    }

    fn on_failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.backoff.on_failure(now, &self.settings) {
            self.transition(Phase::reset_to_cold);
            self.refuse_queue(Reason::Unreachable, actions);
        }
    }

    fn on_unreachable(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.backoff.is_active(now) {
            self.backoff.start(now, &self.settings);
        }
        self.backoff.set_unreachable();
        self.transition(Phase::reset_to_cold);
        self.refuse_queue(Reason::Unreachable, actions);
    }

    fn transition(&mut self, change: impl FnOnce(Phase) -> Phase) {
        let before = self.phase.state();
        self.phase = change(mem::replace(&mut self.phase, Phase::cold()));
        let after = self.phase.state();
        if before != after {
            log::info!("backend server is {after}, was {before}");
        }
    }

    pub(super) fn expire_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(call_id) = self.queue.pop_past_deadline(now) {
            self.refuse(call_id, Reason::Deadline, actions);
        }
        while let Some(call_id) = self.queue.pop_past_objective(now) {
            self.refuse(call_id, Reason::Overloaded, actions);
        }
        while let Some(call_id) = self.queue.pop_past_entry_deadline(now) {
            self.refuse(call_id, Reason::LateTurn, actions);
        }
        let is_expired = |since: Time| now.since(since) >= self.settings.drain_queue_timeout;
        if self.closing_since().is_some_and(is_expired) {
            let reason = self.closed_reason(now).unwrap_or(Reason::Draining);
            self.refuse_queue(reason, actions);
        }
    }

    /// Refuses the queued call of the lowest priority when the queue exceeds its capacity.
    fn shed_excess(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.queue.len() <= self.settings.queue_capacity {
            return;
        }
        let shed_id = self
            .queue
            .pop_lowest_below(arrival.call_id)
            .unwrap_or(arrival.call_id);
        self.queue.remove(shed_id);
        self.refuse(shed_id, Reason::Overloaded, actions);
    }

    fn refuse_queue(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        while let Some(call_id) = self.queue.pop_first() {
            self.refuse(call_id, reason, actions);
        }
    }

    pub(super) fn refuse(&mut self, call_id: CallId, reason: Reason, actions: &mut Vec<Action>) {
        self.queued_classes.remove(&call_id);
        actions.push(Action::Refuse(call_id, reason));
    }

    pub(super) fn finish_drain_if_empty(&mut self) {
        if self.running.is_empty() && self.queue.is_empty() {
            self.transition(Phase::on_empty);
        }
    }
}

pub(super) fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
