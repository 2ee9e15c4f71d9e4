//! A coordinator with a store in this process.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::coordination::{
    Coordinator, Handler, Report, Saved, Settings, StoreStatus, StoredStatus,
};
use crate::membership::{ClusterSnapshot, Handle};
use crate::plan::{Plan, Rollout};
use crate::rollout::{Phase, RouteTally, State, Status, VersionReport};
use crate::store::{self, Revision};

/// One record; `None` while the store is down.
#[derive(Debug, Default)]
struct FakeStore(std::sync::Mutex<Option<StoredStatus>>);

impl StoreStatus for Arc<FakeStore> {
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

fn coordinator(store: &Arc<FakeStore>) -> Arc<Coordinator> {
    let status = Arc::new(Arc::clone(store));
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

fn state(store: &FakeStore) -> Option<State> {
    let record = store.0.lock().expect("the lock is not poisoned");
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
    let store = Arc::new(FakeStore(Some(StoredStatus::default()).into()));
    let coordinator = coordinator(&store);
    until(&coordinator, 0, Phase::Done).await;
    assert_eq!(state(&store), Some(State::Done));
}

async fn bad_version_is_recorded() {
    let store = Arc::new(FakeStore(Some(StoredStatus::default()).into()));
    let coordinator = coordinator(&store);
    until(&coordinator, 20, Phase::RolledBack).await;
    sleep(Duration::from_secs(1)).await;
    coordinator.on_report(report("old", "v1", 40, 0));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(state(&store), Some(State::RolledBack));
}

async fn store_outage_gives_no_directive() {
    let store = Arc::new(FakeStore::default());
    let coordinator = coordinator(&store);
    for _ in 0..20 {
        let directives = coordinator.on_report(report("new", "v2", 40, 0));
        assert!(directives.rollouts.is_empty());
        sleep(Duration::from_millis(100)).await;
    }
    *store.0.lock().expect("the lock is not poisoned") = Some(StoredStatus::default());
    until(&coordinator, 0, Phase::Done).await;
}

/// The second one sees only a good version; the first one has recorded the opposite.
async fn two_coordinators_agree() {
    let store = Arc::new(FakeStore(Some(StoredStatus::default()).into()));
    let (first, second) = (coordinator(&store), coordinator(&store));
    until(&second, 0, Phase::Canary).await;
    until(&first, 20, Phase::RolledBack).await;
    until(&second, 0, Phase::RolledBack).await;
    assert_eq!(state(&store), Some(State::RolledBack));
}

cases! {
    good_version_is_done_in_the_store: run(good_version_is_recorded());
    bad_version_is_rolled_back_in_the_store: run(bad_version_is_recorded());
    coordinator_waits_for_the_store: run(store_outage_gives_no_directive());
    coordinators_beside_each_other_end_alike: run(two_coordinators_agree());
}
