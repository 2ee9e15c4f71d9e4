//! Answers reports: joins them to decisions for the fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::record::{Call, Record};
use super::{Directives, Handler, Report, StoreStatus};
use crate::clock::{Clock, Time};
use crate::membership::{ClusterSnapshot, Handle};
use crate::plan::{Plan, Rollout};
use crate::quota::{Counts, Ledger};
use crate::rollout::{self, Controller, Phase, State};

/// Time without any report after which nothing known is current any more.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time between two evaluations of one roll-out. The comparison of all answers costs processor
/// time, and reports come hundreds of times a second.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Settings of what is coordinated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Of roll-outs.
    pub rollout: rollout::Settings,
}

/// Coordinator of the nodes that report to this one.
pub struct Coordinator {
    settings: Settings,
    clock: Clock,
    handle: Handle,
    status: Arc<dyn StoreStatus>,
    state: Arc<Mutex<Joined>>,
}

/// What is known from reports and from the store.
#[derive(Debug, Default)]
struct Joined {
    last_report: Time,
    rollouts: BTreeMap<String, Running>,
    ledger: Ledger,
}

/// One roll-out.
#[derive(Debug)]
struct Running {
    order: Rollout,
    /// `None` until the status in the store is known.
    controller: Option<Controller>,
    record: Record,
    stepped_at: Time,
}

impl fmt::Debug for Coordinator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Coordinator").finish_non_exhaustive()
    }
}

impl Joined {
    /// Drops what is no longer ordered. Another order for a service starts anew.
    fn follow_orders(&mut self, plan: &Plan) {
        self.rollouts
            .retain(|service, running| plan.rollouts.get(service) == Some(&running.order));
        for (service, order) in &plan.rollouts {
            self.rollouts
                .entry(service.clone())
                .or_insert_with(|| Running {
                    order: order.clone(),
                    controller: None,
                    record: Record::default(),
                    stepped_at: Time::ZERO,
                });
        }
    }
}

impl Coordinator {
    /// Creates a coordinator that has heard of nothing.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Clock,
        handle: Handle,
        status: Arc<dyn StoreStatus>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            clock,
            handle,
            status,
            state: Arc::default(),
        })
    }

    fn join(&self, snapshot: &ClusterSnapshot, report: Report) -> Directives {
        let plan = &snapshot.plan;
        let now = self.clock.now();
        let mut joined = lock(&self.state);
        if now.since(joined.last_report) >= SILENCE_LIMIT {
            *joined = Joined::default();
        }
        joined.last_report = now;
        joined.follow_orders(plan);
        if let Some(version) = report.version
            && let Some(running) = joined.rollouts.get_mut(&version.service)
            && let Some(controller) = &mut running.controller
        {
            controller.on_report(now, &report.instance, version);
        }
        for running in joined.rollouts.values_mut() {
            self.drive(now, running);
        }
        let controllers = joined.rollouts.values();
        let controllers = controllers.filter_map(|running| running.controller.as_ref());
        let rollouts = controllers.map(Controller::directive).collect();
        let nodes = snapshot.view.len();
        let limit = |tenant: &str| {
            let key = plan.tenant_names.get(tenant)?;
            plan.tenant(*key).rate_limit
        };
        let ledger = &mut joined.ledger;
        let counts = Counts {
            usage: &report.usage,
            period: Duration::from_millis(report.usage_ms),
            standings: &report.standings,
        };
        ledger.on_report(now, &report.instance, counts, nodes, limit);
        Directives {
            rollouts,
            restrictions: ledger.restrictions(now, nodes),
        }
    }

    /// Moves one roll-out on, and keeps its status in the store.
    fn drive(&self, now: Time, running: &mut Running) {
        let stored = running.record.state(&running.order);
        if running.controller.is_none()
            && let Some(state) = stored
        {
            let order = running.order.clone();
            let settings = self.settings.rollout;
            running.controller = Some(Controller::resume(order, state, settings, now));
        }
        let mut wanted = State::Running;
        if let Some(controller) = &mut running.controller {
            if let Some(state) = stored {
                controller.adopt(state);
            }
            let is_due = now.since(running.stepped_at) >= STEP_INTERVAL;
            if is_due || controller.phase() == Phase::Cutover {
                running.stepped_at = now;
                let before = controller.phase();
                controller.step(now, running.record.is_own());
                log_phase(before, controller);
            }
            wanted = wanted_state(now, controller);
            if stored == Some(State::Done) {
                controller.complete();
            }
        }
        if let Some(call) = running.record.next_call(now, &running.order, wanted) {
            self.call_store(running.order.service.clone(), call);
        }
    }

    fn call_store(&self, service: String, call: Call) {
        let status_store = Arc::clone(&self.status);
        let state = Arc::clone(&self.state);
        let clock = self.clock;
        tokio::spawn(async move {
            match call {
                Call::Load => {
                    let loaded = status_store.load(service.clone()).await;
                    let loaded = loaded
                        .inspect_err(|error| log_failure(&service, error))
                        .ok();
                    with_record(&state, &service, |record| {
                        record.on_loaded(clock.now(), loaded);
                    });
                }
                Call::Save(status, expected) => {
                    let saved = status_store.save(status.clone(), expected).await;
                    let saved = saved.inspect_err(|error| log_failure(&service, error)).ok();
                    with_record(&state, &service, |record| {
                        record.on_saved(clock.now(), status, saved);
                    });
                }
            }
        });
    }
}

impl Handler for Coordinator {
    fn on_report(&self, report: Report) -> Directives {
        self.join(&self.handle.snapshot(), report)
    }
}

/// The state that the store should hold.
fn wanted_state(now: Time, controller: &Controller) -> State {
    match controller.phase() {
        Phase::RolledBack => State::RolledBack,
        Phase::Done => State::Done,
        Phase::Cutover if controller.is_complete(now) => State::Done,
        Phase::Canary | Phase::Cutover => State::Running,
    }
}

fn with_record(state: &Mutex<Joined>, service: &str, change: impl FnOnce(&mut Record)) {
    // The order may have been withdrawn meanwhile.
    if let Some(running) = lock(state).rollouts.get_mut(service) {
        change(&mut running.record);
    }
}

fn log_phase(before: Phase, controller: &Controller) {
    let phase = controller.phase();
    if phase == before {
        return;
    }
    let order = controller.order();
    let (service, target) = (&order.service, &order.target_version);
    match controller.fault() {
        Some(fault) => log::warn!(
            "roll-out of {service} to {target} is rolled back: {:?} on route {}, {} of {} answers \
             where the old version allows {:.1}%",
            fault.symptom,
            fault.route,
            fault.bad,
            fault.answers,
            fault.reference * 100.0
        ),
        None => log::info!("roll-out of {service} to {target}: {}", phase.as_str()),
    }
}

fn log_failure(service: &str, error: &dyn fmt::Display) {
    log::warn!("status of the roll-out of {service}: {error}; it is tried again");
}

fn lock(state: &Mutex<Joined>) -> MutexGuard<'_, Joined> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
