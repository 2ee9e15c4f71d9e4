//! What callers, nodes and backend servers tell each other beside plain HTTP.
//!
//! The product's own headers are the [`Native`] dialect. A platform whose
//! callers and backend servers use other headers brings another one; nothing
//! else in the data path knows a header's name.

mod native;
mod refusal;

use std::fmt;
use std::time::Duration;

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response};

use crate::call::{Body, Context, Reason, Unknown};
use crate::gate::Signal;

pub use native::Native;
pub(crate) use native::parse_state_signal;

/// Reads and writes the headers of one dialect.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Id by which the caller and the backend server know a request.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Limits that came with a request of a caller.
    ///
    /// # Errors
    ///
    /// Refuses headers that are not of the form of the dialect.
    fn context(&self, headers: &HeaderMap) -> Result<Context, Reason>;

    /// Prepares the headers of a request for a gate. `caller` is the service
    /// beside the entry.
    fn prepare_for_gate(&self, headers: &mut HeaderMap, caller: &str);

    /// Prepares the headers of a request for a backend server.
    fn prepare_for_backend(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>);

    /// What the head of an answer says of the request with this id.
    fn classify_response(&self, id: Option<&HeaderValue>, head: &Parts) -> ResponseClass;

    /// What the head of an answer says of the backend server.
    fn signals(&self, headers: &HeaderMap) -> Vec<Signal>;

    /// What the head of an answer of the health endpoint says.
    fn read_health(&self, head: &Parts) -> HealthReport;

    /// Removes from an answer what only an entry may say, and what concerns
    /// nobody but the gate.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Answer to a call that certainly did not run.
    fn not_run_response(&self, refusal: &Refusal<'_>) -> Response<Body>;

    /// Answer to a call that may have run.
    fn unknown_outcome_response(&self, unknown: Unknown) -> Response<Body>;
}

/// What a backend server is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext<'a> {
    /// Limits that hold for all that the call causes.
    pub context: &'a Context,
    /// Time left for the call.
    pub time_left: Duration,
    /// Process that is to run it, where its name is known.
    pub expected_process: Option<&'a str>,
}

/// What the head of an answer says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It was run, and this is its answer.
    Answered,
    /// The backend server refused it without running it.
    Shed,
    /// Another process has the address of the backend server and refused it.
    Misdirected,
    /// This is not the answer to the request, so its outcome is unknown.
    Mismatched,
}

/// What a health endpoint says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// Process that answered.
    pub process: Option<String>,
    /// Whether it takes itself for healthy and is not leaving.
    pub healthy: bool,
    /// Time for which it will be cold.
    pub cold_for: Option<Duration>,
    /// Calls it can run at the same time.
    pub slots: Option<u32>,
    /// Signs besides.
    pub signals: Vec<Signal>,
}

/// A truthful "not run".
#[derive(Clone, Copy, Debug)]
pub struct Refusal<'a> {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Duration,
    /// Addresses that may serve the call; empty for none.
    pub addresses: &'a str,
}
