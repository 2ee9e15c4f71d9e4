//! Keeps this node's announcement in the store, under a lease.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::core::Core;
use super::driver::Driver;
use super::{Epoch, INSTANCE_PREFIX, Instance, Settings};
use crate::store::{Client, Expect, Lease, Outcome, Write, WriteId};

/// Wait after the first failed call of the store; it doubles.
const RETRY_WAIT_MIN: Duration = Duration::from_millis(500);

/// Keeps one announcement.
pub(super) struct Announcer<C> {
    settings: Settings,
    driver: Arc<Driver>,
    client: Arc<C>,
    stored: Option<StoredAnnouncement>,
    retry_wait: Duration,
    rng: ChaCha8Rng,
}

/// What is in the store.
#[derive(Clone, Copy, Debug)]
struct StoredAnnouncement {
    lease: Lease,
    epoch: Epoch,
    ttl: Duration,
}

impl<C: Client> Announcer<C> {
    pub(super) fn new(settings: Settings, driver: Arc<Driver>, client: Arc<C>) -> Self {
        let seed = settings.seed ^ super::InstanceId::of(&settings.instance.name).0;
        Self {
            settings,
            driver,
            client,
            stored: None,
            retry_wait: RETRY_WAIT_MIN,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Keeps the announcement until the node leaves.
    pub(super) async fn run(mut self, mut leave_receiver: mpsc::Receiver<oneshot::Sender<()>>) {
        let jitter_max = self.settings.announcement_jitter_max;
        let mut pause = jitter_max.mul_f64(self.rng.random_range(0.0..=1.0));
        loop {
            let driver = Arc::clone(&self.driver);
            tokio::select! {
                () = sleep(pause) => {}
                () = driver.reannounce.notified() => {}
                leave_request = leave_receiver.recv() => {
                    self.withdraw().await;
                    if let Some(done) = leave_request {
                        // The caller may have stopped waiting.
                        let _ = done.send(());
                    }
                    return;
                }
            }
            pause = self.renew_or_announce().await;
        }
    }

    /// Renews the lease or announces anew. Returns the pause to the next time.
    async fn renew_or_announce(&mut self) -> Duration {
        let renewal_interval = self.renewal_interval();
        let is_current = self.stored.is_some_and(|stored| self.is_current(stored));
        let renewed = match self.stored {
            Some(stored) if is_current => self.client.renew(stored.lease).await,
            _ => Ok(false),
        };
        match &renewed {
            Ok(true) => {}
            Ok(false) => self.stored = self.announce(renewal_interval).await,
            Err(error) => log::debug!("the lease was not renewed: {error}"),
        }
        if renewed.is_ok() && self.stored.is_some() {
            self.retry_wait = RETRY_WAIT_MIN;
            // Nodes that started together must not renew together.
            let is_new = matches!(renewed, Ok(false));
            let min_factor = if is_new { 0.0 } else { 0.8 };
            return renewal_interval.mul_f64(self.rng.random_range(min_factor..=1.0));
        }
        let pause = self.retry_wait.mul_f64(self.rng.random_range(0.5..=1.0));
        self.retry_wait = (self.retry_wait * 2).min(renewal_interval);
        pause
    }

    /// Whether the announcement and the term of its lease still fit.
    fn is_current(&self, stored: StoredAnnouncement) -> bool {
        let epoch = self.driver.read(|core| core.instance().epoch);
        stored.epoch == epoch && stored.ttl >= self.renewal_interval() * 2
    }

    fn renewal_interval(&self) -> Duration {
        let nodes = self.driver.read(Core::fleet_size);
        self.settings.renewal_interval(nodes)
    }

    async fn announce(&mut self, renewal_interval: Duration) -> Option<StoredAnnouncement> {
        let instance = self.driver.read(|core| core.instance().clone());
        let ttl = renewal_interval * self.settings.renewals_per_lease;
        let lease = self.client.grant(ttl).await.ok()?;
        let id = WriteId(self.rng.random());
        let key = format!("{INSTANCE_PREFIX}{}", instance.name);
        let written = self.write(&key, &instance, lease, id).await;
        written.then_some(StoredAnnouncement {
            lease,
            epoch: instance.epoch,
            ttl,
        })
    }

    async fn write(&self, key: &str, instance: &Instance, lease: Lease, id: WriteId) -> bool {
        let write = Write {
            key: key.to_owned(),
            value: serde_json::to_string(instance).ok(),
            expect: Expect::Anything,
            lease: Some(lease),
            id,
        };
        match self.client.write(write).await {
            Ok(Outcome::Applied(_)) => true,
            Ok(Outcome::Unknown) => {
                let found = self.client.get(key).await;
                matches!(found, Ok(Some(record)) if record.write_id == id)
            }
            Ok(Outcome::NotApplied(_)) | Err(_) => false,
        }
    }

    async fn withdraw(&mut self) {
        if let Some(stored) = self.stored.take()
            && let Err(error) = self.client.revoke(stored.lease).await
        {
            log::warn!("the announcement stays until its lease lapses: {error}");
        }
    }
}
