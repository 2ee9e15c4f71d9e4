//! Records one hop of a call, whatever becomes of it.

use std::sync::Arc;

use crate::clock::{Clock, Time};
use crate::membership::ClusterSnapshot;
use crate::plan::key;

use super::{Duty, End, Event, Observer, Span, Trace};

/// A hop that is told to the observer when it ends, as cancelled if dropped.
pub struct Recording {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started: Time,
    snapshot: Arc<ClusterSnapshot>,
    route: key::Route,
    trace: Trace,
    duty: Duty,
    end: End,
}

impl Recording {
    /// Begins a hop of a call of `route`.
    #[must_use]
    pub fn begin(
        observer: &Arc<dyn Observer>,
        clock: Clock,
        snapshot: &Arc<ClusterSnapshot>,
        route: key::Route,
        trace: Trace,
        duty: Duty,
    ) -> Self {
        Self {
            observer: Arc::clone(observer),
            clock,
            started: clock.now(),
            snapshot: Arc::clone(snapshot),
            route,
            trace,
            duty,
            end: End::Cancelled,
        }
    }

    /// The hop ended in this way.
    pub fn end(mut self, end: End) {
        self.end = end;
    }

    fn count(&self) {
        let event = match (self.duty, self.end) {
            (Duty::Entry, End::Cancelled) => Event::Cancelled,
            (Duty::Entry | Duty::Gate, End::NotRun(reason)) => Event::Refused(reason),
            (Duty::Entry | Duty::Gate, End::Unknown(loss)) => Event::Lost(loss),
            _ => return,
        };
        self.observer.event(event);
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        self.count();
        let plan = &self.snapshot.plan;
        let route = plan.route(self.route);
        self.observer.span(&Span {
            trace: self.trace,
            duty: self.duty,
            service: &plan.service(route.service).name,
            route: &route.name,
            elapsed: self.clock.now().since(self.started),
            end: self.end,
        });
    }
}
