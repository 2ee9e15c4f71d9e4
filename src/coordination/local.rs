//! What one node knows of itself and of the directives in force.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::Directives;
use crate::clock::Time;
use crate::plan::{Plan, RateLimit};
use crate::quota::{Meter, Standing, TenantUsage};
use crate::rollout::{Directive, Evidence, VersionReport};

/// Age from which a directive no longer closes a gate, unless its roll-out has ended.
const CLOSE_LIFETIME: Duration = Duration::from_secs(2);

/// State of one node, shared by its data path and its reports.
#[derive(Debug, Default)]
pub struct Local {
    /// Whether answers are counted; read for every call.
    is_recording: AtomicBool,
    inner: Mutex<Inner>,
    meter: Mutex<Meter>,
    /// Notified when a report should not wait.
    is_overdue: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    service: String,
    version: String,
    evidence: Evidence,
    directives: BTreeMap<String, (Directive, Time)>,
}

impl Local {
    /// Sets service and version of the backend server.
    pub fn set_backend_server(&self, service: &str, version: &str) {
        let mut inner = self.lock();
        service.clone_into(&mut inner.service);
        version.clone_into(&mut inner.version);
    }

    /// Takes in the orders of the plan in force.
    pub fn set_plan(&self, now: Time, plan: &Plan) {
        let mut inner = self.lock();
        let Inner {
            service,
            version,
            evidence,
            directives,
        } = &mut *inner;
        let order = plan.rollouts.get(service.as_str());
        evidence.set_order(now, order, version);
        directives.retain(|service, (directive, _)| {
            let order = plan.rollouts.get(service);
            order.is_some_and(|order| order.target_version == directive.target_version)
        });
        self.is_recording.store(order.is_some(), Ordering::Relaxed);
    }

    /// Records an answer of the backend server.
    pub fn record(&self, route: &str, failed: bool, time: Duration, is_cold: bool) {
        if self.is_recording.load(Ordering::Relaxed) {
            self.lock().evidence.record(route, failed, time, is_cold);
        }
    }

    /// What is reported of the backend server, while its service is rolled out.
    #[must_use]
    pub fn version_report(
        &self,
        now: Time,
        accepting: bool,
        in_hand: u32,
    ) -> Option<VersionReport> {
        self.lock().evidence.report(now, accepting, in_hand)
    }

    /// Admits a call of a tenant with a rate limit, in a fleet of `nodes`.
    ///
    /// # Errors
    ///
    /// Returns the time after which a call is likely to be admitted.
    pub fn admit(
        &self,
        now: Time,
        tenant: &str,
        limit: RateLimit,
        nodes: usize,
    ) -> Result<(), Duration> {
        let mut meter = self.meter();
        let admitted = meter.admit(now, tenant, limit, nodes);
        if meter.is_report_overdue(now, tenant) {
            self.is_overdue.notify_one();
        }
        admitted
    }

    /// Takes back an admission: the call did not run.
    pub fn refund(&self, tenant: &str) {
        self.meter().refund(tenant);
    }

    /// Calls of tenants since the last report that was replied to, and the time in which they came.
    pub fn take_usage(&self, now: Time) -> (Vec<TenantUsage>, Duration) {
        self.meter().take_usage(now)
    }

    /// What the coordinator told last of tenants beyond their rate limit.
    #[must_use]
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        self.meter().standings(now)
    }

    /// Waits until a report should not wait any longer.
    pub async fn report_overdue(&self) {
        self.is_overdue.notified().await;
    }

    /// Takes in directives.
    pub fn on_directives(&self, now: Time, directives: &Directives) {
        self.meter().on_reply(now, &directives.restrictions);
        let mut inner = self.lock();
        for directive in &directives.rollouts {
            let known = inner.directives.get(&directive.service);
            let is_final = known.is_some_and(|(known, _)| {
                known.target_version == directive.target_version && known.phase.is_final()
            });
            if !is_final || directive.phase.is_final() {
                let held = (directive.clone(), now);
                inner.directives.insert(directive.service.clone(), held);
            }
        }
    }

    /// Whether a coordinator asks for reports at short intervals.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let inner = self.lock();
        let mut directives = inner.directives.values();
        directives.any(|(directive, _)| directive.is_urgent)
    }

    /// Whether the backend server takes no calls because of a roll-out.
    #[must_use]
    pub fn is_closed(&self, now: Time) -> bool {
        if !self.is_recording.load(Ordering::Relaxed) {
            return false;
        }
        let inner = self.lock();
        let Some((directive, heard_at)) = inner.directives.get(&inner.service) else {
            return false;
        };
        let is_current = directive.phase.is_final() || now.since(*heard_at) < CLOSE_LIFETIME;
        is_current && !inner.version.is_empty() && directive.excludes(&inner.version)
    }

    fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Every change leaves the state valid, so a panic elsewhere does too.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
