//! Answers of the entry itself. docs/CALLS.md lists them.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::call::{Body, Loss, Reason, UnknownOutcome};
use crate::headers;

use super::Refusal;

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

#[derive(Debug)]
#[derive(Serialize)]
struct Explanation {
    outcome: &'static str,
    reason: &'static str,
    remedy: &'static str,
}

/// Answer to a call that certainly did not run.
pub(super) fn not_run(refusal: &Refusal<'_>) -> Response<Body> {
    let reason = refusal.reason;
    let explanation = Explanation {
        outcome: NOT_RUN,
        reason: reason.as_str(),
        remedy: remedy(reason),
    };
    let mut response = answer(status(reason), &explanation);
    if may_help_later(reason) {
        let seconds = HeaderValue::from(whole_seconds(refusal.retry_after));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    if let Ok(value) = HeaderValue::from_str(refusal.addresses)
        && !refusal.addresses.is_empty()
    {
        response.headers_mut().insert(headers::SERVE_AT, value);
    }
    response
}

/// Answer to a call that may have run.
pub(super) fn unknown(unknown: UnknownOutcome) -> Response<Body> {
    let loss = unknown.loss();
    let status = match loss {
        Loss::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Loss::BackendServer | Loss::Link | Loss::Request | Loss::Claim => StatusCode::BAD_GATEWAY,
    };
    let explanation = Explanation {
        outcome: UNKNOWN,
        reason: loss.as_str(),
        remedy: "the call may have run; send it again only if it may run twice",
    };
    answer(status, &explanation)
}

/// The header takes whole seconds only (RFC 9110, 10.2.3).
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u64::MAX)
}

fn answer(status: StatusCode, explanation: &Explanation) -> Response<Body> {
    let text = serde_json::to_vec(explanation).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let fields = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    fields.insert(CONTENT_TYPE, json);
    let outcome = HeaderValue::from_static(explanation.outcome);
    fields.insert(headers::OUTCOME, outcome);
    let reason = HeaderValue::from_static(explanation.reason);
    fields.insert(headers::REASON, reason);
    response
}

const fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Region => StatusCode::MISDIRECTED_REQUEST,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::UnknownService | Reason::UnknownRoute | Reason::UnknownTenant => {
            StatusCode::NOT_FOUND
        }
        Reason::TooManyHops => StatusCode::LOOP_DETECTED,
        Reason::Malformed => StatusCode::BAD_REQUEST,
        Reason::Duplicate => StatusCode::CONFLICT,
        Reason::Overloaded
        | Reason::ZoneOut
        | Reason::Draining
        | Reason::StalePlan
        | Reason::Unreachable
        | Reason::Shed
        | Reason::Recalled
        | Reason::NoBackendServer
        | Reason::NoPlan
        | Reason::LateTurn
        | Reason::Starting => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn may_help_later(reason: Reason) -> bool {
    matches!(status(reason), StatusCode::SERVICE_UNAVAILABLE)
}

const fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::Overloaded | Reason::Shed | Reason::Recalled | Reason::LateTurn => {
            "every backend server tried is full; send it again later"
        }
        Reason::Deadline => "the time left is too short; allow the call more time",
        Reason::ZoneOut | Reason::Draining => {
            "the backend servers tried are leaving; send it again"
        }
        Reason::StalePlan | Reason::NoPlan => "the node is still learning the plan; send it again",
        Reason::Region => {
            "this region may not serve the call; use an address in Monsooncove-Serve-At"
        }
        Reason::Unreachable => "the backend servers tried take no connection; send it again later",
        Reason::NoBackendServer => "no backend server may serve the call now; send it again later",
        Reason::UnknownService => "name a service of the plan in Host or Monsooncove-Service",
        Reason::UnknownRoute => "no route of the service covers method and path",
        Reason::UnknownTenant => "name a tenant of the plan in Monsooncove-Tenant",
        Reason::TooManyHops => "the services call each other in a loop; end it",
        Reason::Malformed => "the request or a Monsooncove header is malformed; see docs/CALLS.md",
        Reason::Starting => "the node has just started; send it through another, or again later",
        Reason::Duplicate => "a call with this Idempotency-Key runs or has run; read its result",
    }
}
