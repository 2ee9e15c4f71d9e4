//! Checks the head of a request against the plan, before the body is read.
//!
//! Input is the head; the result is a [`Routable`] request or a [`Rejection`]. The checks cover
//! malformed heads, service, route, tenant and home regions. [`Routable::refresh`] repeats the
//! checks against a newer plan before a retry.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts as Head;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, header};

use crate::backend::{contains_region, find_tenant};
use crate::call::{Context, Reason, Trace, hop, region_names};
use crate::clock::Time;
use crate::dialect::Dialect;
use crate::headers;
use crate::membership::{ClusterSnapshot, State};
use crate::plan::{KeyDigest, Plan, Regions, Version, key};

use super::Entry;

/// Largest number of addresses given to a caller outside the home regions.
const MAX_ALTERNATIVE_ADDRESSES: usize = 3;

/// A checked request that this entry may forward.
#[derive(Debug)]
pub(super) struct Routable {
    pub(super) snapshot: Arc<ClusterSnapshot>,
    pub(super) service: key::Service,
    pub(super) route: key::Route,
    pub(super) tenant: Option<key::Tenant>,
    pub(super) allowed_regions: Regions,
    pub(super) context: Context,
    pub(super) time_left: Duration,
    /// When the response time objective ends, if the route has one. A later response has less
    /// worth.
    pub(super) objective_deadline: Option<Time>,
    pub(super) idempotent: bool,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    pub(super) expects_continue: bool,
    pub(super) trace: Trace,
}

/// Refusal of a request that failed a check.
#[derive(Debug)]
pub(super) struct Rejection {
    pub(super) reason: Reason,
    /// Addresses of nodes in the home regions, separated by commas; may be empty.
    pub(super) addresses: String,
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            addresses: String::new(),
        }
    }
}

impl Routable {
    /// Checks the head of a request against the plan in force.
    pub(super) fn check(entry: &Entry, head: Head) -> Result<Self, Rejection> {
        let parts = &entry.parts;
        validate_head(&head)?;
        let context = parts.dialect.context(&head.headers)?;
        let snapshot = parts.snapshot_source.snapshot();
        let plan = &snapshot.plan;
        if plan.version == Version::default() {
            return Err(Reason::NoPlan.into());
        }
        let api_key = plan.api_keys.as_ref();
        let api_key = api_key.and_then(|_| parts.dialect.api_key(&head.headers));
        let context = Context {
            api_key: api_key.map(KeyDigest::of),
            ..context
        };
        let path = parse_path(&head)?;
        let host = requested_host(&head);
        let query = RouteQuery {
            method: &head.method,
            host,
            path: path.path(),
            context: &context,
        };
        let named = if plan.hosts.is_empty() {
            Some(find_service(plan, &head, &parts.service)?)
        } else {
            None
        };
        let route_match = query.resolve(&snapshot, entry, named)?;
        let RouteMatch {
            service,
            route,
            tenant,
            allowed_regions,
        } = route_match;
        let trace = Trace::from_headers(&head.headers, &parts.ids);
        let spec = plan.route(route);
        let time_left = context
            .time_left
            .map_or(spec.deadline, |left| left.min(spec.deadline));
        let now = parts.clock.now();
        let age = context
            .time_left
            .map_or(Duration::ZERO, |left| entry.call_age(now, &spec.name, left));
        let elapsed = parts.settings.caller_transit_time + age;
        let to_deadline = |objective: Duration| now + objective.saturating_sub(elapsed);
        let objective_deadline = spec.terms.objective.map(to_deadline);
        let idempotent = spec.is_idempotent(&head.method);
        let context = Context {
            regions: region_names(plan, allowed_regions),
            tenant: tenant.map(|key| plan.tenant(key).name.clone()),
            ..context
        };
        let expects_continue = head.headers.contains_key(header::EXPECT);
        let has_keys = plan.api_keys.is_some();
        Ok(Self {
            service,
            route,
            tenant,
            allowed_regions,
            context,
            time_left,
            objective_deadline,
            idempotent,
            method: head.method.clone(),
            path,
            expects_continue,
            trace,
            headers: forwarded_headers(head, parts.dialect.as_ref(), &parts.service, has_keys),
            snapshot,
        })
    }

