//! Decides about one roll-out at its coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use super::evidence::{RouteTally, VersionReport};
use super::judge::{Fault, Judge};
use super::{Directive, Phase, Settings, State};
use crate::clock::Time;
use crate::plan::Rollout;

/// Part of the exposure that is planned for; the rest covers what moves while messages pass.
const PLANNED_EXPOSURE: f64 = 0.86;
/// Part of the period after which answers are also compared without those before.
const CHECKPOINT_AT: f64 = 0.5;
/// Part of the period after which nodes report more often.
const URGENT_FROM: f64 = 0.8;

/// A report and when it came.
#[derive(Debug)]
struct Heard {
    report: VersionReport,
    at: Time,
}

/// Answers of the target version at one moment, by gate.
#[derive(Debug)]
struct Checkpoint {
    at: Time,
    answers: u64,
    routes: BTreeMap<String, Vec<RouteTally>>,
}

/// Roll-out of one service. All it knows comes from reports, except the phase: a new coordinator
/// continues with [`Controller::resume`].
#[derive(Debug)]
pub struct Controller {
    order: Rollout,
    settings: Settings,
    started_at: Time,
    phase: Phase,
    /// Taken in the middle of the period and again at the cutover.
    checkpoint: Option<Checkpoint>,
    gates: BTreeMap<String, Heard>,
    fault: Option<Fault>,
}

impl Controller {
    /// Starts with the phase that follows from the status in the store.
    #[must_use]
    pub fn resume(order: Rollout, state: State, settings: Settings, now: Time) -> Self {
        Self {
            order,
            settings,
            started_at: now,
            phase: state.phase(),
            checkpoint: None,
            gates: BTreeMap::new(),
            fault: None,
        }
    }

    /// The order that is carried out.
    #[must_use]
    pub const fn order(&self) -> &Rollout {
        &self.order
    }

    /// Current phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Why the target version was rolled back, if this coordinator found it out.
    #[must_use]
    pub const fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Takes over what another coordinator has recorded in the store.
    pub fn adopt(&mut self, state: State) {
        if state != State::Running {
            self.phase = state.phase();
        }
    }

    /// Takes in the report of a gate. The order is as old as the oldest that any node says.
    pub fn on_report(&mut self, now: Time, instance: &str, report: VersionReport) {
        let age = Duration::from_millis(report.order_age_ms);
        let started_at = Time::ZERO + now.since(Time::ZERO).saturating_sub(age);
        self.started_at = self.started_at.min(started_at);
        let heard = Heard { report, at: now };
        self.gates.insert(instance.to_owned(), heard);
    }

    /// Moves on if the answers and the time allow it. `may_cut_over` tells whether the store has
    /// confirmed that no other coordinator has ended the roll-out.
    pub fn step(&mut self, now: Time, may_cut_over: bool) -> Phase {
        if self.phase.is_final() {
            return self.phase;
        }
        let fault = self.judge().find_fault(&self.settings);
        self.fault = fault.or_else(|| self.judge_recent()?.find_fault(&self.settings));
        if self.fault.is_some() {
            self.phase = Phase::RolledBack;
        } else if self.phase == Phase::Canary && may_cut_over && self.is_cutover_due(now) {
            self.phase = Phase::Cutover;
            self.take_checkpoint(now);
        } else if self.checkpoint.is_none() && self.has_passed(now, CHECKPOINT_AT) {
            self.take_checkpoint(now);
        }
        self.phase
    }

