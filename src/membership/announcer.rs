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
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Keeps one announcement.
pub(super) struct Announcer<C> {
    settings: Settings,
    driver: Arc<Driver>,
    client: Arc<C>,
    held: Option<Held>,
    retry: Duration,
    rng: ChaCha8Rng,
}

/// What is in the store.
#[derive(Clone, Copy, Debug)]
struct Held {
    lease: Lease,
    epoch: Epoch,
    ttl: Duration,
}

impl<C: Client> Announcer<C> {
    pub(super) fn new(settings: Settings, driver: Arc<Driver>, client: Arc<C>) -> Self {
        let seed = settings.seed ^ super::Id::of(&settings.instance.name).0;
        Self {
            settings,
            driver,
            client,
            held: None,
            retry: FIRST_RETRY,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Keeps the announcement until the node leaves.
    pub(super) async fn run(mut self, mut departures: mpsc::Receiver<oneshot::Sender<()>>) {
        let spread = self.settings.announcement_spread;
        let mut pause = spread.mul_f64(self.rng.random_range(0.0..=1.0));
        loop {
            let driver = Arc::clone(&self.driver);
            tokio::select! {
                () = sleep(pause) => {}
                () = driver.reannounce.notified() => {}
                departure = departures.recv() => {
                    self.withdraw().await;
                    if let Some(done) = departure {
                        // The caller may have stopped waiting.
                        let _ = done.send(());
                    }
                    return;
                }
            }
            pause = self.refresh().await;
        }
    }

    /// Renews the lease or announces anew. Returns the pause to the next time.
    async fn refresh(&mut self) -> Duration {
        let interval = self.interval();
        let is_current = self.held.is_some_and(|held| self.is_current(held));
        let kept = match self.held {
            Some(held) if is_current => self.client.renew(held.lease).await,
            _ => Ok(false),
        };
        match &kept {
            Ok(true) => {}
            Ok(false) => self.held = self.announce(interval).await,
            Err(error) => log::debug!("the lease was not renewed: {error}"),
        }
        if kept.is_ok() && self.held.is_some() {
            self.retry = FIRST_RETRY;
            return interval.mul_f64(self.rng.random_range(0.8..=1.0));
        }
        let pause = self.retry.mul_f64(self.rng.random_range(0.5..=1.0));
        self.retry = (self.retry * 2).min(interval);
        pause
    }

    /// Whether the announcement and the term of its lease still fit.
    fn is_current(&self, held: Held) -> bool {
        let epoch = self.driver.read(|core| core.instance().epoch);
        held.epoch == epoch && held.ttl >= self.interval() * 2
    }

    fn interval(&self) -> Duration {
        let nodes = self.driver.read(Core::fleet_size);
        self.settings.renewal_interval(nodes)
    }

    async fn announce(&mut self, interval: Duration) -> Option<Held> {
        let instance = self.driver.read(|core| core.instance().clone());
        let ttl = interval * self.settings.renewals_per_lease;
        let lease = self.client.grant(ttl).await.ok()?;
        let id = WriteId(self.rng.random());
        let key = format!("{INSTANCE_PREFIX}{}", instance.name);
        let written = self.write(&key, &instance, lease, id).await;
        written.then_some(Held {
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
        if let Some(held) = self.held.take()
            && let Err(error) = self.client.revoke(held.lease).await
        {
            log::warn!("the announcement stays until its lease lapses: {error}");
        }
    }
}
