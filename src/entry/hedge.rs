//! Hedged requests: a second attempt of a slow idempotent call.
//!
//! A backend server may slow down while it runs a call. If the first attempt has used a set share
//! of the response time objective, a free backend server may still respond in time. The first
//! successful response counts; the other attempt is cancelled. If the first one to finish fails,
//! the result of the other one counts. The router limits hedged requests by a token bucket.

use std::time::Duration;

use tokio::time::sleep;

use crate::call::{AttemptIndex, Event};
use crate::clock::Time;
use crate::peer::Upload;
use crate::routing::{self, Choice};

use super::Entry;
use super::attempt::AttemptResult;
use super::progress::CallProgress;
use super::request::Routable;

/// Which of two concurrent attempts finished first, with its result.
enum FirstFinished {
    Primary(AttemptResult),
    Hedge(AttemptResult),
}

/// A hedged request that is ready to be sent.
struct Hedge {
    choice: Choice,
    upload: Upload,
    attempt_index: Option<AttemptIndex>,
}

fn record_outcome(
    outcome: AttemptResult,
    progress: &mut CallProgress,
    attempt_index: Option<AttemptIndex>,
) -> AttemptResult {
    progress.record_attempt(attempt_index, &outcome);
    outcome
}

impl Entry {
    /// Makes an attempt, and a hedged one beside it if the first one is slow.
    ///
    /// `replay` is the request for the hedged attempt; without it none is made.
    pub(super) async fn attempt_with_hedge(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        replay: &mut Option<Upload>,
        progress: &mut CallProgress,
        attempt_index: Option<AttemptIndex>,
    ) -> AttemptResult {
        let now = self.parts.clock.now();
        let time_left = progress.deadline.since(now);
        let mut primary = Box::pin(self.attempt(routable, choice, upload, time_left));
        let delay = self.hedge_delay(now, routable, progress);
        let Some(delay) = delay.filter(|_| replay.is_some()) else {
            return record_outcome(primary.await, progress, attempt_index);
        };
        tokio::select! {
            biased;
            outcome = &mut primary => return record_outcome(outcome, progress, attempt_index),
            () = sleep(delay) => {}
        }
        let Some(hedge) = self.choose_hedge(routable, replay, progress) else {
            return record_outcome(primary.await, progress, attempt_index);
        };
        self.parts.observer.event(Event::Hedged);
        let time_left = progress.deadline.since(self.parts.clock.now());
        let mut secondary =
            Box::pin(self.attempt(routable, &hedge.choice, hedge.upload, time_left));
        let first_finished = tokio::select! {
            biased;
            outcome = &mut primary => FirstFinished::Primary(outcome),
            outcome = &mut secondary => FirstFinished::Hedge(outcome),
        };
        match first_finished {
            FirstFinished::Primary(outcome) => {
                let outcome = record_outcome(outcome, progress, attempt_index);
                if outcome.is_success() {
                    return outcome;
                }
                progress.record_failure(choice, &outcome);
                record_outcome(secondary.await, progress, hedge.attempt_index)
            }
            FirstFinished::Hedge(outcome) => {
                let outcome = record_outcome(outcome, progress, hedge.attempt_index);
                if outcome.is_success() {
                    return outcome;
                }
                progress.record_failure(&hedge.choice, &outcome);
                record_outcome(primary.await, progress, attempt_index)
            }
        }
    }

    /// Delay until the hedged request; `None` if the call may have none.
    fn hedge_delay(
        &self,
        now: Time,
        routable: &Routable,
        progress: &CallProgress,
    ) -> Option<Duration> {
        let delay_share = self.parts.settings.hedge_after_share;
        let objective = routable.objective()?;
        let allowed = routable
            .attempts()
            .unwrap_or(self.parts.settings.max_attempts);
        if delay_share <= 0.0 || progress.backends_reached + 2 > allowed {
            return None;
        }
        let time_to_objective = routable.objective_left(now);
        let elapsed = objective.saturating_sub(time_to_objective);
        Some(objective.mul_f64(delay_share).saturating_sub(elapsed))
    }

    /// Chooses a free backend server that is expected to respond within the objective.
    ///
    /// Takes a token of the hedging budget, and tells the router if the choice is not used.
    fn choose_hedge(
        &self,
        routable: &Routable,
        replay: &mut Option<Upload>,
        progress: &mut CallProgress,
    ) -> Option<Hedge> {
        let now = self.parts.clock.now();
        let upload = replay.as_ref()?.try_clone()?;
        let choice = self.choose(routable, &upload, progress).ok()?;
        let meets_objective = choice.expected <= routable.objective_left(now);
        let mut router = self.router();
        let is_worthwhile = !choice.expects_queueing
            && meets_objective
            && router.take_hedge_token(now, routable.service);
        if !is_worthwhile {
            router.observe(now, choice.backend, &routing::Event::Cancelled);
            return None;
        }
        drop(router);
        let attempt_index = progress.start_attempt(&choice);
        Some(Hedge {
            choice,
            upload,
            attempt_index,
        })
    }
}

impl CallProgress {
    /// Records an attempt that failed while the other one is still running.
    fn record_failure(&mut self, choice: &Choice, outcome: &AttemptResult) {
        match outcome {
            AttemptResult::Answered(_) => self.backends_reached += 1,
            AttemptResult::NotRun(refused, _) => self.record_refusal(choice, *refused),
            AttemptResult::Unknown(unknown, _) => self.record_unknown(*unknown),
        }
    }
}
