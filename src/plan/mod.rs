//! The routing plan in force, compiled from the operators' sheet.
//!
//! A [`Plan`] is immutable. A node holds the newest one it has seen and never
//! goes back to an older [`Version`]. Lookups by name happen once per call, at
//! the edge; everything after works with the `Copy` keys of [`key`].

mod api_key;
pub mod key;
pub mod path;
mod regions;
mod rollout;
mod terms;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

pub use api_key::KeyDigest;
pub use regions::Regions;
pub use rollout::Rollout;
pub use terms::{Limits, RateLimit, Target, Terms, Upkeep};

/// Largest worth of a route, as the sheet allows it.
const ROUTE_WORTH_MAX: u32 = 1_000_000;
/// Priorities of tenants that are told apart.
const TENANT_RANKS: u32 = 1_000;

/// A call without a known API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthenticated;

/// Number of an accepted sheet; each acceptance adds one. Zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Everything an accepted sheet states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Version of the sheet.
    pub version: Version,
    /// Arena of [`key::Region`].
    pub regions: Vec<Region>,
    /// Arena of [`key::Zone`].
    pub zones: Vec<Zone>,
    /// Arena of [`key::Service`].
    pub services: Vec<Service>,
    /// Arena of [`key::Tenant`].
    pub tenants: Vec<Tenant>,
    /// Arena of [`key::Route`].
    pub routes: Vec<Route>,
    /// Region keys by name.
    pub region_names: BTreeMap<String, key::Region>,
    /// Availability zone keys by name.
    pub zone_names: BTreeMap<String, key::Zone>,
    /// Service keys by name.
    pub service_names: BTreeMap<String, key::Service>,
    /// Tenant keys by name.
    pub tenant_names: BTreeMap<String, key::Tenant>,
    /// Routes by host in lower case, longest path first. Where there are any, they alone
    /// decide which route a request takes.
    pub hosts: BTreeMap<String, Vec<key::Route>>,
    /// Bounds on callers, where the plan states them.
    pub limits: Option<Limits>,
    /// Orders to move a service to another version, by service.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Tenants by the digest of their API keys. Where there are any, calls of routes that are not
    /// open need a key; `None` if the plan knows no keys.
    pub api_keys: Option<BTreeMap<KeyDigest, key::Tenant>>,
}

/// A region: availability zones joined by fast links.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Name in the sheet.
    pub name: String,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name in the sheet.
    pub name: String,
    /// Region the zone lies in.
    pub region: key::Region,
    /// Whether the zone takes new work.
    pub in_service: bool,
}

/// A service and how its backend servers start.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name in the sheet, and in the `Host` header of callers.
    pub name: String,
    /// Concurrent calls one backend server can hold at most.
    pub slots: u32,
    /// How much work a fresh backend server may take.
    pub cold: Cold,
    /// Routes of the service, longest path first.
    pub routes: Vec<key::Route>,
    /// How its backend servers are looked after.
    pub upkeep: Upkeep,
}

/// How much work a backend server may take while it warms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    /// Concurrent calls during cold start.
    pub allowance: u32,
    /// Steps from the allowance up to the slots.
    pub steps: u32,
    /// Time of good answers after which the next step is taken.
    pub step_time: Duration,
}

/// A tenant and the regions that may serve and store its calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Name in the sheet, and in the `Monsooncove-Tenant` header of callers.
    pub name: String,
    /// Home regions.
    pub regions: Regions,
    /// Rank of its calls before that of their routes; 0 comes first.
    pub priority: Option<u32>,
    /// Calls a second that all nodes together may run for it.
    pub rate_limit: Option<RateLimit>,
}

/// A kind of request of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the sheet, used in metrics.
    pub name: String,
    /// Service the route belongs to.
    pub service: key::Service,
    /// Method the route matches; every method when absent.
    pub method: Option<Method>,
    /// Path prefix the route matches, in whole segments.
    pub path: String,
    /// Home regions.
    pub regions: Regions,
    /// Stated worth of one answered call.
    pub worth: u32,
    /// Whether the call may run more than once; by method when absent.
    pub idempotent: Option<bool>,
    /// Longest time a call may take.
    pub deadline: Duration,
    /// Whether a second copy of an idempotent call may run.
    pub second_copy: bool,
    /// How far a call may go.
    pub terms: Terms,
}

impl Plan {
    /// The region of `key`.
    #[must_use]
    pub fn region(&self, key: key::Region) -> &Region {
        &self.regions[key.index()]
    }

    /// The availability zone of `key`.
    #[must_use]
    pub fn zone(&self, key: key::Zone) -> &Zone {
        &self.zones[key.index()]
    }

