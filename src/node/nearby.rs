//! Subscribes to the load reports of the gates that the router prefers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::call::SnapshotSource;
use crate::clock::Clock;
use crate::membership::Handle;
use crate::peer::Links;
use crate::routing::{Followed, Router};

/// Pause before a stream that ended is opened again.
const PAUSE: Duration = Duration::from_millis(300);

/// Load subscriptions of one node.
pub struct Nearby {
    pub handle: Handle,
    pub snapshot_source: Arc<dyn SnapshotSource>,
    pub links: Arc<Links>,
    pub router: Arc<Mutex<Router>>,
    pub clock: Clock,
}

/// Subscription to one gate; ends when dropped.
struct Subscription {
    followed: Followed,
    task: JoinHandle<()>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Nearby {
    /// Keeps the subscriptions in step with the snapshot until dropped.
    pub async fn run(mut self) {
        let mut subscriptions: BTreeMap<String, Subscription> = BTreeMap::new();
        loop {
            let wanted = self.wanted();
            subscriptions.retain(|name, own| wanted.get(name) == Some(&own.followed));
            for (name, followed) in wanted {
                subscriptions.entry(name).or_insert_with_key(|name| {
                    let task = tokio::spawn(self.follow(name.clone(), followed));
                    Subscription { followed, task }
                });
            }
            self.handle.changed().await;
        }
    }

    /// Asks the router, which may not have seen the newest snapshot yet.
    fn wanted(&self) -> BTreeMap<String, Followed> {
        let snapshot = self.handle.snapshot();
        let mut router = lock(&self.router);
        router.update(self.clock.now(), &snapshot);
        router.followed()
    }

    /// Follows one gate until aborted.
    fn follow(&self, name: String, followed: Followed) -> impl Future<Output = ()> + use<> {
        let snapshot_source = Arc::clone(&self.snapshot_source);
        let links = Arc::clone(&self.links);
        let router = Arc::clone(&self.router);
        let clock = self.clock;
        let address = followed.peer;
        async move {
            loop {
                let ended = links.subscribe_load(address, |update| {
                    snapshot_source.on_peer_plan_version(address, update.plan);
                    lock(&router).on_load_report(clock.now(), &name, &update.load);
                });
                if let Err(down) = ended.await {
                    log::debug!("no load reports of {name}: {down}");
                }
                lock(&router).on_link_lost(clock.now(), &name);
                sleep(PAUSE).await;
            }
        }
    }
}

fn lock(router: &Mutex<Router>) -> MutexGuard<'_, Router> {
    router.lock().unwrap_or_else(PoisonError::into_inner)
}
