//! Estimates when a call would start and end at this gate.

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::admission::saturating_u32;
use super::queue::StartDeadlines;
use super::{Arrival, CallClass, Gate};

/// Smallest queue time: the call starts at once or not at all.
const QUEUE_TIME_MIN: Duration = Duration::from_micros(1);

impl Gate {
    /// Reason to refuse a call that cannot be served in time here. In the queue it would take the
    /// place of a call that can be.
    pub(super) fn refusal_reason(&self, now: Time, arrival: &Arrival) -> Option<Reason> {
        let min_service_time = self.service_times.minimum(arrival.class);
        if now + min_service_time >= arrival.deadline {
            return Some(Reason::Deadline);
        }
        let start_deadlines = self.start_deadlines(now, arrival);
        let estimate = self.slowdown.best_start(now, min_service_time);
        let ahead = self
            .queue
            .count_ahead(arrival, start_deadlines.past_objective);
        let start = self
            .estimated_start(now, ahead)
            .max(self.cold_rate_start(now, ahead));
        let start = start.max(now + estimate.delay);
        let is_unknown_class = arrival.class == CallClass::UNKNOWN;
        if is_unknown_class
            && start > now
            && start + self.concurrency_limit.service_time() >= arrival.deadline
        {
            return Some(Reason::Deadline);
        }
        if start + estimate.service_time >= arrival.deadline {
            return Some(if is_unknown_class {
                Reason::Deadline
            } else {
                Reason::Overloaded
            });
        }
        if arrival
            .start_deadline
            .is_some_and(|start_deadline| start > start_deadline)
        {
            return Some(Reason::LateTurn);
        }
        let misses_objective = start > now
            && start_deadlines
                .objective_deadline
                .is_some_and(|objective_deadline| start > objective_deadline);
        misses_objective.then_some(Reason::Overloaded)
    }

    /// Expected time at which a slot is free for a call behind `queued` others.
    pub(super) fn estimated_start(&self, now: Time, queued: usize) -> Time {
        let limit = self.limit();
        let ahead = self.in_hand() + saturating_u32(queued);
        let Some(excess) = ahead.checked_sub(limit) else {
            return now;
        };
        let service_time = self
            .slowdown
            .best_start(now, self.concurrency_limit.service_time())
            .service_time;
        now + service_time * (excess + 1) / limit.max(1)
    }

    /// Latest useful start times of a call at this gate.
    pub(super) fn start_deadlines(&self, now: Time, arrival: &Arrival) -> StartDeadlines {
        let min_service_time = self.service_times.minimum(arrival.class);
        let service_time = self.slowdown.best_start(now, min_service_time).service_time;
        let objective_deadline = arrival
            .objective
            .map(|objective| saturating_before(objective, service_time));
        let past_objective =
            objective_deadline.is_some_and(|objective_deadline| objective_deadline <= now);
        StartDeadlines {
            past_objective,
            objective_deadline: if past_objective {
                Some(now + self.settings.late_queue_timeout.max(QUEUE_TIME_MIN))
            } else {
                objective_deadline
            },
            final_deadline: saturating_before(arrival.deadline, service_time),
            entry_deadline: arrival.start_deadline,
        }
    }

    /// Time until the cold rate limit permits one more call.
    pub(super) fn cold_rate_delay(&self, now: Time) -> Duration {
        self.cold_rate_start(now, self.queue.len()).since(now)
    }

    /// Time at which the cold rate limit permits a call behind `ahead` others.
    pub(super) fn cold_rate_start(&self, now: Time, ahead: usize) -> Time {
        match self.cold_rate(now) {
            Some(calls_per_s) => {
                let queue_time =
                    Duration::from_secs(1) * saturating_u32(ahead) / calls_per_s.max(1);
                self.cold_rate_limit.next_permitted_at(now, calls_per_s) + queue_time
            }
            None => now,
        }
    }

    /// Maximum calls per second while the backend server is cold; `None` if there is no such limit.
    pub(super) fn cold_rate(&self, now: Time) -> Option<u32> {
        let calls_per_s = self.settings.cold_calls_per_s;
        calls_per_s.filter(|_| now < self.cold_until)
    }
}

/// The time `duration` before `time`.
fn saturating_before(time: Time, duration: Duration) -> Time {
    Time::ZERO + time.since(Time::ZERO).saturating_sub(duration)
}
