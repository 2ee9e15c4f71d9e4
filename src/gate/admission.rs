//! The gate itself.

use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::allowance::Allowance;
use super::asking::Asking;
use super::begin::Begun;
use super::boots::Boots;
use super::collapse::{self, Collapse};
use super::life::{Drain, Phase};
use super::limit::Limit;
use super::pause::Pause;
use super::queue::Queue;
use super::slowness::Slowness;
use super::work::Work;
use super::{Action, Arrival, Kind, Load, Outcome, Settings, Sign, State, Ticket};

/// A backend server that has not said for how long it is cold may be cold.
const UNTIL_TOLD: Time = Time::from_micros(u64::MAX);

/// Admission to one backend server.
#[derive(Debug)]
pub struct Gate {
    pub(super) settings: Settings,
    phase: Phase,
    says_cold: bool,
    zone_out_since: Option<Time>,
    pub(super) cold_until: Time,
    pub(super) allowance: Allowance,
    /// When the cold allowance lets the next waiting call through.
    pub(super) allowed_at: Option<Time>,
    pub(super) slowness: Slowness,
    pub(super) asking: Asking,
    /// When the speed is looked at again for calls that wait for it.
    pub(super) looks_at: Option<Time>,
    boots: Boots,
    collapse: Collapse,
    pub(super) limit: Limit,
    pub(super) pause: Pause,
    pub(super) running: BTreeMap<Ticket, Begun>,
    pub(super) waiting: BTreeMap<Ticket, Kind>,
    pub(super) work: Work,
    pub(super) queue: Queue,
}

