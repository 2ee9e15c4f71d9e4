//! Reports of this node to the coordinator, and the directives that it returns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::backend::Executor;
use crate::clock::{Clock, Time};
use crate::coordination::{Directives, Handler, Local, Report, Transport, ranked};
use crate::membership::{ClusterSnapshot, Handle};
use crate::routing::Router;

/// Time between two reports of calls in a small fleet.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two reports, when the demand of a tenant jumps.
const EARLY_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two reports during a roll-out in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The same while a roll-out is about to change.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Fleet beyond which reports become rarer, so that a coordinator hears no more of them.
const NODES_AT_SHORTEST_INTERVAL: u32 = 128;
/// Coordinators that are tried for one report.
const COORDINATORS_TRIED: usize = 3;
/// Time for which a coordinator that did not reply comes last.
const SILENT_COORDINATOR_PAUSE: Duration = Duration::from_secs(2);

/// Reports to coordinators.
pub struct Reporter {
    pub handle: Handle,
    pub report_handler: Arc<dyn Handler>,
    pub local: Arc<Local>,
    pub transport: Arc<dyn Transport>,
    pub router: Arc<Mutex<Router>>,
    pub executor: Arc<Executor>,
    pub clock: Clock,
    pub instance: String,
}

impl Reporter {
    /// Reports until dropped, while the plan asks for something to be coordinated.
    pub async fn run(mut self) {
        let mut silent_until: BTreeMap<String, Time> = BTreeMap::new();
        let mut has_asked_others = false;
        loop {
            let snapshot = self.handle.snapshot();
            let plan = &snapshot.plan;
            if plan.rollouts.is_empty() && !plan.has_rate_limits() {
                self.handle.changed().await;
                continue;
            }
            let mut coordinators = ranked(&snapshot.view, COORDINATORS_TRIED);
            let is_own = |(name, _): &(String, SocketAddr)| *name == self.instance;
            if !has_asked_others {
                // Another one may have coordinated while this node was down.
                coordinators.sort_by_key(is_own);
                has_asked_others = !coordinators.iter().all(is_own);
            }
            self.report(&snapshot, coordinators, &mut silent_until)
                .await;
            sleep(EARLY_REPORT_INTERVAL).await;
            let interval = self.report_interval(&snapshot);
            let rest = interval.saturating_sub(EARLY_REPORT_INTERVAL);
            tokio::select! {
                () = sleep(rest) => {}
                () = self.local.report_overdue() => {}
            }
        }
    }

    /// Reports to the first of `coordinators` that replies, the silent ones last.
    async fn report(
        &self,
        snapshot: &ClusterSnapshot,
        mut coordinators: Vec<(String, SocketAddr)>,
        silent_until: &mut BTreeMap<String, Time>,
    ) {
        let now = self.clock.now();
        silent_until.retain(|_, until| *until > now);
        coordinators.sort_by_key(|(name, _)| silent_until.contains_key(name));
        self.local.set_plan(now, &snapshot.plan);
        for (name, address) in coordinators {
            if let Some(directives) = self.send(&name, address).await {
                self.apply(&directives);
                return;
            }
            let until = self.clock.now() + SILENT_COORDINATOR_PAUSE;
            silent_until.insert(name, until);
        }
    }

    async fn send(&self, coordinator: &str, address: SocketAddr) -> Option<Directives> {
        let load = self.executor.load();
        let in_hand = load.in_hand + load.queued;
        let standings = self.local.standings(self.clock.now());
        let (usage, period) = self.local.take_usage(self.clock.now());
        let report = Report {
            instance: self.instance.clone(),
            version: self
                .local
                .version_report(self.clock.now(), load.accepting, in_hand),
            usage,
            usage_ms: u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
            standings,
        };
        if coordinator == self.instance {
            return Some(self.report_handler.on_report(report));
        }
        self.transport.report(address, report).await
    }

    /// Reports become rarer as the fleet grows, so that a coordinator hears a bounded number a
    /// second. They come sooner around a cutover, which lasts a second or so.
    fn report_interval(&self, snapshot: &ClusterSnapshot) -> Duration {
        let nodes = u32::try_from(snapshot.view.len()).unwrap_or(u32::MAX);
        let interval = if self.local.is_urgent() {
            URGENT_REPORT_INTERVAL
        } else if snapshot.plan.rollouts.is_empty() {
            USAGE_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        interval * nodes.div_ceil(NODES_AT_SHORTEST_INTERVAL).max(1)
    }

    fn apply(&self, directives: &Directives) {
        let now = self.clock.now();
        self.local.on_directives(now, directives);
        let mut router = self.router.lock().unwrap_or_else(PoisonError::into_inner);
        for directive in &directives.rollouts {
            router.on_rollout(now, directive);
        }
    }
}
