//! What the plan in force says of a call at the gate.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{Executor, Job};
use crate::call::{Context, Reason, hop, region_names};
use crate::gate::{CallClass, TenantId};
use crate::membership::ClusterSnapshot;
use crate::plan::{Plan, Regions, Unauthenticated, Version, key};

/// What the plan says of a call.
#[derive(Clone, Debug)]
pub(super) struct Rule {
    pub(super) snapshot: Arc<ClusterSnapshot>,
    pub(super) route: key::Route,
    /// Tenant by the plan of this gate.
    pub(super) tenant: Option<String>,
    pub(super) worth: u32,
    pub(super) deadline: Duration,
    pub(super) idempotent: bool,
    pub(super) regions: Option<Vec<String>>,
}

impl Rule {
    /// Tenant with which the call shares its turn, whatever the plan.
    pub(super) fn tenant_id(&self) -> Option<TenantId> {
        let has_keys = self.snapshot.plan.api_keys.is_some();
        let tenant = self.tenant.as_ref().filter(|_| has_keys)?;
        Some(TenantId(xxh3_64(tenant.as_bytes())))
    }

    /// Calls of one route run for a like time, whatever the plan.
    pub(super) fn kind(&self) -> CallClass {
        let route = self.snapshot.plan.route(self.route);
        if route.terms.objective.is_none() {
            return CallClass::UNKNOWN;
        }
        CallClass(xxh3_64(route.name.as_bytes()))
    }
}

impl Executor {
    /// The plan may have changed while the call was queued.
    pub(super) fn rule_after_queue(&self, job: &Job, rule: Rule) -> Result<Rule, Reason> {
        if self.plan() == rule.snapshot.plan.version {
            return Ok(rule);
        }
        self.rule(job)
    }

    pub(super) fn rule(&self, job: &Job) -> Result<Rule, Reason> {
        let snapshot = self.snapshot_source.snapshot();
        let plan = &snapshot.plan;
        if plan.version == Version::default() {
            return Err(Reason::NoPlan);
        }
        self.rule_by(&snapshot, job)
            .map_err(|reason| refusal_between(job.plan, plan.version, reason))
    }

    fn rule_by(&self, snapshot: &Arc<ClusterSnapshot>, job: &Job) -> Result<Rule, Reason> {
        let plan = &snapshot.plan;
        let server = self.server.get().ok_or(Reason::Unreachable)?;
        if job.service != server.service {
            return Err(Reason::NoBackendServer);
        }
        if self.is_closed() {
            return Err(Reason::Draining);
        }
        let service = plan.service_names.get(&job.service);
        let &service = service.ok_or(Reason::UnknownService)?;
        let host = hop::host(&job.headers);
        let route = plan.find(service, host, &job.method, job.path.path());
        let key = route.ok_or(Reason::UnknownRoute)?;
        let tenant = find_tenant(plan, key, &job.context)?;
        let home = plan.home_regions(key, tenant);
        let allowed = home.intersection(job.context.allowed_regions(plan));
        if !contains_region(plan, allowed, &self.location.region) {
            return Err(Reason::Region);
        }
        let route = plan.route(key);
        Ok(Rule {
            snapshot: Arc::clone(snapshot),
            route: key,
            tenant: tenant.map(|tenant| plan.tenant(tenant).name.clone()),
            worth: plan.worth(key, tenant),
            deadline: route.deadline,
            idempotent: route.is_idempotent(&job.method),
            regions: region_names(plan, allowed),
        })
    }
}

/// Reason of a refusal by a gate with plan `own` of a call under the entry's plan.
///
/// What one of them does not know yet is no fault of the call.
fn refusal_between(entry: Version, own: Version, reason: Reason) -> Reason {
    let depends_on_plan = matches!(
        reason,
        Reason::UnknownRoute
            | Reason::UnknownService
            | Reason::UnknownTenant
            | Reason::Unauthenticated
            | Reason::Region
    );
    let is_stale = entry < own && reason != Reason::Malformed;
    if is_stale || (entry > own && depends_on_plan) {
        Reason::StalePlan
    } else {
        reason
    }
}

/// The tenant of a call: that of its API key in a plan with keys, otherwise the one it names.
///
/// # Errors
///
/// Refuses a call without a known key where one is needed, and a name that the plan does not know,
/// since its regions are unknown.
pub(crate) fn find_tenant(
    plan: &Plan,
    route: key::Route,
    context: &Context,
) -> Result<Option<key::Tenant>, Reason> {
    if plan.api_keys.is_some() {
        let tenant = plan.authenticate(route, context.api_key.as_ref());
        return tenant.map_err(|Unauthenticated| Reason::Unauthenticated);
    }
    let Some(name) = &context.tenant else {
        return Ok(None);
    };
    let tenant = plan.tenant_names.get(name);
    tenant.copied().map(Some).ok_or(Reason::UnknownTenant)
}

/// Whether `allowed` holds the region of that name.
pub(crate) fn contains_region(plan: &Plan, allowed: Regions, name: &str) -> bool {
    match plan.region_names.get(name) {
        Some(&region) => allowed.contains(region),
        None => allowed == Regions::ALL,
    }
}