    /// Whether the old version has finished and the target version has answered under all calls, so that the roll-out may be recorded as done.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        if self.phase != Phase::Cutover {
            return false;
        }
        let Some(cutover) = &self.checkpoint else {
            return false;
        };
        let since = cutover.at;
        let elapsed = now.since(since);
        if elapsed >= self.settings.drain_timeout {
            return true;
        }
        // A report from before the gate closed says nothing of what came after it.
        let is_idle = |heard: &&Heard| heard.at > since && heard.report.in_hand == 0;
        let mut current = self.old_gates().filter(|heard| self.is_current(now, heard));
        // Gates that started again count from zero.
        let answers = self.answers_of_target();
        let answers = answers.saturating_sub(cutover.answers);
        elapsed >= self.settings.cutover_min
            && answers >= self.settings.cutover_answers_min
            && current.all(|heard| is_idle(&heard))
    }

    /// Records that the store holds the end of the roll-out.
    pub fn complete(&mut self) {
        if self.phase == Phase::Cutover {
            self.phase = Phase::Done;
        }
    }

    /// What entries and gates are told.
    #[must_use]
    pub fn directive(&self) -> Directive {
        let answers = self.answers_of_target();
        let share = match self.phase {
            Phase::Canary => self.canary_share(answers),
            Phase::Cutover | Phase::Done => 1.0,
            Phase::RolledBack => 0.0,
        };
        Directive {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            phase: self.phase,
            share,
            idempotent_only: self.phase == Phase::Canary
                && answers < self.settings.answers_min
                && self.is_early(),
            is_urgent: !self.phase.is_final() && self.is_near_end(),
        }
    }

    fn canary_share(&self, answers: u64) -> f64 {
        let steps = self.settings.canary_steps.iter();
        let mut reached = steps.filter(|step| answers >= step.answers);
        let part = reached.next_back().map_or(0.0, |step| step.share);
        let expected = self.calls_per_s() * self.order.period.as_secs_f64();
        let allowed = self.allowed_calls(expected) / expected.max(1.0);
        (part * allowed.min(2.0 * self.settings.exposure_share)).min(1.0)
    }

    /// Calls that a bad version may get if the service gets `expected` within the period.
    fn allowed_calls(&self, expected: f64) -> f64 {
        self.settings.exposure_share * expected + f64::from(self.settings.exposure_slack)
    }

    /// Calls of the service per second since the order, as far as they are reported.
    fn calls_per_s(&self) -> f64 {
        let newest = self.gates.values().map(|heard| heard.at).max();
        let elapsed = newest.map_or(Duration::ZERO, |newest| newest.since(self.started_at));
        let calls = calls_of(self.old_gates()) + calls_of(self.target_gates());
        calls / elapsed.as_secs_f64().max(1.0)
    }

    /// Whether the cutover may begin soon, or has begun.
    fn is_near_end(&self) -> bool {
        let newest = self.gates.values().map(|heard| heard.at).max();
        newest.is_some_and(|newest| self.has_passed(newest, URGENT_FROM))
    }

    /// Whether this part of the period has passed.
    fn has_passed(&self, now: Time, part: f64) -> bool {
        now.since(self.started_at) >= self.order.period.mul_f64(part)
    }

    /// Whether the first third of the period is not over. A service without idempotent calls would
    /// never start under a longer restriction to them.
    fn is_early(&self) -> bool {
        let newest = self.gates.values().map(|heard| heard.at).max();
        newest.is_some_and(|newest| newest.since(self.started_at) < self.order.period / 3)
    }

    /// Whether the calls that a cutover still moves within the period fit the exposure. A version
    /// that turns bad only then has had no more than it may.
    fn is_cutover_due(&self, now: Time) -> bool {
        let elapsed = now.since(self.started_at);
        let old = calls_of(self.old_gates());
        let target = calls_of(self.target_gates());
        if target < number(self.settings.answers_min) && old > 0.0 || !self.is_target_ready(now) {
            return false;
        }
        let per_s = self.calls_per_s();
        let period = self.order.period;
        let expected = per_s * period.as_secs_f64();
        let allowed = self.allowed_calls(expected);
        let remaining = (allowed * PLANNED_EXPOSURE - target).max(0.0);
        let longest = period.mul_f64(self.settings.cutover_share_max);
        let longest = longest.max(self.settings.cutover_min);
        let length = if per_s > 0.0 {
            Duration::try_from_secs_f64(remaining / per_s).unwrap_or(longest)
        } else {
            longest
        };
        elapsed + length.clamp(self.settings.cutover_min, longest) >= period
    }

    /// Whether enough backend servers of the target version take work to carry the service.
    fn is_target_ready(&self, now: Time) -> bool {
        let is_serving = |heard: &&Heard| self.is_current(now, heard) && heard.report.accepting;
        let target = self.target_gates().filter(is_serving).count();
        let old = self.old_gates().filter(is_serving).count();
        target > 0 && target * 2 >= old
    }

    fn judge(&self) -> Judge {
        let mut judge = Judge::default();
        for heard in self.old_gates() {
            judge.add_old(&heard.report.routes);
        }
        for heard in self.target_gates() {
            judge.add_target(&heard.report.routes);
        }
        judge
    }

    /// Compares what the target version has answered since the checkpoint. The good answers of a
    /// version that fails only later, or only under load, would hide its first failures.
    fn judge_recent(&self) -> Option<Judge> {
        let checkpoint = self.checkpoint.as_ref()?;
        let mut judge = Judge::default();
        for heard in self.old_gates() {
            judge.add_old(&heard.report.routes);
        }
        for (instance, routes) in self.routes_of_target() {
            let before = checkpoint.routes.get(&instance);
            let since = routes.iter().map(|route| {
                let mut before = before.into_iter().flatten();
                let known = before.find(|before| before.route == route.route);
                known.map_or_else(|| route.clone(), |known| route.since(known))
            });
            judge.add_target(&since.collect::<Vec<_>>());
        }
        Some(judge)
    }

    fn take_checkpoint(&mut self, now: Time) {
        self.checkpoint = Some(Checkpoint {
            at: now,
            answers: self.answers_of_target(),
            routes: self.routes_of_target(),
        });
    }

    fn routes_of_target(&self) -> BTreeMap<String, Vec<RouteTally>> {
        let target = &self.order.target_version;
        let gates = self.gates.iter();
        let of_target = gates.filter(|(_, heard)| heard.report.version == *target);
        of_target
            .map(|(instance, heard)| (instance.clone(), heard.report.routes.clone()))
            .collect()
    }

    fn answers_of_target(&self) -> u64 {
        let routes = self.target_gates().flat_map(|heard| &heard.report.routes);
        routes.map(|route| route.answered).sum()
    }

    fn target_gates(&self) -> impl Iterator<Item = &Heard> {
        let target = &self.order.target_version;
        self.gates
            .values()
            .filter(move |heard| heard.report.version == *target)
    }

    fn old_gates(&self) -> impl Iterator<Item = &Heard> {
        let target = &self.order.target_version;
        self.gates.values().filter(move |heard| {
            let version = &heard.report.version;
            !version.is_empty() && version != target
        })
    }

    fn is_current(&self, now: Time, heard: &Heard) -> bool {
        now.since(heard.at) < self.settings.report_lifetime
    }
}

fn calls_of<'a>(gates: impl Iterator<Item = &'a Heard>) -> f64 {
    let routes = gates.flat_map(|heard| &heard.report.routes);
    number(routes.map(|route| route.answered).sum())
}

#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
const fn number(count: u64) -> f64 {
    count as f64
}
