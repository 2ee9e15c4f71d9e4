//! Gauges of a node, once a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;

use super::control::Reading;
use crate::call::Admission;
use crate::membership::Handle;
use crate::memory;
use crate::plan::Version;
use crate::telemetry::metric::{Metrics, Name, tag};

/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Parts of a core in which processor time is reported.
const CORE_SHARES: u128 = 10_000;

/// Reports gauges.
pub struct Reporter {
    pub handle: Handle,
    pub admission: Arc<Admission>,
    pub metrics: Metrics,
    pub cpu: Reading,
}

struct Before {
    plan: Version,
    plan_since: Instant,
    cpu: Duration,
}

impl Reporter {
    /// Reports until dropped; at once done when metrics go nowhere.
    pub async fn run(self) {
        if !self.metrics.is_on() {
            return;
        }
        let mut interval = tokio::time::interval(INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut before = Before {
            plan: Version::default(),
            plan_since: Instant::now(),
            cpu: self.cpu.total(),
        };
        loop {
            interval.tick().await;
            self.report_gate();
            self.report_plan(&mut before);
            self.report_process(&mut before);
        }
    }

    fn report_gate(&self) {
        let admission = &self.admission;
        let state = admission.state().to_string();
        let level = |name, value: u32| self.metrics.gauge(name, u64::from(value), &[]);
        level(Name::GateInHand, admission.in_hand());
        level(Name::GateQueued, admission.queued());
        level(Name::GateLimit, admission.limit());
        self.metrics
            .gauge(Name::GateState, 1, &[tag("state", &state)]);
    }

    fn report_plan(&self, before: &mut Before) {
        let snapshot = self.handle.snapshot();
        if snapshot.plan.version != before.plan {
            before.plan = snapshot.plan.version;
            before.plan_since = Instant::now();
        }
        let instances = u64::try_from(snapshot.view.len()).unwrap_or(u64::MAX);
        let metrics = &self.metrics;
        metrics.gauge(Name::PlanVersion, before.plan.0, &[]);
        metrics.gauge(Name::PlanAge, before.plan_since.elapsed().as_secs(), &[]);
        metrics.gauge(Name::ViewInstances, instances, &[]);
    }

    fn report_process(&self, before: &mut Before) {
        let cpu = self.cpu.total();
        let spent = cpu.saturating_sub(before.cpu);
        before.cpu = cpu;
        let share = spent.as_micros() * CORE_SHARES / INTERVAL.as_micros();
        let share = u64::try_from(share).unwrap_or(u64::MAX);
        self.metrics.gauge(Name::ControlCpu, share, &[]);
        let statm = std::fs::read_to_string("/proc/self/statm");
        if let Some(bytes) = statm.ok().and_then(|statm| memory::resident_bytes(&statm)) {
            self.metrics.gauge(Name::Memory, bytes, &[]);
        }
    }
}
