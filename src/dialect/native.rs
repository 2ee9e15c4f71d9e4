//! The product's own headers, as described in docs/CALLS.md.

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use xxhash_rust::xxh3::xxh3_64;

use crate::call::{Body, Context, Reason, UnknownOutcome};
use crate::gate::Signal;
use crate::headers;

use super::{Dialect, DispatchContext, HealthReport, Refusal, ResponseClass, credentials, refusal};

/// The product's own header dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    /// Always `None`: the product follows calls by their traces.
    fn request_id(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn context(&self, headers: &HeaderMap) -> Result<Context, Reason> {
        Context::from_headers(headers)
    }

    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        credentials(headers, "Bearer")
    }

    fn strip_credentials(&self, headers: &mut HeaderMap) {
        headers.remove(header::AUTHORIZATION);
        headers.remove(headers::TENANT);
    }

    fn prepare_for_gate(&self, headers: &mut HeaderMap, _caller: &str) {
        for name in [
            headers::SERVICE,
            headers::TENANT,
            headers::DEADLINE_MS,
            headers::HOPS,
            headers::REGIONS,
        ] {
            headers.remove(name);
        }
    }

    fn prepare_for_backend(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>) {
        dispatch.context.write_headers(headers, dispatch.time_left);
    }

    fn classify_response(&self, _id: Option<&HeaderValue>, head: &Parts) -> ResponseClass {
        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let not_run = head.headers.get(headers::BACKEND_NOT_RUN);
        if refused && not_run.is_some_and(|not_run| not_run == "1") {
            ResponseClass::Shed
        } else {
            ResponseClass::Answered
        }
    }

    fn signals(&self, headers: &HeaderMap) -> Vec<Signal> {
        let boot = headers.get(headers::BACKEND_BOOT);
        let boot = boot.map(|boot| Signal::Boot(xxh3_64(boot.as_bytes())));
        let state = headers.get(headers::BACKEND_STATE);
        let state = state.and_then(|state| parse_state_signal(state.as_bytes()));
        boot.into_iter().chain(state).collect()
    }

    fn read_health(&self, head: &Parts) -> HealthReport {
        HealthReport {
            healthy: head.status.is_success(),
            signals: self.signals(&head.headers),
            ..HealthReport::default()
        }
    }

    fn strip_internal_headers(&self, headers: &mut HeaderMap) {
        for own in [headers::OUTCOME, headers::REASON, headers::SERVE_AT] {
            headers.remove(own);
        }
    }

    fn not_run_response(&self, refusal: &Refusal<'_>) -> Response<Body> {
        refusal::not_run(refusal)
    }

    fn unknown_outcome_response(&self, unknown: UnknownOutcome) -> Response<Body> {
        refusal::unknown(unknown)
    }
}

/// Parses the state that a backend server reports of itself.
pub(crate) fn parse_state_signal(word: &[u8]) -> Option<Signal> {
    match word {
        b"cold" => Some(Signal::Cold),
        b"serving" => Some(Signal::Serving),
        b"draining" => Some(Signal::Draining),
        _ => None,
    }
}