impl Gate {
    /// A gate before a backend server that counts as cold.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            phase: Phase::cold(),
            says_cold: false,
            zone_out_since: None,
            cold_until: UNTIL_TOLD,
            allowance: Allowance::default(),
            allowed_at: None,
            slowness: Slowness::default(),
            asking: Asking::new(&settings, now),
            looks_at: None,
            boots: Boots::default(),
            collapse: Collapse::default(),
            limit: Limit::new(&settings, now),
            pause: Pause::default(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            work: Work::default(),
            queue: Queue::default(),
        }
    }

    /// A call asks for admission. A ticket that is running or queued is ignored.
    pub fn arrive(&mut self, now: Time, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.running.contains_key(&arrival.ticket) || self.queue.contains(arrival.ticket) {
            return;
        }
        if let Some(reason) = self.closed(now).or_else(|| self.too_late(now, &arrival)) {
            actions.push(Action::Refuse(arrival.ticket, reason));
            return;
        }
        let starts = self.starts(now, &arrival);
        self.queue.push(&arrival, starts);
        self.waiting.insert(arrival.ticket, arrival.kind);
        self.pump(now, actions);
        self.trim(arrival, actions);
    }

    /// An admitted call ended. A ticket that is not running is ignored.
    pub fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(begun) = self.running.remove(&ticket) else {
            return;
        };
        match outcome {
            Outcome::Answered { service_time } => self.answered(now, begun, service_time),
            Outcome::Failed => self.failed(now, actions),
            Outcome::Shed => self.limit.shrink(now),
            Outcome::Unreachable => self.unreachable(now, actions),
            Outcome::Cancelled => {}
        }
        self.pump(now, actions);
    }

    /// Takes back a queued call. Tells whether it was queued.
    pub fn recall(&mut self, _now: Time, ticket: Ticket) -> bool {
        let recalled = self.queue.remove(ticket);
        if recalled {
            self.waiting.remove(&ticket);
            self.settle_empty();
        }
        recalled
    }

    /// Something was learned of the backend server.
    pub fn sign(&mut self, now: Time, sign: Sign, actions: &mut Vec<Action>) {
        match sign {
            Sign::Boot(boot) => {
                if self.boots.note(boot) {
                    self.cold_until = UNTIL_TOLD;
                    self.pause.succeeded();
                    self.transition(Phase::restarted);
                }
            }
            Sign::Cold => {
                self.says_cold = true;
                self.transition(Phase::fell);
            }
            Sign::ColdFor(time) => self.cold_until = now + time,
            Sign::Slowness(hundredths) => {
                self.slowness.told(now, hundredths);
                self.asking.told();
            }
            Sign::Reachable => self.pause.reached(),
            Sign::Serving => self.says_cold = false,
            Sign::Draining => {
                self.transition(|phase| phase.drained(Drain::Announced, now));
                self.refuse_queue(Reason::Draining, actions);
            }
            Sign::Unhealthy => self.transition(Phase::fell),
        }
        self.pump(now, actions);
    }

    /// Takes over new settings.
    pub fn configure(&mut self, now: Time, settings: Settings, actions: &mut Vec<Action>) {
        if settings.usable_slots() != self.settings.usable_slots() {
            self.limit.reset(settings.usable_slots());
        }
        self.settings = settings;
        self.pump(now, actions);
    }

    /// The availability zone was taken out of service or put back.
    pub fn set_zone(&mut self, now: Time, in_service: bool, actions: &mut Vec<Action>) {
        match (in_service, self.zone_out_since) {
            (false, None) => self.zone_out_since = Some(now),
            (true, Some(_)) => {
                self.zone_out_since = None;
                self.transition(Phase::returned);
            }
            _ => {}
        }
        self.pump(now, actions);
    }

    /// Begins a planned stop.
    pub fn drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.transition(|phase| phase.drained(Drain::Planned, now));
        self.pump(now, actions);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.pump(now, actions);
    }

    /// When [`Gate::tick`] has something to do, unless an event comes first.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let drain_end = self
            .departure()
            .map(|at| at + self.settings.drain_queue_time);
        let times = [self.queue.first_due(), drain_end, self.pause.until()];
        let times = times.into_iter().chain([self.allowed_at, self.looks_at]);
        times.flatten().min()
    }

    /// What entries are told.
    #[must_use]
    pub fn load(&self, now: Time) -> Load {
        let outlook = self.slowness.outlook(now, self.limit.service_time());
        Load {
            in_hand: self.in_hand(),
            queued: self.queued(),
            limit: self.limit(),
            service_time: outlook.work,
            accepting: self.closed(now).is_none(),
            delay: outlook.delay.max(self.cold_delay(now)),
        }
    }

    /// State of the backend server's life cycle.
    #[must_use]
    pub fn state(&self) -> State {
        self.phase.state()
    }

    /// Calls running.
    #[must_use]
    pub fn in_hand(&self) -> u32 {
        count(self.running.len())
    }

    /// Calls waiting.
    #[must_use]
    pub fn queued(&self) -> u32 {
        count(self.queue.len())
    }

    /// Calls that may be in hand.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let slots = self.settings.usable_slots();
        let cap = self.phase.cap(self.settings.cold, slots);
        let adapted = self.limit.get(slots).min(cap);
        if self.pause.is_on_trial() {
            adapted.min(1)
        } else {
            adapted
        }
    }

    /// Why no new work is taken.
    fn closed(&self, now: Time) -> Option<Reason> {
        if !self.phase.is_open() {
            return Some(Reason::Draining);
        }
        if self.zone_out_since.is_some() {
            return Some(Reason::ZoneOut);
        }
        self.pause.is_closed(now).then_some(Reason::Unreachable)
    }

    fn departure(&self) -> Option<Time> {
        let drained = self.phase.drain().map(|(_, since)| since);
        match (drained, self.zone_out_since) {
            (Some(drain), Some(zone)) => Some(drain.min(zone)),
            (drain, zone) => drain.or(zone),
        }
    }

    fn answered(&mut self, now: Time, begun: Begun, service_time: Duration) {
        let in_hand = self.in_hand();
        let service_time = service_time.div_f64(begun.slowness);
        self.work.sample(begun.kind, service_time);
        let slowness = self.limit.slowness(service_time);
        let is_low = in_hand <= self.settings.slots / 2;
        if self.collapse.answered(now, slowness, is_low) {
            self.transition(Phase::fell);
        }
        self.limit
            .answered(now, service_time, in_hand, self.settings.usable_slots());
        self.pause.succeeded();
        if !self.says_cold && !collapse::is_slow(slowness) {
            let cold = self.settings.cold;
            self.transition(|phase| phase.answered(now, cold));
        }
    }

    fn failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.pause.failed(now, &self.settings) {
            self.transition(Phase::fell);
            self.refuse_queue(Reason::Unreachable, actions);
        }
    }

    fn unreachable(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.pause.is_closed(now) {
            self.pause.begin(now, &self.settings);
        }
        self.pause.lost();
        self.transition(Phase::fell);
        self.refuse_queue(Reason::Unreachable, actions);
    }

    fn transition(&mut self, step: impl FnOnce(Phase) -> Phase) {
        let before = self.phase.state();
        self.phase = step(mem::replace(&mut self.phase, Phase::cold()));
        let after = self.phase.state();
        if before != after {
            log::info!("backend server is {after}, was {before}");
        }
    }

    pub(super) fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.queue.pop_hopeless(now) {
            self.refuse(ticket, Reason::Deadline, actions);
        }
        while let Some(ticket) = self.queue.pop_late(now) {
            self.refuse(ticket, Reason::Overloaded, actions);
        }
        while let Some(ticket) = self.queue.pop_unwanted(now) {
            self.refuse(ticket, Reason::LateTurn, actions);
        }
        let expired = |since: Time| now.since(since) >= self.settings.drain_queue_time;
        if self.departure().is_some_and(expired) {
            let reason = self.closed(now).unwrap_or(Reason::Draining);
            self.refuse_queue(reason, actions);
        }
    }

    /// Sheds the lowest worth when the queue has grown over its capacity.
    fn trim(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.queue.len() <= self.settings.queue_capacity {
            return;
        }
        let shed = self
            .queue
            .pop_below(arrival.worth)
            .unwrap_or(arrival.ticket);
        self.queue.remove(shed);
        self.refuse(shed, Reason::Overloaded, actions);
    }

    fn refuse_queue(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.queue.pop_first() {
            self.refuse(ticket, reason, actions);
        }
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason, actions: &mut Vec<Action>) {
        self.waiting.remove(&ticket);
        actions.push(Action::Refuse(ticket, reason));
    }

    pub(super) fn settle_empty(&mut self) {
        if self.running.is_empty() && self.queue.is_empty() {
            self.transition(Phase::emptied);
        }
    }
}

pub(super) fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
