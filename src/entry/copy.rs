//! A second copy of an idempotent call that takes long.
//!
//! The speed of a backend server may change while it runs a call. When the first
//! one has used a good part of the time in which the answer has its full worth,
//! another one that is free may still be in time.

use std::time::Duration;

use tokio::time::sleep;

use crate::call::{Event, Turn};
use crate::clock::Time;
use crate::peer::Upload;
use crate::routing::{self, Choice};

use super::Entry;
use super::attempt::Attempted;
use super::progress::Progress;
use super::request::Routable;

/// Which of two copies ended first.
enum Side {
    First(Attempted),
    Second(Attempted),
}

/// A second copy that may be sent.
struct Copy {
    choice: Choice,
    upload: Upload,
    turn: Option<Turn>,
}

fn told(attempted: Attempted, progress: &mut Progress, turn: Option<Turn>) -> Attempted {
    progress.attempted(turn, &attempted);
    attempted
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
        turn: Option<Turn>,
    ) -> Attempted {
        let now = self.parts.clock.now();
        let time_left = progress.deadline.since(now);
        let mut first = Box::pin(self.attempt(routable, choice, upload, time_left));
        let after = self.copy_after(now, routable, progress);
        let Some(after) = after.filter(|_| again.is_some()) else {
            return told(first.await, progress, turn);
        };
        tokio::select! {
            biased;
            attempted = &mut first => return told(attempted, progress, turn),
            () = sleep(after) => {}
        }
        let Some(copy) = self.choose_copy(routable, again, progress) else {
            return told(first.await, progress, turn);
        };
        self.parts.observer.event(Event::Copied);
        let time_left = progress.deadline.since(self.parts.clock.now());
        let mut second = Box::pin(self.attempt(routable, &copy.choice, copy.upload, time_left));
        let first_ended = tokio::select! {
            biased;
            attempted = &mut first => Side::First(attempted),
            attempted = &mut second => Side::Second(attempted),
        };
        match first_ended {
            Side::First(attempted) => {
                let attempted = told(attempted, progress, turn);
                if attempted.is_good() {
                    return attempted;
                }
                progress.note(choice, &attempted);
                told(second.await, progress, copy.turn)
            }
            Side::Second(attempted) => {
                let attempted = told(attempted, progress, copy.turn);
                if attempted.is_good() {
                    return attempted;
                }
                progress.note(&copy.choice, &attempted);
                told(first.await, progress, turn)
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
    ) -> Option<Copy> {
        let now = self.parts.clock.now();
        let upload = again.as_ref()?.try_clone()?;
        let choice = self.choose(routable, &upload, progress).ok()?;
        let in_time = choice.expected <= routable.objective_left(now);
        let mut router = self.router();
        let fits = !choice.waits && in_time && router.may_copy(now, routable.service);
        if !fits {
            router.observe(now, choice.backend, &routing::Event::Abandoned);
            return None;
        }
        drop(router);
        let turn = progress.begin(&choice);
        Some(Copy {
            choice,
            upload,
            turn,
        })
    }
}

impl Progress {
    /// Takes in a copy that failed while another one runs.
    fn note(&mut self, choice: &Choice, attempted: &Attempted) {
        match attempted {
            Attempted::Answered(_) => self.reached += 1,
            Attempted::NotRun(refused, _) => self.refuse(choice, *refused),
            Attempted::Unknown(unknown, _) => self.lose(*unknown),
        }
    }
}