    /// The service of `key`.
    #[must_use]
    pub fn service(&self, key: key::Service) -> &Service {
        &self.services[key.index()]
    }

    /// The tenant of `key`.
    #[must_use]
    pub fn tenant(&self, key: key::Tenant) -> &Tenant {
        &self.tenants[key.index()]
    }

    /// The route of `key`.
    #[must_use]
    pub fn route(&self, key: key::Route) -> &Route {
        &self.routes[key.index()]
    }

    /// Most specific route of `service` that matches `method` and `path`.
    #[must_use]
    pub fn find_route(
        &self,
        service: key::Service,
        method: &Method,
        path: &str,
    ) -> Option<key::Route> {
        let path = path::normal(path);
        let routes = &self.service(service).routes;
        routes
            .iter()
            .copied()
            .find(|&key| self.route(key).matches(method, &path))
    }

    /// The route that a request for `service` takes.
    #[must_use]
    pub fn find(
        &self,
        service: key::Service,
        host: Option<&str>,
        method: &Method,
        path: &str,
    ) -> Option<key::Route> {
        if self.hosts.is_empty() {
            return self.find_route(service, method, path);
        }
        let found = self.find_hosted(host?, path)?;
        self.route(found).leads_to(service).then_some(found)
    }

    /// Most specific route of `host` for `path`. A host has no case (RFC 9110, 4.2.3).
    #[must_use]
    pub fn find_hosted(&self, host: &str, path: &str) -> Option<key::Route> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let covers = |key: &key::Route| path.starts_with(&self.route(*key).path);
        routes.iter().copied().find(covers)
    }

    /// Tenant of a call of `route` with this API key, in a plan with keys.
    ///
    /// # Errors
    ///
    /// Refuses a call without a known key, unless the route is open.
    pub fn authenticate(
        &self,
        route: key::Route,
        api_key: Option<&KeyDigest>,
    ) -> Result<Option<key::Tenant>, Unauthenticated> {
        let keys = self.api_keys.as_ref();
        let tenant = keys
            .zip(api_key)
            .and_then(|(keys, api_key)| keys.get(api_key));
        if tenant.is_none() && !self.route(route).terms.open {
            return Err(Unauthenticated);
        }
        Ok(tenant.copied())
    }

    /// Whether any tenant has a rate limit.
    #[must_use]
    pub fn has_rate_limits(&self) -> bool {
        self.tenants
            .iter()
            .any(|tenant| tenant.rate_limit.is_some())
    }

    /// Worth of a call against others: first by the priority of its tenant, then by its route.
    /// A call of no tenant belongs to another call, which has had its turn.
    #[must_use]
    pub fn worth(&self, route: key::Route, tenant: Option<key::Tenant>) -> u32 {
        let by_route = self.route(route).worth;
        if self.api_keys.is_none() {
            return by_route;
        }
        let priority = tenant.map_or(Some(0), |key| self.tenant(key).priority);
        let rank = priority.map_or(TENANT_RANKS, |priority| priority.min(TENANT_RANKS));
        by_route.min(ROUTE_WORTH_MAX) + (TENANT_RANKS - rank) * (ROUTE_WORTH_MAX + 1)
    }

    /// Regions that may serve and store a call of `route` for `tenant`.
    #[must_use]
    pub fn home_regions(&self, route: key::Route, tenant: Option<key::Tenant>) -> Regions {
        let by_route = self.route(route).regions;
        tenant.map_or(by_route, |key| {
            by_route.intersection(self.tenant(key).regions)
        })
    }
}

impl Route {
    /// Whether the route covers a request for a path in normal form.
    #[must_use]
    pub fn matches(&self, method: &Method, path: &str) -> bool {
        let method_matches = self.method.as_ref().is_none_or(|own| own == method);
        method_matches && has_segments(path, &self.path)
    }

    /// Whether calls of the route may go to `service`.
    #[must_use]
    pub fn leads_to(&self, service: key::Service) -> bool {
        if self.terms.targets.is_empty() {
            return self.service == service;
        }
        let mut targets = self.terms.targets.iter();
        targets.any(|target| target.service == service)
    }

    /// Whether a call of this route may run more than once (RFC 9110, 9.2.2).
    #[must_use]
    pub fn is_idempotent(&self, method: &Method) -> bool {
        self.idempotent.unwrap_or_else(|| method.is_idempotent())
    }
}

fn has_segments(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.as_bytes().get(prefix.len()) {
        None => path == prefix,
        Some(b'/') => path.starts_with(prefix),
        Some(_) => false,
    }
}
