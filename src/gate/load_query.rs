//! Decides when to send a load query to the backend server before a call starts.
//!
//! Input is the age of the last slowdown reading. A token bucket limits the rate of load queries.

use std::time::Duration;

use crate::clock::Time;
use crate::token_bucket::TokenBucket;

use super::Settings;
use super::slowdown::Slowdown;

/// Timeout of a load query. A server that does not respond gets its calls all the same.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(15);
/// Time without load queries after one timed out.
const UNANSWERED_QUERY_PAUSE: Duration = Duration::from_millis(250);
/// Capacity of the token bucket, in seconds of its refill rate.
const QUERY_BURST_S: f64 = 1.0;
/// Number of load queries within the expected remaining time of a slow period.
const QUERIES_PER_SLOW_PERIOD: u32 = 8;

/// Next step before a call starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// The last reading is recent enough.
    StartCall,
    /// Send a load query.
    SendQuery,
    /// Wait for the response to a load query.
    Wait,
}

/// State of the load queries to one backend server.
#[derive(Debug)]
pub(super) struct LoadQueries {
    budget: TokenBucket,
    /// Time in which the budget gains one load query.
    refill_time: Duration,
    sent_at: Option<Time>,
    paused_until: Time,
}

impl LoadQueries {
    pub(super) fn new(settings: &Settings, now: Time) -> Self {
        let queries_per_s = settings.load_queries_per_s;
        Self {
            budget: TokenBucket::new_full(queries_per_s * QUERY_BURST_S, queries_per_s, now),
            refill_time: Duration::from_secs(1).div_f64(queries_per_s.max(1.0)),
            sent_at: None,
            paused_until: now,
        }
    }

    /// Handles a slowdown reading.
    pub(super) const fn on_report(&mut self) {
        self.sent_at = None;
    }

    /// Next step before a call starts.
    pub(super) fn next_step(
        &mut self,
        now: Time,
        settings: &Settings,
        slowdown: &Slowdown,
    ) -> NextStep {
        let Some(expires_at) = report_expires_at(settings, slowdown) else {
            return NextStep::StartCall;
        };
        if let Some(sent_at) = self.sent_at {
            if now < sent_at + LOAD_QUERY_TIMEOUT {
                return NextStep::Wait;
            }
            self.sent_at = None;
            self.paused_until = now + UNANSWERED_QUERY_PAUSE;
        }
        if now < expires_at || now < self.paused_until {
            return NextStep::StartCall;
        }
        if !self.budget.try_take(now, 1.0) {
            self.paused_until = now + self.refill_time;
            return NextStep::StartCall;
        }
        self.sent_at = Some(now);
        NextStep::SendQuery
    }

    /// Time at which to reconsider the calls that wait for a reading.
    pub(super) fn recheck_at(&self, settings: &Settings, slowdown: &Slowdown) -> Option<Time> {
        let answer_deadline = self.sent_at.map(|sent_at| sent_at + LOAD_QUERY_TIMEOUT);
        answer_deadline.or_else(|| {
            let expires_at = report_expires_at(settings, slowdown)?;
            Some(expires_at.max(self.paused_until))
        })
    }
}

/// Time at which the last reading is too old; `None` if the server reports none. Within a slow
/// period that is expected to last, readings are requested less often.
fn report_expires_at(settings: &Settings, slowdown: &Slowdown) -> Option<Time> {
    let reported_at = slowdown.reported_at()?;
    let query_interval = slowdown.remaining_slow_period(reported_at) / QUERIES_PER_SLOW_PERIOD;
    Some(reported_at + query_interval.max(settings.slowdown_max_age))
}
