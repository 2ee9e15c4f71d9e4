//! Follows one key prefix of the store: lists it once, then watches it.
//!
//! After a failure it retries with exponential backoff and jitter.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

use super::{Settings, Shared, WatchPacing};
use crate::membership::InstanceId;
use crate::store::{self, Client, Revision, Watched};

/// Wait of a watch that only checks whether the store is available.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Kind of records that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    Plans,
    Nodes,
}

impl Subject {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Plans => "plans",
            Self::Nodes => "announcements",
        }
    }
}

/// Follows one prefix.
pub(super) struct Follower<C> {
    pub(super) prefix: String,
    pub(super) watch_pacing: WatchPacing,
    pub(super) settings: Settings,
    pub(super) client: Arc<C>,
    pub(super) shared: Arc<Shared>,
    pub(super) subject: Subject,
}

impl<C: Client> Follower<C> {
    /// Lists once, then watches; lists again only when history was lost.
    pub(super) async fn run(mut self) {
        let seed = self.settings.seed ^ InstanceId::of(&self.settings.name).0 ^ self.subject as u64;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut position = None;
        let mut pause = self.settings.backoff_min;
        let mut is_unavailable = false;
        loop {
            let started_at = self.shared.clock.now();
            // A watch with the minimum wait detects immediately that the store is back.
            let wait = if is_unavailable {
                PROBE_WAIT
            } else {
                self.settings.watch_wait
            };
            let result = self.list_or_watch(position, wait).await;
            if self.subject == Subject::Plans {
                self.shared.set_store_available(result.is_ok());
            }
            match result {
                Ok(next) => {
                    if is_unavailable {
                        log::info!("the store tells {} again", self.subject.as_str());
                    }
                    is_unavailable = false;
                    pause = self.settings.backoff_min;
                    position = next;
                    let waited = self.shared.clock.now().since(started_at);
                    sleep(self.watch_pacing.next_pause(waited)).await;
                }
                Err(error) => {
                    if !is_unavailable {
                        log::warn!("the store tells no {}: {error}", self.subject.as_str());
                    }
                    is_unavailable = true;
                    if self.subject == Subject::Nodes {
                        // Only the follower of plans retries; this one waits for its success.
                        self.shared.wait_until_store_available().await;
                        pause = self.settings.backoff_min;
                    }
                    sleep(pause.mul_f64(rng.random_range(0.5..=1.0))).await;
                    pause = (pause * 2).min(self.settings.backoff_max);
                }
            }
        }
    }

    /// Returns the revision to continue from; `None` if the store no longer has the history.
    async fn list_or_watch(
        &self,
        position: Option<Revision>,
        wait: Duration,
    ) -> store::Result<Option<Revision>> {
        let Some(after) = position else {
            let listing = self.client.list(&self.prefix).await?;
            let revision = listing.revision;
            match self.subject {
                Subject::Plans => self.shared.on_plans_listed(listing),
                Subject::Nodes => self.shared.on_nodes_listed(&listing),
            }
            return Ok(Some(revision));
        };
        let watched = self.client.watch(&self.prefix, after, wait).await?;
        let Watched::Changes { revision, changes } = watched else {
            return Ok(None);
        };
        if revision < after {
            return Err(store::Error::Refused {
                cause: "its answer is older than one before".to_owned(),
            });
        }
        if !changes.is_empty() {
            match self.subject {
                Subject::Plans => self.shared.on_plans_changed(changes),
                Subject::Nodes => self.shared.on_nodes_changed(changes),
            }
        }
        Ok(Some(revision))
    }
}
