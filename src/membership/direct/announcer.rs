//! Keeps this node's announcement in the store, under a lease.
//!
//! After the withdrawal the announcer goes on until the end of the process, since its backend server
//! may still say farewell.
//!
//! Each write expects the revision of the one before, so that a write that the
//! store carries out late cannot undo a newer one.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::shared::StoredAnnouncement;
use super::{Announcement, Settings, Shared, State};
use crate::membership::{Epoch, InstanceId};
use crate::store::{self, Client, Expect, Lease, Outcome, Write, WriteId};

/// Task that keeps one announcement.
pub(super) struct Announcer<C> {
    settings: Settings,
    client: Arc<C>,
    shared: Arc<Shared>,
    desired: watch::Receiver<Option<Announcement>>,
    lease: Option<Lease>,
    is_leaving: bool,
    expect: Expect,
    written: Option<Announcement>,
    pause: Duration,
    rng: ChaCha8Rng,
}

impl<C: Client> Announcer<C> {
    pub(super) fn new(
        settings: Settings,
        client: Arc<C>,
        shared: Arc<Shared>,
        desired: watch::Receiver<Option<Announcement>>,
    ) -> Self {
        let seed = settings.seed ^ InstanceId::of(&settings.name).0 ^ 2;
        Self {
            pause: settings.backoff_min,
            settings,
            client,
            shared,
            desired,
            lease: None,
            is_leaving: false,
            expect: Expect::Absent,
            written: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) async fn run(mut self, mut leave_receiver: mpsc::Receiver<oneshot::Sender<()>>) {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            stored = shared.previous_stored() => self.resume_from(stored),
            Some(withdrawn) = leave_receiver.recv() => {
                // Whoever waited may have given up.
                let _ = withdrawn.send(());
                return;
            }
        }
        let mut next_sync_at = Instant::now();
        loop {
            let mut is_renewed = true;
            tokio::select! {
                Some(withdrawn) = leave_receiver.recv() => {
                    self.withdraw().await;
                    // Whoever waited may have given up.
                    let _ = withdrawn.send(());
                }
                changed = self.desired.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = shared.announcement_lost.notified() => {
                    self.written = None;
                    self.pause = self.settings.backoff_min;
                }
                () = sleep_until(next_sync_at) => is_renewed = self.renew_lease().await,
            }
            next_sync_at = self.sync(is_renewed).await;
        }
    }

    /// Resumes from the announcement of the previous run. The lease is renewed immediately, which
    /// shows whether it still exists.
    fn resume_from(&mut self, stored: Option<StoredAnnouncement>) {
        let Some(mut stored) = stored else {
            return;
        };
        // The epoch only orders announcements; it must not affect the comparison.
        stored.announcement.instance.epoch = Epoch::default();
        self.expect = Expect::Revision(stored.revision);
        self.lease = stored.lease;
        if stored.lease.is_some() {
            let departed = stored.announcement.departed.clone();
            self.shared.set_stored_departure(departed);
            self.written = Some(stored.announcement);
        }
    }

    /// Writes the announcement if needed; returns when to run again.
    async fn sync(&mut self, is_renewed: bool) -> Instant {
        match self.write_if_needed().await {
            Ok(()) if !is_renewed => Instant::now() + self.next_pause(),
            Ok(()) => {
                self.pause = self.settings.backoff_min;
                Instant::now() + self.settings.renewal_interval
            }
            Err(error) => {
                log::debug!("cannot announce this node: {error}");
                Instant::now() + self.next_pause()
            }
        }
    }

    fn next_pause(&mut self) -> Duration {
        let pause = self.pause.mul_f64(self.rng.random_range(0.5..=1.0));
        self.pause = (self.pause * 2).min(self.settings.backoff_max);
        pause
    }

    /// Returns whether the store answered; without an answer the renewal is soon tried again.
    async fn renew_lease(&mut self) -> bool {
        let Some(lease) = self.lease else {
            return true;
        };
        match self.client.renew(lease).await {
            Ok(true) => {}
            Ok(false) => self.forget_lease(),
            Err(error) => {
                log::debug!("cannot renew the lease: {error}");
                return false;
            }
        }
        true
    }

    fn forget_lease(&mut self) {
        self.lease = None;
        self.written = None;
    }

    async fn write_if_needed(&mut self) -> store::Result<()> {
        let Some(mut desired) = self.desired.borrow_and_update().clone() else {
            return Ok(());
        };
        if self.is_leaving {
            desired.instance.state = State::Leaving;
        }
        if self.written.as_ref() == Some(&desired) {
            return Ok(());
        }
        self.write(desired).await
    }

    async fn write(&mut self, desired: Announcement) -> store::Result<()> {
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.client.grant(self.settings.lease_ttl).await?,
        };
        self.lease = Some(lease);
        let value = serde_json::to_string(&desired).map_err(|error| store::Error::Refused {
            cause: error.to_string(),
        })?;
        let write = Write {
            key: format!("{}{}", self.settings.prefix, self.settings.name),
            value: Some(value),
            expect: self.expect,
            lease: Some(lease),
            id: WriteId(self.rng.random()),
        };
        match self.client.write(write).await {
            Ok(Outcome::Applied(revision)) => {
                self.expect = Expect::Revision(revision);
                self.shared.set_stored_departure(desired.departed.clone());
                self.written = Some(desired);
                Ok(())
            }
            Ok(Outcome::NotApplied(record)) => {
                // The lease may have ended as well.
                self.lease = None;
                self.expect =
                    record.map_or(Expect::Absent, |record| Expect::Revision(record.revision));
                Err(store::Error::Refused {
                    cause: "the announcement in the store is another one".to_owned(),
                })
            }
            Ok(Outcome::Unknown) => Err(store::Error::Refused {
                cause: "the announcement may not have been written".to_owned(),
            }),
            Err(error) => {
                self.forget_lease();
                Err(error)
            }
        }
    }

    /// Writes the state `Leaving`. Peers that miss it see the deletion once the lease lapses.
    async fn withdraw(&mut self) {
        self.is_leaving = true;
        if let Err(error) = self.write_if_needed().await {
            log::warn!("the announcement is not withdrawn: {error}; its lease will lapse");
        }
    }
}
