//! Records in the store that a fleet has been started.
//!
//! After an outage that ended all leases, the store lists as little as it did before the fleet
//! existed. A record without a lease outlives the outage and tells the two apart. It is listed with
//! the announcements, so reading it takes no call of its own, but not watched with them, so writing
//! it wakes nobody. One node writes it, once.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::Shared;
use crate::store::{Client, Expect, Outcome, Write, WriteId};

/// Key of the record, after [`listed_prefix`].
const RECORD_SUFFIX: &str = ".bootstrapped";
/// Value of the record; only its presence counts.
const RECORD_VALUE: &str = "{}";
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Prefix of announcements and of the record; `prefix` is that of announcements alone.
pub(super) fn listed_prefix(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

/// Key of the record.
pub(super) fn key(prefix: &str) -> String {
    format!("{}{RECORD_SUFFIX}", listed_prefix(prefix))
}

/// Task that records the start of the fleet.
pub(super) struct Bootstrap<C> {
    pub(super) prefix: String,
    pub(super) client: Arc<C>,
    pub(super) shared: Arc<Shared>,
}

impl<C: Client> Bootstrap<C> {
    /// Writes the record when it is this node's turn, unless it is in the store already.
    pub(super) async fn run(self) {
        self.shared.wait_until_bootstrap_is_due().await;
        while !self.is_written().await {
            sleep(RETRY_PAUSE).await;
        }
        self.shared.set_bootstrapped();
    }

    /// Whether the record is in the store after an attempt to write it.
    async fn is_written(&self) -> bool {
        let write = Write {
            key: key(&self.prefix),
            value: Some(RECORD_VALUE.to_owned()),
            expect: Expect::Absent,
            lease: None,
            id: WriteId(rand::rng().random()),
        };
        match self.client.write(write).await {
            Ok(Outcome::Applied(_) | Outcome::NotApplied(Some(_))) => true,
            Ok(Outcome::NotApplied(None) | Outcome::Unknown) => false,
            Err(error) => {
                log::debug!("cannot record the start of the fleet: {error}");
                false
            }
        }
    }
}
