//! Follows one key prefix of the store while this node is to watch it.
//!
//! Lists it once, then watches it, from where the news of relays have brought this node.
//!
//! A watch that waits is given up when there is a doubt whether it is still answered, and made
//! again from the same position.
//!
//! After a failure it retries with exponential backoff and jitter. Announcements are listed once
//! by every node, because its own may be among them.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use super::{Settings, Shared, WatchPacing, bootstrap};
use crate::membership::InstanceId;
use crate::store::{self, Client, Revision, Watched};

/// Wait of a watch that only checks whether the store is available.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Time that a node without known relays waits for announcements before it lists plans.
const PLAN_DELAY: Duration = Duration::from_millis(500);
/// How much longer a node that is no relay pauses at most between failed calls.
const DETACHED_BACKOFF_FACTOR: u32 = 4;

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

/// How far a prefix has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Nothing has been read since the start.
    Start,
    /// Everything up to this revision.
    After(Revision),
    /// The store no longer holds the history; the prefix has to be listed.
    Lost,
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
    /// Follows the prefix whenever this node is to watch the store.
    pub(super) async fn run(mut self) {
        let seed = self.settings.seed ^ InstanceId::of(&self.settings.name).0 ^ self.subject as u64;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut watches_store = self.shared.watches(self.subject);
        let mut position = Position::Start;
        let mut pause = self.settings.backoff_min;
        let mut is_unavailable = false;
        let mut may_list_plans = self.subject == Subject::Nodes;
        loop {
            if position != Position::Start || self.subject == Subject::Plans {
                // The sender lives as long as the shared state.
                let _ = watches_store.wait_for(|watches| *watches).await;
            }
            if !may_list_plans && position == Position::Start {
                may_list_plans = true;
                if !self.shared.knows_others() {
                    // Announcements that are read meanwhile may show that others are the relays.
                    sleep(PLAN_DELAY).await;
                    continue;
                }
            }
            let started_at = self.shared.clock.now();
            let wait = self.wait(is_unavailable);
            let after = self.continue_from(position);
            let mut doubts = self.shared.doubts();
            let result = tokio::select! {
                biased;
                result = self.list_or_watch(after, wait) => result,
                // The sender lives as long as the shared state.
                _ = doubts.changed(), if after.is_some() && !is_unavailable => {
                    self.pause_after_doubt().await;
                    continue;
                }
            };
            if self.subject == Subject::Plans || result.is_ok() {
                self.shared.set_store_available(result.is_ok());
            }
            match result {
                Ok(next) => {
                    if is_unavailable {
                        log::info!("{} can be read from the store again", self.subject.as_str());
                    }
                    is_unavailable = false;
                    pause = self.settings.backoff_min;
                    position = next;
                    let waited = self.shared.clock.now().since(started_at);
                    sleep(self.watch_pacing.next_pause(waited)).await;
                }
                Err(error) => {
                    if !is_unavailable {
                        let subject = self.subject.as_str();
                        log::warn!("{subject} cannot be read from the store: {error}");
                    }
                    is_unavailable = true;
                    if self.subject == Subject::Nodes {
                        if position == Position::Start {
                            self.shared.set_missed_store();
                        }
                        // Only the follower of plans retries; this one waits for its success.
                        self.shared.wait_until_store_available().await;
                        pause = self.settings.backoff_min;
                    }
                    sleep(pause.mul_f64(rng.random_range(0.5..=1.0))).await;
                    pause = (pause * 2).min(self.backoff_max());
                }
            }
        }
    }

    /// A watch with the minimum wait detects immediately that the store is back.
    fn wait(&self, is_unavailable: bool) -> Duration {
        if is_unavailable {
            PROBE_WAIT
        } else if self.subject == Subject::Plans && self.shared.is_sentinel() {
            self.settings.sentinel_wait
        } else {
            self.settings.watch_wait
        }
    }

    /// While plans cannot be read, a watch of announcements would not be answered either.
    async fn pause_after_doubt(&self) {
        if self.subject == Subject::Nodes {
            let available = self.shared.wait_until_store_available();
            let _ = timeout(self.settings.backoff_max, available).await;
        }
    }

    /// Relays find out that the store is back; the other nodes hear it from them.
    fn backoff_max(&self) -> Duration {
        if self.shared.is_relay() {
            self.settings.backoff_max
        } else {
            self.settings.backoff_max * DETACHED_BACKOFF_FACTOR
        }
    }

    /// Revision from which to watch; `None` to list. Relays may have told more meanwhile.
    fn continue_from(&self, position: Position) -> Option<Revision> {
        let known = self.shared.position(self.subject);
        match position {
            Position::Start if self.subject == Subject::Nodes => None,
            Position::Start => known,
            Position::After(revision) => Some(known.map_or(revision, |known| known.max(revision))),
            Position::Lost => None,
        }
    }

    /// Prefix to list. That of announcements includes the record that the fleet has been started.
    fn listed_prefix(&self) -> &str {
        match self.subject {
            Subject::Plans => &self.prefix,
            Subject::Nodes => bootstrap::listed_prefix(&self.prefix),
        }
    }

    /// Lists, or watches after a revision; returns the position to continue from.
    async fn list_or_watch(
        &self,
        after: Option<Revision>,
        wait: Duration,
    ) -> store::Result<Position> {
        let Some(after) = after else {
            let listing = self.client.list(self.listed_prefix()).await?;
            let revision = listing.revision;
            match self.subject {
                Subject::Plans => self.shared.on_plans_listed(listing),
                Subject::Nodes => self.shared.on_nodes_listed(&listing),
            }
            return Ok(Position::After(revision));
        };
        let watched = self.client.watch(&self.prefix, after, wait).await?;
        let Watched::Changes { revision, changes } = watched else {
            return Ok(Position::Lost);
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
        Ok(Position::After(revision))
    }
}
