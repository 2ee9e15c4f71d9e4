//! Follows one call at its entry, to tell at its end what was decided and why.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;

use crate::clock::{Clock, Time};
use crate::membership::ClusterSnapshot;
use crate::plan::key;
use crate::routing::Choice;

use super::{Decision, Duty, End, Observer, Trace, Try};

/// Tries of one call; told to the observer when it ends, as cancelled if dropped.
pub struct Story {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started: Time,
    snapshot: Arc<ClusterSnapshot>,
    route: key::Route,
    request: String,
    tries: Vec<Open>,
    end: End,
}

/// One attempt.
struct Open {
    told: Try,
    since: Time,
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
        snapshot: &Arc<ClusterSnapshot>,
        route: key::Route,
        id: Option<&HeaderValue>,
        trace: Trace,
    ) -> Option<Self> {
        observer.wants_decisions().then(|| Self {
            observer: Arc::clone(observer),
            clock,
            started: clock.now(),
            snapshot: Arc::clone(snapshot),
            route,
            request: request_name(id, trace),
            tries: Vec::new(),
            end: End::Cancelled,
        })
    }

    /// An attempt begins.
    pub fn attempt(&mut self, choice: &Choice) -> Turn {
        self.tries.push(Open {
            told: Try {
                instance: choice.instance.clone(),
                expected: choice.expected,
                waits: choice.waits,
                load_age: choice.load_age,
                elapsed: Duration::ZERO,
                end: End::Cancelled,
            },
            since: self.clock.now(),
        });
        Turn(self.tries.len() - 1)
    }

    /// An attempt ended.
    pub fn attempted(&mut self, turn: Turn, end: End) {
        let now = self.clock.now();
        if let Some(open) = self.tries.get_mut(turn.0) {
            open.told.end = end;
            open.told.elapsed = now.since(open.since);
        }
    }

    /// The call ended.
    pub fn end(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        let plan = &self.snapshot.plan;
        let route = plan.route(self.route);
        let tries: Vec<Try> = self.tries.drain(..).map(|open| open.told).collect();
        self.observer.decision(&Decision {
            duty: Duty::Entry,
            request: &self.request,
            service: &plan.service(route.service).name,
            route: &route.name,
            plan: plan.version,
            tries: &tries,
            load: None,
            elapsed: self.clock.now().since(self.started),
            end: self.end,
        });
    }
}

/// The id that the caller gave, else that of the trace.
#[must_use]
pub fn request_name(id: Option<&HeaderValue>, trace: Trace) -> String {
    let given = id.and_then(|id| id.to_str().ok());
    given.map_or_else(|| format!("{:032x}", trace.id), str::to_owned)
}
