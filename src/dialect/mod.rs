//! Headers exchanged with callers and backend servers beyond plain HTTP.
//!
//! The product's own headers are the [`Native`] dialect. A platform whose callers and backend
//! servers use other headers provides another implementation of [`Dialect`]; the rest of the data
//! path knows no header names.

mod native;
mod refusal;

use std::fmt;
use std::time::Duration;

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response, header};

use crate::call::{Body, Context, Reason, UnknownOutcome};
use crate::gate::Signal;

pub use native::Native;
pub(crate) use native::parse_state_signal;

/// Reads and writes the headers of one dialect.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Identifies a request for the caller and the backend server.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Limits received with a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header of the dialect is malformed.
    fn context(&self, headers: &HeaderMap) -> Result<Context, Reason>;

    /// API key of a request; `None` if there is none, several, or none that can be read.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Removes the API key, and any tenant that the caller names, where the plan knows API keys.
    fn strip_credentials(&self, headers: &mut HeaderMap);

    /// Prepares the headers of a request to a gate. `caller` is the service beside the entry.
    fn prepare_for_gate(&self, headers: &mut HeaderMap, caller: &str);

    /// Prepares the headers of a request to a backend server.
    fn prepare_for_backend(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>);

    /// Classifies a response to the request with the given id by its head.
    fn classify_response(&self, id: Option<&HeaderValue>, head: &Parts) -> ResponseClass;

    /// Signals about the backend server in the headers of a response.
    fn signals(&self, headers: &HeaderMap) -> Vec<Signal>;

    /// Parses the head of a health check response.
    fn read_health(&self, head: &Parts) -> HealthReport;

    /// Removes headers that only entries may set, and headers meant for the gate only.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Response to a call that certainly did not run.
    fn not_run_response(&self, refusal: &Refusal<'_>) -> Response<Body>;

    /// Response to a call that may have run.
    fn unknown_outcome_response(&self, unknown: UnknownOutcome) -> Response<Body>;
}

/// Values that a backend server receives with a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext<'a> {
    /// Limits for the call and all calls it causes.
    pub context: &'a Context,
    /// Time left for the call.
    pub time_left: Duration,
    /// Process that must run the call, if its name is known.
    pub expected_process: Option<&'a str>,
}

/// Relation of a response to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request ran, and this is its response.
    Answered,
    /// The backend server refused the request without running it.
    Shed,
    /// Another process uses the address of the backend server and refused the request.
    Misdirected,
    /// The response belongs to another request, so the outcome is unknown.
    Mismatched,
}

/// Content of a health check response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// Name of the process that responded.
    pub process: Option<String>,
    /// Whether the process is healthy and not draining.
    pub healthy: bool,
    /// Time for which the process will be cold.
    pub cold_for: Option<Duration>,
    /// Number of calls the process can run concurrently.
    pub slots: Option<u32>,
    /// Further signals.
    pub signals: Vec<Signal>,
}

/// The credentials of the only `Authorization` field, if it has this scheme.
#[must_use]
pub fn credentials<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a [u8]> {
    let mut fields = headers.get_all(header::AUTHORIZATION).iter();
    let field = fields.next()?.as_bytes();
    if fields.next().is_some() {
        return None;
    }
    let (word, rest) = field.split_at_checked(scheme.len())?;
    if !word.eq_ignore_ascii_case(scheme.as_bytes()) || !rest.starts_with(b" ") {
        return None;
    }
    let key = rest.trim_ascii();
    let is_one_word = !key.is_empty() && !key.contains(&b' ');
    is_one_word.then_some(key)
}

/// A call that certainly did not run.
#[derive(Clone, Copy, Debug)]
pub struct Refusal<'a> {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Addresses that may serve the call; empty if there are none.
    pub addresses: &'a str,
}
