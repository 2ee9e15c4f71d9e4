//! Interface of the policies that select backend servers.

use crate::clock::Time;
use crate::membership::ClusterSnapshot;
use crate::plan::key;
use crate::reason::Reason;

use super::key::Backend;
use super::{Choice, Event, Router, SelectionRequest};

/// Selects backend servers and keeps the retry budget.
pub trait Chooser: Send {
    /// Applies a new plan and membership view.
    fn update(&mut self, now: Time, snapshot: &ClusterSnapshot);

    /// Selects a backend server for one call.
    ///
    /// # Errors
    ///
    /// Returns the reason why no backend server can be selected; the call has not run.
    fn choose(&mut self, now: Time, request: &SelectionRequest) -> Result<Choice, Reason>;

    /// Processes the outcome of a call or a load report.
    fn observe(&mut self, now: Time, backend: Backend, event: &Event);

    /// Adds the share of one new call to the budgets.
    fn on_call(&mut self, now: Time, service: key::Service);

    /// Takes a token from the retry budget. Returns whether one was available.
    fn take_retry_token(&mut self, now: Time, service: key::Service) -> bool;

    /// Returns a token that was not used.
    fn return_retry_token(&mut self, now: Time, service: key::Service);

    /// Returns a backend server to probe, if the probe budget allows it.
    fn probe(&mut self, _now: Time) -> Option<Choice> {
        None
    }
}

impl Chooser for Router {
    fn update(&mut self, now: Time, snapshot: &ClusterSnapshot) {
        Self::update(self, now, snapshot);
    }

    fn choose(&mut self, now: Time, request: &SelectionRequest) -> Result<Choice, Reason> {
        Self::choose(self, now, request)
    }

    fn observe(&mut self, now: Time, backend: Backend, event: &Event) {
        Self::observe(self, now, backend, event);
    }

    fn on_call(&mut self, now: Time, service: key::Service) {
        Self::on_call(self, now, service);
    }

    fn take_retry_token(&mut self, now: Time, service: key::Service) -> bool {
        Self::take_retry_token(self, now, service)
    }

    fn return_retry_token(&mut self, now: Time, service: key::Service) {
        Self::return_retry_token(self, now, service);
    }

    fn probe(&mut self, now: Time) -> Option<Choice> {
        Self::probe(self, now)
    }
}
