//! The product's own headers, as docs/CALLS.md describes them.

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::call::{Body, Context, Reason, UnknownOutcome};
use crate::gate::Sign;
use crate::headers;

use super::{Dialect, Health, Order, Refusal, Verdict, refusal};

/// The product's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    /// The product follows calls by their traces.
    fn request_id(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn context(&self, headers: &HeaderMap) -> Result<Context, Reason> {
        Context::from_headers(headers)
    }

    fn forward(&self, headers: &mut HeaderMap, _caller: &str) {
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

    fn dispatch(&self, headers: &mut HeaderMap, order: &Order<'_>) {
        order.context.write_headers(headers, order.time_left);
    }

    fn verdict(&self, _id: Option<&HeaderValue>, head: &Parts) -> Verdict {
        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let said = head.headers.get(headers::BACKEND_NOT_RUN);
        if refused && said.is_some_and(|said| said == "1") {
            Verdict::Shed
        } else {
            Verdict::Answered
        }
    }

    fn signs(&self, headers: &HeaderMap) -> Vec<Sign> {
        let boot = headers.get(headers::BACKEND_BOOT);
        let boot = boot.map(|boot| Sign::Boot(xxh3_64(boot.as_bytes())));
        let state = headers.get(headers::BACKEND_STATE);
        let state = state.and_then(|state| state_sign(state.as_bytes()));
        boot.into_iter().chain(state).collect()
    }

    fn health(&self, head: &Parts) -> Health {
        Health {
            healthy: head.status.is_success(),
            signs: self.signs(&head.headers),
            ..Health::default()
        }
    }

    fn strip(&self, headers: &mut HeaderMap) {
        for own in [headers::OUTCOME, headers::REASON, headers::SERVE_AT] {
            headers.remove(own);
        }
    }

    fn not_run(&self, refusal: &Refusal<'_>) -> Response<Body> {
        refusal::not_run(refusal)
    }

    fn unknown(&self, unknown: UnknownOutcome) -> Response<Body> {
        refusal::unknown(unknown)
    }
}

/// The sign in a backend server's word for its own state.
pub(crate) fn state_sign(word: &[u8]) -> Option<Sign> {
    match word {
        b"cold" => Some(Sign::Cold),
        b"serving" => Some(Sign::Serving),
        b"draining" => Some(Sign::Draining),
        _ => None,
    }
}
