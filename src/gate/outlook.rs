//! When a call is expected to start and to end at this gate.

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

use super::admission::count;
use super::queue::Starts;
use super::{Arrival, Gate, Kind};

/// Shortest wait there is, in which a call is begun at once or not at all.
const INSTANT: Duration = Duration::from_micros(1);

impl Gate {
    /// A call is not let in to wait when it could be answered in time elsewhere
    /// only: while it waits here, it takes the place of one that can.
    pub(super) fn too_late(&self, now: Time, arrival: &Arrival) -> Option<Reason> {
        let least = self.work.least(arrival.kind);
        if now + least >= arrival.deadline {
            return Some(Reason::Deadline);
        }
        let starts = self.starts(now, arrival);
        let outlook = self.slowness.outlook(now, least);
        let ahead = self.queue.ahead_of(arrival, starts.late);
        let turn = self.turn(now, ahead).max(self.cold_turn(now, ahead));
        let turn = turn.max(now + outlook.delay);
        let untold = arrival.kind == Kind::UNTOLD;
        if untold && turn > now && turn + self.limit.service_time() >= arrival.deadline {
            return Some(Reason::Deadline);
        }
        if turn + outlook.work >= arrival.deadline {
            return Some(if untold {
                Reason::Deadline
            } else {
                Reason::Overloaded
            });
        }
        if arrival.begin_by.is_some_and(|begin_by| turn > begin_by) {
            return Some(Reason::LateTurn);
        }
        let in_vain = turn > now && starts.in_time.is_some_and(|in_time| turn > in_time);
        in_vain.then_some(Reason::Overloaded)
    }

    /// When a slot is expected to be free for a call that has `queued` before it.
    pub(super) fn turn(&self, now: Time, queued: usize) -> Time {
        let limit = self.limit();
        let ahead = self.in_hand() + count(queued);
        let Some(over) = ahead.checked_sub(limit) else {
            return now;
        };
        let service_time = self.slowness.outlook(now, self.limit.service_time()).work;
        now + service_time * (over + 1) / limit.max(1)
    }

    /// Last moments at which a call is worth starting here.
    pub(super) fn starts(&self, now: Time, arrival: &Arrival) -> Starts {
        let least = self.work.least(arrival.kind);
        let work = self.slowness.outlook(now, least).work;
        let in_time = arrival.objective.map(|objective| before(objective, work));
        let late = in_time.is_some_and(|in_time| in_time <= now);
        Starts {
            late,
            in_time: if late {
                Some(now + self.settings.late_wait.max(INSTANT))
            } else {
                in_time
            },
            at_all: before(arrival.deadline, work),
            begin_by: arrival.begin_by,
        }
    }

    /// Time until the cold allowance lets one more call through.
    pub(super) fn cold_delay(&self, now: Time) -> Duration {
        self.cold_turn(now, self.queue.len()).since(now)
    }

    /// When the cold allowance lets a call through that has `ahead` before it.
    pub(super) fn cold_turn(&self, now: Time, ahead: usize) -> Time {
        match self.cold_rate(now) {
            Some(per_s) => {
                let turns = Duration::from_secs(1) * count(ahead) / per_s.max(1);
                self.allowance.next(now, per_s) + turns
            }
            None => now,
        }
    }

    /// Calls a second that may be admitted, while the backend server is cold.
    pub(super) fn cold_rate(&self, now: Time) -> Option<u32> {
        let per_s = self.settings.cold_per_s;
        per_s.filter(|_| now < self.cold_until)
    }
}

/// The time `duration` before `time`.
fn before(time: Time, duration: Duration) -> Time {
    Time::ZERO + time.since(Time::ZERO).saturating_sub(duration)
}
