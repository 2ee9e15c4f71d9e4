//! What a node asks of whatever chooses among backend servers.

use crate::clock::Time;
use crate::membership::ClusterSnapshot;
use crate::plan::key;
use crate::reason::Reason;

use super::key::Backend;
use super::{Ask, Choice, Event, Router};

/// Chooses backend servers and keeps the retry budget.
pub trait Chooser: Send {
    /// Takes over plan and view.
    fn update(&mut self, now: Time, snapshot: &ClusterSnapshot);

    /// Chooses a backend server for one call.
    ///
    /// # Errors
    ///
    /// The reason why no backend server can be chosen; the call was not run.
    fn choose(&mut self, now: Time, ask: &Ask) -> Result<Choice, Reason>;

    /// Takes in what became of a call.
    fn observe(&mut self, now: Time, backend: Backend, event: &Event);

    /// Counts a call of a caller.
    fn call_made(&mut self, now: Time, service: key::Service);

    /// Takes a token of the retry budget. Tells whether there was one.
    fn may_retry(&mut self, now: Time, service: key::Service) -> bool;

    /// Gives back a token that was not used.
    fn return_retry(&mut self, now: Time, service: key::Service);

    /// A backend server to probe, when the budget allows it.
    fn probe(&mut self, _now: Time) -> Option<Choice> {
        None
    }
}

impl Chooser for Router {
    fn update(&mut self, now: Time, snapshot: &ClusterSnapshot) {
        Self::update(self, now, snapshot);
    }

    fn choose(&mut self, now: Time, ask: &Ask) -> Result<Choice, Reason> {
        Self::choose(self, now, ask)
    }

    fn observe(&mut self, now: Time, backend: Backend, event: &Event) {
        Self::observe(self, now, backend, event);
    }

    fn call_made(&mut self, now: Time, service: key::Service) {
        Self::call_made(self, now, service);
    }

    fn may_retry(&mut self, now: Time, service: key::Service) -> bool {
        Self::may_retry(self, now, service)
    }

    fn return_retry(&mut self, now: Time, service: key::Service) {
        Self::return_retry(self, now, service);
    }

    fn probe(&mut self, now: Time) -> Option<Choice> {
        Self::probe(self, now)
    }
}