    /// Checks the call against the current plan, before another attempt.
    pub(super) fn refresh(&mut self, entry: &Entry) -> Result<(), Rejection> {
        let snapshot = entry.parts.snapshot_source.snapshot();
        if snapshot.plan.version == self.snapshot.plan.version {
            return Ok(());
        }
        let plan = &snapshot.plan;
        let preferred_service = plan.service_names.get(self.service_name()).copied();
        if preferred_service.is_none() && plan.hosts.is_empty() {
            return Err(Reason::UnknownService.into());
        }
        let query = RouteQuery {
            method: &self.method,
            host: hop::host(&self.headers),
            path: self.path.path(),
            context: &self.context,
        };
        let RouteMatch {
            service,
            route,
            tenant,
            allowed_regions,
        } = query.resolve(&snapshot, entry, preferred_service)?;
        self.context.regions = region_names(plan, allowed_regions);
        self.context.tenant = tenant.map(|key| plan.tenant(key).name.clone());
        self.tenant = tenant;
        self.service = service;
        self.route = route;
        self.allowed_regions = allowed_regions;
        self.idempotent = plan.route(route).is_idempotent(&self.method);
        self.snapshot = snapshot;
        Ok(())
    }

    /// Name of the service that the call is for.
    pub(super) fn service_name(&self) -> &str {
        &self.snapshot.plan.service(self.service).name
    }

    /// Largest number of backend servers that the call may reach, if the route sets one.
    pub(super) fn attempts(&self) -> Option<u32> {
        self.snapshot.plan.route(self.route).terms.attempts
    }

    /// Response time objective of the route, if it has one.
    pub(super) fn objective(&self) -> Option<Duration> {
        self.snapshot.plan.route(self.route).terms.objective
    }

    /// Time left until the objective; zero if the route has none.
    ///
    /// Once the objective has passed, the result is the shortest time greater than zero, 1 µs. A
    /// gate then runs the call if a slot is free, but does not queue it.
    pub(super) fn objective_left(&self, now: Time) -> Duration {
        let left = |objective: Time| objective.since(now).max(Duration::from_micros(1));
        self.objective_deadline.map_or(Duration::ZERO, left)
    }

    /// Worth of a response, as the plan states it.
    pub(super) fn worth(&self) -> u32 {
        self.snapshot.plan.worth(self.route, self.tenant)
    }
}

/// Whether a request with this head may run more than once, by the plan in force.
pub(super) fn is_idempotent(entry: &Entry, head: &Head) -> bool {
    let snapshot = entry.parts.snapshot_source.snapshot();
    let plan = &snapshot.plan;
    let path = head.uri.path();
    let route = if plan.hosts.is_empty() {
        let service = find_service(plan, head, &entry.parts.service).ok();
        service.and_then(|service| plan.find_route(service, &head.method, path))
    } else {
        requested_host(head).and_then(|host| plan.find_hosted(host, path))
    };
    route.is_some_and(|key| plan.route(key).is_idempotent(&head.method))
}

/// Parts of a request that determine its route.
struct RouteQuery<'a> {
    method: &'a Method,
    host: Option<&'a str>,
    path: &'a str,
    context: &'a Context,
}

/// Result of looking up a [`RouteQuery`] in the plan.
struct RouteMatch {
    service: key::Service,
    route: key::Route,
    tenant: Option<key::Tenant>,
    allowed_regions: Regions,
}

impl RouteQuery<'_> {
    /// Finds the route, a service of that route, and the regions that may serve the request.
    ///
    /// Chooses `preferred_service` if the route leads to it. Refuses the request if the region of
    /// this node is not allowed, unless the entry forwards to home regions.
    fn resolve(
        &self,
        snapshot: &ClusterSnapshot,
        entry: &Entry,
        preferred_service: Option<key::Service>,
    ) -> Result<RouteMatch, Rejection> {
        let plan = &snapshot.plan;
        let (route, service) = self.route(plan, entry, preferred_service)?;
        let tenant = find_tenant(plan, route, self.context)?;
        let home = plan.home_regions(route, tenant);
        let allowed_regions = home.intersection(self.context.allowed_regions(plan));
        let at_home = contains_region(plan, allowed_regions, &entry.parts.location.region);
        if at_home || entry.parts.settings.forwards_to_home_region {
            return Ok(RouteMatch {
                service,
                route,
                tenant,
                allowed_regions,
            });
        }
        Err(Rejection {
            reason: Reason::Region,
            addresses: alternative_addresses(snapshot, service, allowed_regions),
        })
    }

    /// Finds the route by host and path, or by service and path in a plan without hosts.
    fn route(
        &self,
        plan: &Plan,
        entry: &Entry,
        preferred_service: Option<key::Service>,
    ) -> Result<(key::Route, key::Service), Reason> {
        if plan.hosts.is_empty() {
            let service = preferred_service.ok_or(Reason::UnknownService)?;
            let route = plan.find_route(service, self.method, self.path);
            return Ok((route.ok_or(Reason::UnknownRoute)?, service));
        }
        let host = self.host.ok_or(Reason::UnknownRoute)?;
        let key = plan.find_hosted(host, self.path);
        let key = key.ok_or(Reason::UnknownRoute)?;
        let route = plan.route(key);
        let preferred = preferred_service.filter(|&service| route.leads_to(service));
        let service = preferred.unwrap_or_else(|| entry.router().pick_target(route));
        Ok((key, service))
    }
}

