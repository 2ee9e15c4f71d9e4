//! Records in the store that a fleet has been started.
//!
//! After an outage that ended all leases, the store lists as little as it did before the fleet
//! existed. A record without a lease outlives the outage and tells the two apart. It is listed with
//! the announcements, so reading it takes no call of its own, but not watched with them, so writing
//! it wakes nobody. The node that ranks first writes it, once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;
use tokio::time::sleep;

use super::Shared;
use crate::membership::{Instance, InstanceId};
use crate::store::{Client, Expect, Listing, Outcome, Write, WriteId};

/// Key of the record, after [`listed_prefix`].
const RECORD_SUFFIX: &str = ".bootstrapped";
/// Value of the record; only its presence counts.
const RECORD_VALUE: &str = "{}";
/// Topic of the ranking; another topic would rank the nodes in another order.
const TOPIC: &str = "bootstrap";
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Prefix of announcements and of the record; `prefix` is that of announcements alone.
pub(super) fn listed_prefix(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

/// What a node knows of the first start of its fleet.
#[derive(Debug)]
pub(super) struct Start {
    /// Key of the record.
    key: String,
    /// Whether the fleet had been started before this node listed it for the first time.
    is_earlier: AtomicBool,
    /// Who writes the record.
    duty: watch::Sender<Duty>,
}

/// Whether this node is to write the record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Duty {
    /// Another node ranks before this one.
    #[default]
    Others,
    /// This node ranks first.
    Own,
    /// The record is in the store.
    Done,
}

impl Start {
    /// Nothing is known of a fleet with this prefix of announcements.
    pub(super) fn new(prefix: &str) -> Self {
        Self {
            key: format!("{}{RECORD_SUFFIX}", listed_prefix(prefix)),
            is_earlier: AtomicBool::new(false),
            duty: watch::Sender::default(),
        }
    }

    /// Whether the fleet had been started before this node listed it for the first time.
    pub(super) fn is_earlier(&self) -> bool {
        self.is_earlier.load(Ordering::Relaxed)
    }

    /// Takes in a listing of announcements, and whether it is the first since the start of the node.
    pub(super) fn on_listed(&self, listing: &Listing, is_first: bool) {
        if listing.records.iter().any(|record| record.key == self.key) {
            self.duty.send_replace(Duty::Done);
            self.is_earlier.fetch_or(is_first, Ordering::Relaxed);
        }
    }

    /// Makes the record the duty of the node `name` if it ranks before all `announced` ones.
    pub(super) fn assign<'a>(&self, name: &str, announced: impl Iterator<Item = &'a Instance>) {
        let topic = InstanceId::of(TOPIC);
        let rank = |name: &str| InstanceId::of(name).score(topic);
        let mut others = announced.filter(|node| node.name != name);
        let is_first = others.all(|node| rank(&node.name) < rank(name));
        if is_first && *self.duty.borrow() == Duty::Others {
            self.duty.send_replace(Duty::Own);
        }
    }

    /// Waits until this node is to write the record.
    async fn wait_until_due(&self) {
        let mut duty = self.duty.subscribe();
        // The sender lives as long as this does.
        let _ = duty.wait_for(|duty| *duty == Duty::Own).await;
    }
}

/// Task that writes the record.
pub(super) struct Bootstrap<C> {
    pub(super) client: Arc<C>,
    pub(super) shared: Arc<Shared>,
}

impl<C: Client> Bootstrap<C> {
    /// Writes the record when it is this node's turn, unless it is in the store already.
    pub(super) async fn run(self) {
        let start = &self.shared.start;
        start.wait_until_due().await;
        while !self.is_written(&start.key).await {
            sleep(RETRY_PAUSE).await;
        }
        start.duty.send_replace(Duty::Done);
    }

    /// Whether the record is in the store after an attempt to write it.
    async fn is_written(&self, key: &str) -> bool {
        let write = Write {
            key: key.to_owned(),
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
