//! Follows the loads of the gates in the own region.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::call::SnapshotSource;
use crate::clock::Clock;
use crate::membership::{Epoch, Handle, State};
use crate::peer::Links;
use crate::routing::{Location, Router};

/// Pause before a stream that ended is opened again.
const PAUSE: Duration = Duration::from_millis(300);

/// Follows gates nearby.
pub struct Nearby {
    pub location: Location,
    pub handle: Handle,
    pub snapshot_source: Arc<dyn SnapshotSource>,
    pub links: Arc<Links>,
    pub router: Arc<Mutex<Router>>,
    pub clock: Clock,
}

/// Which gate is followed, and by what.
struct Followed {
    epoch: Epoch,
    task: JoinHandle<()>,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Nearby {
    /// Follows until dropped.
    pub async fn run(mut self) {
        let mut followed: BTreeMap<String, Followed> = BTreeMap::new();
        loop {
            let view = Arc::clone(&self.handle.snapshot().view);
            followed.retain(|name, own| {
                let known = view.get(name);
                known.is_some_and(|instance| instance.epoch == own.epoch)
            });
            for instance in view.iter() {
                let near = instance.region == self.location.region;
                let other = instance.name != self.location.instance;
                let present = instance.state == State::Present;
                if near && other && present && !followed.contains_key(&instance.name) {
                    let task = tokio::spawn(self.one(instance.name.clone(), instance.peer));
                    let epoch = instance.epoch;
                    followed.insert(instance.name.clone(), Followed { epoch, task });
                }
            }
            self.handle.changed().await;
        }
    }

    /// Follows one gate as long as it is announced.
    fn one(&self, name: String, address: SocketAddr) -> impl Future<Output = ()> + use<> {
        let snapshot_source = Arc::clone(&self.snapshot_source);
        let links = Arc::clone(&self.links);
        let router = Arc::clone(&self.router);
        let clock = self.clock;
        async move {
            loop {
                let told = links.subscribe_load(address, |told| {
                    snapshot_source.on_peer_plan_version(address, told.plan);
                    let mut router = router.lock().unwrap_or_else(PoisonError::into_inner);
                    router.on_load_report(clock.now(), &name, &told.load);
                });
                if let Err(down) = told.await {
                    log::debug!("the load of {name} is not told: {down}");
                }
                router
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .on_link_lost(clock.now(), &name);
                sleep(PAUSE).await;
            }
        }
    }
}
