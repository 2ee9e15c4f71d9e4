//! A second copy of an idempotent call that takes long.
//!
//! The speed of a backend server may change while it runs a call. When the first
//! one has used a good part of the time in which the answer has its full worth,
//! another one that is free may still be in time.

use std::time::Duration;

use tokio::time::sleep;

use crate::call::{Event, NotRun, Unknown};
use crate::clock::Time;
use crate::peer::Upload;
use crate::routing::{self, Choice};

use super::Entry;
use super::attempt::Attempted;
use super::forward::Progress;
use super::request::Routable;

/// What became of the copy that ended first.
enum Ended {
    /// It has an answer that is worth passing on, or is the only one left.
    Won(Attempted),
    /// It failed while the other one runs.
    Lost(Attempted),
}

impl Ended {
    fn of(attempted: Attempted) -> Self {
        match attempted {
            Attempted::Answered(response) if !response.status().is_server_error() => {
                Self::Won(Attempted::Answered(response))
            }
            other => Self::Lost(other),
        }
    }
}

impl Entry {
    /// Makes an attempt, and a second one beside it when the first takes long.
    pub(super) async fn attempt_twice(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        again: &mut Option<Upload>,
        progress: &mut Progress,
    ) -> Attempted {
        let now = self.parts.clock.now();
        let time_left = progress.deadline.since(now);
        let mut first = Box::pin(self.attempt(routable, choice, upload, time_left));
        if again.is_none() {
            return first.await;
        }
        let Some(after) = self.copy_after(now, routable, progress) else {
            return first.await;
        };
        tokio::select! {
            biased;
            attempted = &mut first => return attempted,
            () = sleep(after) => {}
        }
        let Some((upload, other)) = self.choose_copy(routable, again, progress) else {
            return first.await;
        };
        self.parts.observer.event(Event::Copied);
        let time_left = progress.deadline.since(self.parts.clock.now());
        let mut second = Box::pin(self.attempt(routable, &other, upload, time_left));
        let (ended, first_ended) = tokio::select! {
            biased;
            attempted = &mut first => (Ended::of(attempted), true),
            attempted = &mut second => (Ended::of(attempted), false),
        };
        match ended {
            Ended::Won(attempted) => attempted,
            Ended::Lost(attempted) => {
                progress.note(&attempted);
                if first_ended {
                    second.await
                } else {
                    first.await
                }
            }
        }
    }

    /// Time until a second copy, when the call may have one.
    fn copy_after(&self, now: Time, routable: &Routable, progress: &Progress) -> Option<Duration> {
        let share = self.parts.settings.copy_after;
        let objective = routable.objective()?;
        let allowed = routable
            .attempts()
            .unwrap_or(self.parts.settings.max_attempts);
        if share <= 0.0 || progress.reached + 2 > allowed {
            return None;
        }
        let left = routable.objective_left(now);
        let waited = objective.saturating_sub(left);
        Some(objective.mul_f64(share).saturating_sub(waited))
    }

    /// Another backend server that is free and expected to be in time.
    fn choose_copy(
        &self,
        routable: &Routable,
        again: &mut Option<Upload>,
        progress: &mut Progress,
    ) -> Option<(Upload, Choice)> {
        let now = self.parts.clock.now();
        let upload = again.as_ref()?.again()?;
        let choice = self.choose(routable, &upload, progress).ok()?;
        let in_time = choice.expected <= routable.objective_left(now);
        let mut router = self.router();
        let fits = !choice.waits && in_time && router.may_copy(now, routable.service);
        if !fits {
            router.observe(now, choice.backend, &routing::Event::Abandoned);
            return None;
        }
        drop(router);
        progress.begin(&choice);
        Some((upload, choice))
    }
}

impl Progress {
    /// Takes in a copy that failed while another one runs.
    fn note(&mut self, attempted: &Attempted) {
        match attempted {
            Attempted::Answered(_) => self.reached += 1,
            Attempted::NotRun(refused, _) => self.refuse(NotRun::clone(refused)),
            Attempted::Unknown(unknown, _) => self.lose(Unknown::clone(unknown)),
        }
    }
}
