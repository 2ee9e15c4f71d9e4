//! Follows the store while this node is a relay or has heard nothing.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::core::Core;
use super::driver::Driver;
use super::keys::{INSTANCE_PREFIX, KEY_PREFIX};
use super::text::SheetText;
use super::{Instance, InstanceId, Settings};
use crate::acceptance::head::{self, HEAD_KEY, Head};
use crate::store::{self, Change, Client, Record, Revision, Watched};

/// Upper bound of the wait after a failed call of the store.
const RETRY_WAIT_MAX: Duration = Duration::from_secs(1);

/// Follows one store.
pub(super) struct Follower<C> {
    settings: Settings,
    driver: Arc<Driver>,
    client: Arc<C>,
    follow: watch::Receiver<bool>,
    rng: ChaCha8Rng,
}

impl<C: Client> Follower<C> {
    pub(super) fn new(settings: Settings, driver: Arc<Driver>, client: Arc<C>) -> Self {
        let seed = settings.seed ^ InstanceId::of(&settings.instance.name).0 ^ 1;
        Self {
            follow: driver.subscribe_follow(),
            settings,
            driver,
            client,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            if self.follow.wait_for(|follow| *follow).await.is_err() {
                return;
            }
            if let Err(error) = self.follow().await {
                log::debug!("cannot follow the store: {error}");
                sleep(RETRY_WAIT_MAX.mul_f64(self.rng.random_range(0.25..=1.0))).await;
            }
        }
    }

    /// Lists, then watches until the duty ends or the history is lost.
    async fn follow(&mut self) -> store::Result<()> {
        let listing = self.client.list(KEY_PREFIX).await?;
        let mut revision = listing.revision;
        self.apply_records(listing.records).await?;
        while *self.follow.borrow_and_update() {
            sleep(self.settings.watch_spacing).await;
            let Some(watched) = self.watch(revision).await? else {
                return Ok(());
            };
            let Watched::Changes {
                revision: new_revision,
                changes,
            } = watched
            else {
                return Ok(());
            };
            if new_revision < revision {
                return Err(store::Error::Refused {
                    cause: "its answer is older than one before".into(),
                });
            }
            revision = new_revision;
            self.apply_changes(changes).await?;
        }
        Ok(())
    }

    /// Waits for changes; nothing when the duty has ended.
    async fn watch(&mut self, after: Revision) -> store::Result<Option<Watched>> {
        let wait = self.settings.watch_wait;
        tokio::select! {
            watched = self.client.watch(KEY_PREFIX, after, wait) => watched.map(Some),
            _ = self.follow.wait_for(|follow| !*follow) => Ok(None),
        }
    }

    async fn apply_changes(&self, changes: Vec<Change>) -> store::Result<()> {
        let mut records = Vec::new();
        for change in changes {
            match change {
                Change::Put(record) => records.push(record),
                Change::Delete { key, .. } => {
                    if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
                        self.driver
                            .apply(|core, now, actions| core.on_store_delete(now, name, actions));
                    }
                }
            }
        }
        self.apply_records(records).await
    }

    async fn apply_records(&self, records: Vec<Record>) -> store::Result<()> {
        let mut instances: Vec<Instance> = Vec::new();
        let mut head = None;
        for record in records {
            if record.key == HEAD_KEY {
                head = parse::<Head>(&record);
            } else if record.key.starts_with(INSTANCE_PREFIX) {
                instances.extend(parse::<Instance>(&record));
            }
        }
        self.driver
            .apply(|core, now, actions| core.on_store_instances(now, instances, actions));
        match head {
            Some(head) => self.load_head(head).await,
            None => Ok(()),
        }
    }

    async fn load_head(&self, head: Head) -> store::Result<()> {
        if head.version < self.driver.read(Core::stamp).version {
            return Ok(());
        }
        let Some(text) = head::read_text(&*self.client, &head).await? else {
            return Err(store::Error::Refused {
                cause: format!("the parts of plan {} are gone", head.version),
            });
        };
        let text = SheetText::new(head.version, text);
        self.driver
            .apply(|core, now, actions| core.on_store_text(now, text, actions));
        Ok(())
    }
}

fn parse<T: serde::de::DeserializeOwned>(record: &Record) -> Option<T> {
    let parsed = serde_json::from_str(&record.value);
    if let Err(error) = &parsed {
        log::warn!("{} in the store is not understood: {error}", record.key);
    }
    parsed.ok()
}
