//! Selects which queued call starts next, and when.

use super::admission::Gate;
use super::load_query::NextStep;
use super::{Action, CallClass, CallId};
use crate::clock::Time;
use crate::reason::Reason;

/// A running call.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub(super) class: CallClass,
    /// Slowdown factor of the machine when the call started.
    pub(super) slowdown: f64,
}

impl Gate {
    /// Refuses expired calls, admits calls up to the limits and completes a drain.
    pub(super) fn process_queue(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire_queued(now, actions);
        self.next_permitted_at = None;
        self.load_recheck_at = None;
        self.backoff_ends_at = self.backoff.until().filter(|until| *until > now);
        while self.in_hand() < self.limit() && !self.backoff.is_active(now) {
            if self.queue.is_empty() || !self.cold_rate_permits(now) {
                break;
            }
            let Some(call_id) = self.next_to_start(now, actions) else {
                self.load_recheck_at = self.load_queries.recheck_at(&self.settings, &self.slowdown);
                break;
            };
            self.start_call(now, call_id);
            actions.push(Action::Admit(call_id));
        }
        self.finish_drain_if_empty();
    }

    /// Next call to start. `None` if all queued calls should start later, or if a slowdown reading
    /// is required first.
    fn next_to_start(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<CallId> {
        match self
            .load_queries
            .next_step(now, &self.settings, &self.slowdown)
        {
            NextStep::StartCall => {}
            NextStep::SendQuery => {
                actions.push(Action::QueryLoad);
                return None;
            }
            NextStep::Wait => return None,
        }
        let is_postponed = |call_id| self.should_postpone(now, call_id);
        let next = self
            .queue
            .call_ids()
            .find(|&call_id| !is_postponed(call_id));
        if next.is_none() {
            self.refuse_past_entry_deadline(now, actions);
        }
        next
    }

    /// Refuses the calls whose entries do not accept a wait until the end of the slow period.
    fn refuse_past_entry_deadline(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expected_start = now + self.slowdown.remaining_slow_period(now);
        while let Some(call_id) = self.queue.pop_past_entry_deadline(expected_start) {
            self.refuse(call_id, Reason::LateTurn, actions);
        }
    }

    fn should_postpone(&self, now: Time, call_id: CallId) -> bool {
        let class = self
            .queued_classes
            .get(&call_id)
            .copied()
            .unwrap_or_default();
        let mean = self.service_times.mean(class);
        !self.slowdown.best_start(now, mean).delay.is_zero()
    }

    fn start_call(&mut self, now: Time, call_id: CallId) {
        self.queue.start(call_id);
        self.cold_rate_limit.record(now);
        let running_call = RunningCall {
            class: self.queued_classes.remove(&call_id).unwrap_or_default(),
            slowdown: self.slowdown.factor(),
        };
        self.running.insert(call_id, running_call);
    }

    /// Whether the cold rate limit permits one more call now.
    fn cold_rate_permits(&mut self, now: Time) -> bool {
        let Some(calls_per_s) = self.cold_rate(now) else {
            return true;
        };
        let permitted_at = self.cold_rate_limit.next_permitted_at(now, calls_per_s);
        if permitted_at > now {
            self.next_permitted_at = Some(permitted_at);
        }
        permitted_at <= now
    }
}