/// Refuses heads that nodes and backend servers could interpret differently, and `CONNECT`.
fn validate_head(head: &Head) -> Result<(), Reason> {
    let has_several_hosts = head.headers.get_all(header::HOST).iter().count() > 1;
    if has_several_hosts || head.method == Method::CONNECT {
        return Err(Reason::Malformed);
    }
    Ok(())
}

/// Path and query. Refuses dot segments, with which a backend server could resolve the path to
/// another route than the plan does.
fn parse_path(head: &Head) -> Result<PathAndQuery, Reason> {
    let path = head.uri.path_and_query().ok_or(Reason::Malformed)?;
    if path.path().split('/').any(is_dot_segment) {
        return Err(Reason::Malformed);
    }
    Ok(path.clone())
}

fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

/// Service of a request in a plan without hosts: from the service header, else from the host,
/// else `default_service`.
fn find_service(plan: &Plan, head: &Head, default_service: &str) -> Result<key::Service, Reason> {
    let mut named = head.headers.get_all(headers::SERVICE).iter();
    if let Some(value) = named.next() {
        let name = value.to_str().map_err(|_| Reason::Malformed)?;
        if named.next().is_some() {
            return Err(Reason::Malformed);
        }
        let service = plan.service_names.get(name);
        return service.copied().ok_or(Reason::UnknownService);
    }
    let by_host = requested_host(head).and_then(|host| plan.service_names.get(host));
    let service = by_host.or_else(|| plan.service_names.get(default_service));
    service.copied().ok_or(Reason::UnknownService)
}

/// Requested host, without port.
fn requested_host(head: &Head) -> Option<&str> {
    head.uri.host().or_else(|| hop::host(&head.headers))
}

/// Headers for the backend server: without hop-by-hop fields, and with `Host` taken from the
/// request target if that has an authority.
fn forwarded_headers(
    head: Head,
    dialect: &dyn Dialect,
    default_service: &str,
    has_keys: bool,
) -> HeaderMap {
    let authority = head.uri.authority().cloned();
    let mut fields = head.headers;
    hop::strip(&mut fields);
    fields.remove(header::EXPECT);
    if has_keys {
        dialect.strip_credentials(&mut fields);
    }
    dialect.prepare_for_gate(&mut fields, default_service);
    let host = authority.and_then(|authority| HeaderValue::from_str(authority.as_str()).ok());
    if let Some(host) = host {
        fields.insert(header::HOST, host);
    }
    fields
}

/// Caller addresses of instances in `allowed_regions`, those of the service first.
fn alternative_addresses(
    snapshot: &ClusterSnapshot,
    service: key::Service,
    allowed_regions: Regions,
) -> String {
    let plan = &snapshot.plan;
    let name = &plan.service(service).name;
    let mut candidates: Vec<_> = snapshot
        .view
        .iter()
        .filter(|instance| instance.state == State::Present)
        .filter(|instance| {
            let region = plan.region_names.get(&instance.region);
            region.is_some_and(|&region| allowed_regions.contains(region))
        })
        .collect();
    candidates.sort_by_key(|instance| instance.service != *name);
    let addresses: Vec<String> = candidates
        .iter()
        .take(MAX_ALTERNATIVE_ADDRESSES)
        .map(|instance| instance.caller.to_string())
        .collect();
    addresses.join(", ")
}
