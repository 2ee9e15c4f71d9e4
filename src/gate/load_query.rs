//! When the backend server is sent_at how fast it is, before a call is begun.

use std::time::Duration;

use crate::clock::Time;
use crate::token_bucket::TokenBucket;

use super::Settings;
use super::slowdown::Slowdown;

/// Longest wait for an answer. A server that does not say how fast it is gets
/// its calls all the same.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(15);
/// Time without questions after one was not answered.
const UNANSWERED_QUERY_PAUSE: Duration = Duration::from_millis(250);
/// Seconds of questions that can be saved up.
const QUERY_BURST_S: f64 = 1.0;
/// Questions during the time that a slow spell is expected to last on.
const QUERIES_PER_SLOW_PERIOD: u32 = 8;

/// What is to be done about the speed before a call is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// It is known well enough.
    StartCall,
    /// SendQuery for it.
    SendQuery,
    /// Wait for the answer.
    Wait,
}

/// Questions for the speed.
#[derive(Debug)]
pub(super) struct LoadQueries {
    budget: TokenBucket,
    /// Time in which the budget gains one question.
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

    /// The speed was told.
    pub(super) const fn on_report(&mut self) {
        self.sent_at = None;
    }

    /// What comes before a call is begun.
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

    /// When to look again while calls wait for the speed.
    pub(super) fn recheck_at(&self, settings: &Settings, slowdown: &Slowdown) -> Option<Time> {
        let answer_deadline = self.sent_at.map(|sent_at| sent_at + LOAD_QUERY_TIMEOUT);
        answer_deadline.or_else(|| {
            let expires_at = report_expires_at(settings, slowdown)?;
            Some(expires_at.max(self.paused_until))
        })
    }
}

/// When what is known is too old; never where nobody says it. In a spell that
/// is expected to last, the end is looked for less often.
fn report_expires_at(settings: &Settings, slowdown: &Slowdown) -> Option<Time> {
    let reported_at = slowdown.reported_at()?;
    let query_interval = slowdown.remaining_slow_period(reported_at) / QUERIES_PER_SLOW_PERIOD;
    Some(reported_at + query_interval.max(settings.slowdown_max_age))
}
