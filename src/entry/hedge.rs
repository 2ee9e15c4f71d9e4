//! Hedged requests: a second attempt of a slow idempotent call.
//!
//! A backend server may slow down while it runs a call. If the first attempt has used the share
//! `hedge_after_share` of the response time objective, a hedged attempt at a backend server without
//! a queue may still respond in time. The first successful response counts; the other attempt is
//! cancelled. If the attempt that finishes first fails, the result of the other one counts. The
//! router limits hedged requests by a token bucket, see docs/design/hedging.md.

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
    /// The first attempt.
    Primary(AttemptResult),
    /// The hedged attempt.
    Hedge(AttemptResult),
}

/// A hedged attempt that is ready to be sent.
struct Hedge {
    choice: Choice,
    upload: Upload,
    attempt_index: Option<AttemptIndex>,
}

fn record_result(
    result: AttemptResult,
    progress: &mut CallProgress,
    attempt_index: Option<AttemptIndex>,
) -> AttemptResult {
    progress.record_attempt(attempt_index, &result);
    result
}

impl Entry {
    /// Makes a first attempt, and a hedged attempt beside it if the first one is slow.
    ///
    /// `replay` is a copy of the request body for the hedged attempt; without it none is made.
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
            return record_result(primary.await, progress, attempt_index);
        };
        tokio::select! {
            biased;
            result = &mut primary => return record_result(result, progress, attempt_index),
            () = sleep(delay) => {}
        }
        let Some(hedge) = self.choose_hedge(routable, replay, progress) else {
            return record_result(primary.await, progress, attempt_index);
        };
        self.parts.observer.event(Event::Hedged);
        let time_left = progress.deadline.since(self.parts.clock.now());
        let mut secondary =
            Box::pin(self.attempt(routable, &hedge.choice, hedge.upload, time_left));
        let first_finished = tokio::select! {
            biased;
            result = &mut primary => FirstFinished::Primary(result),
            result = &mut secondary => FirstFinished::Hedge(result),
        };
        // A return drops the future of the other attempt, which cancels it. Its backend server may
        // run the call all the same.
        match first_finished {
            FirstFinished::Primary(result) => {
                let result = record_result(result, progress, attempt_index);
                if result.is_success() {
                    progress.backends_reached += 1;
                    return result;
                }
                progress.record_failure(choice, &result);
                record_result(secondary.await, progress, hedge.attempt_index)
            }
            FirstFinished::Hedge(result) => {
                let result = record_result(result, progress, hedge.attempt_index);
                if result.is_success() {
                    self.parts.observer.event(Event::HedgeWon);
                    progress.backends_reached += 1;
                    return result;
                }
                progress.record_failure(&hedge.choice, &result);
                record_result(primary.await, progress, attempt_index)
            }
        }
    }

    /// Delay until the hedged attempt; `None` if the call may have none.
    ///
    /// A `hedge_after_share` of zero or less disables hedging.
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
        // The first attempt and the hedged one may each reach a backend server, hence 2.
        if delay_share <= 0.0 || progress.backends_reached + 2 > allowed {
            return None;
        }
        let time_to_objective = routable.objective_left(now);
        let elapsed = objective.saturating_sub(time_to_objective);
        Some(objective.mul_f64(delay_share).saturating_sub(elapsed))
    }

    /// Chooses a backend server without a queue that is expected to respond within the objective.
    ///
    /// Takes a token of the hedging budget. If the choice does not qualify or there is no token, the
    /// router is notified that the choice is cancelled.
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
    ///
    /// The result of the other one is returned to `forward`, which records it.
    fn record_failure(&mut self, choice: &Choice, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) => self.backends_reached += 1,
            AttemptResult::NotRun(refused, _) => self.record_refusal(choice, *refused),
            AttemptResult::Unknown(unknown, _) => self.record_unknown(*unknown),
        }
    }
}
