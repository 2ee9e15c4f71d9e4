//! A coordinator with a store in this process.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::coordination::{Coordinator, Desk, Report, Saved, Settings, StoreStatus, StoredStatus};
use crate::membership::{ClusterSnapshot, Handle};
use crate::plan::{Plan, Rollout};
use crate::rollout::{Phase, RouteTally, State, Status, VersionReport};
use crate::store::{self, Revision};

/// One record; `None` while the store is down.
#[derive(Debug, Default)]
struct Shelf(std::sync::Mutex<Option<StoredStatus>>);

impl StoreStatus for Arc<Shelf> {
    fn load(&self, _service: String) -> BoxFuture<'static, store::Result<StoredStatus>> {
        let this = Arc::clone(self);
        async move {
            let record = this.0.lock().expect("the lock is not poisoned");
            record.clone().ok_or(store::Error::Budget)
        }
        .boxed()
    }

    fn save(
        &self,
        status: Status,
        expected: Option<Revision>,
    ) -> BoxFuture<'static, store::Result<Saved>> {
        let this = Arc::clone(self);
        async move {
            let mut record = this.0.lock().expect("the lock is not poisoned");
            let stored = record.as_mut().ok_or(store::Error::Budget)?;
            if stored.revision != expected {
                return Ok(Saved::Conflict(stored.clone()));
            }
            let revision = Revision(stored.revision.map_or(1, |revision| revision.0 + 1));
            stored.status = Some(status);
            stored.revision = Some(revision);
            Ok(Saved::Yes(revision))
        }
        .boxed()
    }
}

fn handle() -> Handle {
    let order = Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: Duration::from_secs(1),
    };
    let plan = Plan {
        rollouts: [("odber".to_owned(), order)].into(),
        ..Plan::default()
    };
    let snapshot = ClusterSnapshot {
        plan: Arc::new(plan),
        ..ClusterSnapshot::default()
    };
    let (_, changes) = watch::channel(());
    let (suspicions, _) = mpsc::channel(1);
    Handle::fixed(snapshot, changes, suspicions)
}

fn coordinator(shelf: &Arc<Shelf>) -> Arc<Coordinator> {
    let status = Arc::new(Arc::clone(shelf));
    Coordinator::new(Settings::default(), Clock::start(), handle(), status)
}

fn report(instance: &str, version: &str, answered: u64, failed: u64) -> Report {
    let tally = RouteTally {
        route: "order".into(),
        answered,
        failed,
        latency: Vec::new(),
    };
    Report {
        instance: instance.into(),
        version: Some(VersionReport {
            service: "odber".into(),
            version: version.into(),
            accepting: true,
            routes: vec![tally],
            ..VersionReport::default()
        }),
        ..Report::default()
    }
}

/// Reports until the phase is `expected`, for at most ten seconds of virtual time.
async fn until(coordinator: &Coordinator, failed: u64, expected: Phase) {
    for round in 0..100 {
        coordinator.on_report(report("old", "v1", 40, 0));
        let directives = coordinator.on_report(report("new", "v2", 40 + 4 * round, failed));
        if directives.rollouts.first().map(|rollout| rollout.phase) == Some(expected) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{expected:?} is not reached");
}

fn state(shelf: &Shelf) -> Option<State> {
    let record = shelf.0.lock().expect("the lock is not poisoned");
    record.as_ref()?.status.as_ref().map(|status| status.state)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

async fn good_version_is_recorded() {
    let shelf = Arc::new(Shelf(Some(StoredStatus::default()).into()));
    let coordinator = coordinator(&shelf);
    until(&coordinator, 0, Phase::Done).await;
    assert_eq!(state(&shelf), Some(State::Done));
}

async fn bad_version_is_recorded() {
    let shelf = Arc::new(Shelf(Some(StoredStatus::default()).into()));
    let coordinator = coordinator(&shelf);
    until(&coordinator, 20, Phase::RolledBack).await;
    sleep(Duration::from_secs(1)).await;
    coordinator.on_report(report("old", "v1", 40, 0));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(state(&shelf), Some(State::RolledBack));
}

async fn store_outage_gives_no_directive() {
    let shelf = Arc::new(Shelf::default());
    let coordinator = coordinator(&shelf);
    for _ in 0..20 {
        let directives = coordinator.on_report(report("new", "v2", 40, 0));
        assert!(directives.rollouts.is_empty());
        sleep(Duration::from_millis(100)).await;
    }
    *shelf.0.lock().expect("the lock is not poisoned") = Some(StoredStatus::default());
    until(&coordinator, 0, Phase::Done).await;
}

/// The second one sees only a good version; the first one has recorded the opposite.
async fn two_coordinators_agree() {
    let shelf = Arc::new(Shelf(Some(StoredStatus::default()).into()));
    let (first, second) = (coordinator(&shelf), coordinator(&shelf));
    until(&second, 0, Phase::Canary).await;
    until(&first, 20, Phase::RolledBack).await;
    until(&second, 0, Phase::RolledBack).await;
    assert_eq!(state(&shelf), Some(State::RolledBack));
}

cases! {
    good_version_is_done_in_the_store: run(good_version_is_recorded());
    bad_version_is_rolled_back_in_the_store: run(bad_version_is_recorded());
    coordinator_waits_for_the_store: run(store_outage_gives_no_directive());
    coordinators_beside_each_other_end_alike: run(two_coordinators_agree());
}
