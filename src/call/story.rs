//! Follows one call at its entry, to tell at its end what was decided and why.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;

use crate::clock::{Clock, Time};
use crate::membership::Situation;
use crate::plan::key;
use crate::routing::Choice;

use super::{Decision, Duty, End, Observer, Trace, Try};

/// Tries of one call; told to the observer when it ends, as cancelled if dropped.
pub struct Story {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started_at: Time,
    situation: Arc<Situation>,
    route: key::Route,
    request: String,
    tries: Vec<OpenAttempt>,
    end: End,
}

/// One attempt.
struct OpenAttempt {
    record: Try,
    started_at: Time,
}

/// Which attempt of a story.
#[derive(Clone, Copy, Debug)]
pub struct Turn(usize);

impl Story {
    /// Begins to follow a call, when anyone wants to know.
    #[must_use]
    pub fn begin(
        observer: &Arc<dyn Observer>,
        clock: Clock,
        situation: &Arc<Situation>,
        route: key::Route,
        id: Option<&HeaderValue>,
        trace: Trace,
    ) -> Option<Self> {
        observer.wants_decisions().then(|| Self {
            observer: Arc::clone(observer),
            clock,
            started_at: clock.now(),
            situation: Arc::clone(situation),
            route,
            request: request_name(id, trace),
            tries: Vec::new(),
            end: End::Cancelled,
        })
    }

    /// An attempt begins.
    pub fn attempt(&mut self, choice: &Choice) -> Turn {
        self.tries.push(OpenAttempt {
            record: Try {
                instance: choice.instance.clone(),
                expected: choice.expected,
                waits: choice.waits,
                load_age: choice.load_age,
                elapsed: Duration::ZERO,
                end: End::Cancelled,
            },
            started_at: self.clock.now(),
        });
        Turn(self.tries.len() - 1)
    }

    /// An attempt ended.
    pub fn attempted(&mut self, turn: Turn, end: End) {
        let now = self.clock.now();
        if let Some(open) = self.tries.get_mut(turn.0) {
            open.record.end = end;
            open.record.elapsed = now.since(open.started_at);
        }
    }

    /// The call ended.
    pub fn end(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        let plan = &self.situation.plan;
        let route = plan.route(self.route);
        let tries: Vec<Try> = self.tries.drain(..).map(|open| open.record).collect();
        self.observer.decision(&Decision {
            duty: Duty::Entry,
            request: &self.request,
            service: &plan.service(route.service).name,
            route: &route.name,
            plan: plan.version,
            tries: &tries,
            load: None,
            elapsed: self.clock.now().since(self.started_at),
            end: self.end,
        });
    }
}

/// The id that the caller gave, else that of the trace.
#[must_use]
pub fn request_name(id: Option<&HeaderValue>, trace: Trace) -> String {
    let caller_id = id.and_then(|id| id.to_str().ok());
    caller_id.map_or_else(|| format!("{:032x}", trace.id), str::to_owned)
}
