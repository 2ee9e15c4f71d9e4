//! What the other slices hold of membership.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};

use super::ClusterSnapshot;

/// Shared access to the newest [`ClusterSnapshot`].
#[derive(Clone, Debug)]
pub struct Handle {
    current: Arc<ArcSwap<ClusterSnapshot>>,
    change_watch: watch::Receiver<()>,
    suspicion_sender: mpsc::Sender<String>,
}

impl Handle {
    pub(super) const fn new(
        current: Arc<ArcSwap<ClusterSnapshot>>,
        change_watch: watch::Receiver<()>,
        suspicion_sender: mpsc::Sender<String>,
    ) -> Self {
        Self {
            current,
            change_watch,
            suspicion_sender,
        }
    }

    /// A handle whose snapshot stays the same, for tests.
    #[cfg(test)]
    pub(crate) fn fixed(
        snapshot: ClusterSnapshot,
        change_watch: watch::Receiver<()>,
        suspicion_sender: mpsc::Sender<String>,
    ) -> Self {
        let current = Arc::new(ArcSwap::from_pointee(snapshot));
        Self::new(current, change_watch, suspicion_sender)
    }

    /// The newest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ClusterSnapshot> {
        self.current.load_full()
    }

    /// Returns when the snapshot has changed since the last return.
    pub async fn changed(&mut self) {
        if self.change_watch.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reports that the link to `instance` is dead or refused.
    pub fn suspect(&self, instance: &str) {
        // When the queue is full, the same suspicion is already in it or is
        // raised again by the next call.
        let _ = self.suspicion_sender.try_send(instance.to_owned());
    }
}

/// The side that changes the snapshot.
#[derive(Debug)]
pub(super) struct Publisher {
    current: Arc<ArcSwap<ClusterSnapshot>>,
    change_sender: watch::Sender<()>,
}

impl Publisher {
    pub(super) fn new() -> Self {
        Self {
            current: Arc::default(),
            change_sender: watch::Sender::new(()),
        }
    }

    pub(super) fn handle(&self, suspicion_sender: mpsc::Sender<String>) -> Handle {
        Handle::new(
            Arc::clone(&self.current),
            self.change_sender.subscribe(),
            suspicion_sender,
        )
    }

    pub(super) fn publish(&self, snapshot: ClusterSnapshot) {
        self.current.store(Arc::new(snapshot));
        self.change_sender.send_replace(());
    }
}
