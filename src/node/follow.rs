//! Passes plan and view on to router and gate.

use std::sync::{Arc, Mutex, PoisonError};

use crate::call::Admission;
use crate::clock::Clock;
use crate::membership::{ClusterSnapshot, Handle};
use crate::plan::{Plan, Version};
use crate::routing::Router;
use crate::telemetry::log::Identity;

/// Puts a plan in force at the gate.
pub type Configure = Box<dyn Fn(&Plan) + Send + Sync>;

/// Follows the snapshot.
pub struct Follower {
    pub handle: Handle,
    pub router: Arc<Mutex<Router>>,
    pub admission: Arc<Admission>,
    pub clock: Clock,
    pub configure: Configure,
    pub zone: String,
    pub identity: Identity,
}

impl Follower {
    /// Follows until dropped.
    pub async fn run(mut self) {
        let mut followed = Followed::default();
        loop {
            let snapshot = self.handle.snapshot();
            self.update_router(&snapshot);
            if snapshot.plan.version > followed.version {
                followed = self.take_up(&snapshot.plan, followed);
            }
            self.handle.changed().await;
        }
    }

    fn update_router(&self, snapshot: &ClusterSnapshot) {
        let now = self.clock.now();
        let mut router = self.router.lock().unwrap_or_else(PoisonError::into_inner);
        router.update(now, snapshot);
    }

    fn take_up(&self, plan: &Plan, before: Followed) -> Followed {
        self.identity.set_plan(plan.version);
        let in_service = is_in_service(plan, &self.zone);
        (self.configure)(plan);
        self.admission.set_zone_in_service(in_service);
        log::info!("plan {} in force", plan.version);
        if before.in_service != Some(in_service) {
            let state = if in_service { "in" } else { "out of" };
            log::info!("availability zone {} is {state} service", self.zone);
        }
        Followed {
            version: plan.version,
            in_service: Some(in_service),
        }
    }
}

/// What was passed on last.
#[derive(Clone, Copy, Default)]
struct Followed {
    version: Version,
    in_service: Option<bool>,
}

/// A zone that the plan does not list takes no work.
fn is_in_service(plan: &Plan, zone: &str) -> bool {
    let key = plan.zone_names.get(zone);
    key.is_some_and(|&key| plan.zone(key).in_service)
}
