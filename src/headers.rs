//! Names of HTTP headers read and written by nodes.

use http::HeaderName;

/// Service of the call, when the `Host` header cannot name it.
pub const SERVICE: HeaderName = HeaderName::from_static("monsooncove-service");
/// Tenant on whose behalf a call is made.
pub const TENANT: HeaderName = HeaderName::from_static("monsooncove-tenant");
/// Time left for the call, in whole milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("monsooncove-deadline-ms");
/// Number of nodes that this call and the calls that caused it have entered.
pub const HOPS: HeaderName = HeaderName::from_static("monsooncove-hops");
/// Comma-separated regions that the call and the calls it causes must stay in.
pub const REGIONS: HeaderName = HeaderName::from_static("monsooncove-regions");
/// On refusals: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("monsooncove-outcome");
/// On refusals: the reason, as in docs/CALLS.md.
pub const REASON: HeaderName = HeaderName::from_static("monsooncove-reason");
/// On refusals outside the home regions: comma-separated addresses to use.
pub const SERVE_AT: HeaderName = HeaderName::from_static("monsooncove-serve-at");
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// From a backend server: boot ID, different for every start of its process.
pub const BACKEND_BOOT: HeaderName = HeaderName::from_static("backend-boot");
/// From a backend server: `cold`, `serving` or `draining`.
pub const BACKEND_STATE: HeaderName = HeaderName::from_static("backend-state");
/// From a backend server that refused a call: the call was not run.
pub const BACKEND_NOT_RUN: HeaderName = HeaderName::from_static("backend-not-run");
