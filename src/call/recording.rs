//! Records one hop of a call, whatever becomes of it.

use std::sync::Arc;

use crate::clock::{Clock, Time};
use crate::membership::Situation;
use crate::plan::key;

use super::{Duty, End, Event, Observer, Span, Trace};

/// A hop that is told to the observer when it ends, as cancelled if dropped.
pub struct Recording {
    observer: Arc<dyn Observer>,
    clock: Clock,
    started_at: Time,
    situation: Arc<Situation>,
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
        situation: &Arc<Situation>,
        route: key::Route,
        trace: Trace,
        duty: Duty,
    ) -> Self {
        Self {
            observer: Arc::clone(observer),
            clock,
            started_at: clock.now(),
            situation: Arc::clone(situation),
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

    fn emit_event(&self) {
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
        self.emit_event();
        let plan = &self.situation.plan;
        let route = plan.route(self.route);
        self.observer.span(&Span {
            trace: self.trace,
            duty: self.duty,
            service: &plan.service(route.service).name,
            route: &route.name,
            elapsed: self.clock.now().since(self.started_at),
            end: self.end,
        });
    }
}
