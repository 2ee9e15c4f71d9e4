//! Status of roll-outs in the store.

use std::fmt;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::rollout::Status;
use crate::store::{self, Client, Expect, Outcome, Revision, Write, WriteId};

/// Keys and values of the status, as operators read them.
pub trait StatusFormat: fmt::Debug + Send + Sync + 'static {
    /// Key of the status of `service`.
    fn key(&self, service: &str) -> String;

    /// Value that tells `status`.
    fn write(&self, status: &Status) -> String;

    /// Status that `value` tells; `None` if it cannot be read.
    fn read(&self, service: &str, value: &str) -> Option<Status>;
}

/// A status and the revision at which it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredStatus {
    /// The status; `None` if there is none, or none that can be read.
    pub status: Option<Status>,
    /// Revision of the record; `None` if there is none.
    pub revision: Option<Revision>,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Saved {
    /// The status is in the store, at this revision.
    Yes(Revision),
    /// Another status came first.
    Conflict(StoredStatus),
    /// It may have been written.
    Unknown,
}

/// Reads and writes the status of roll-outs.
pub trait StoreStatus: Send + Sync + 'static {
    /// Reads the status of `service`.
    fn load(&self, service: String) -> BoxFuture<'static, store::Result<StoredStatus>>;

    /// Writes a status if the record is still at `expected`.
    fn save(
        &self,
        status: Status,
        expected: Option<Revision>,
    ) -> BoxFuture<'static, store::Result<Saved>>;
}

/// Status of roll-outs in the store that the nodes share.
#[derive(Debug)]
pub struct StatusStore<C> {
    /// Calls of the store.
    pub client: Arc<C>,
    /// Keys and values.
    pub format: Arc<dyn StatusFormat>,
}

impl<C: Client> StoreStatus for StatusStore<C> {
    fn load(&self, service: String) -> BoxFuture<'static, store::Result<StoredStatus>> {
        let client = Arc::clone(&self.client);
        let format = Arc::clone(&self.format);
        async move {
            let record = client.get(&format.key(&service)).await?;
            Ok(stored(format.as_ref(), &service, record))
        }
        .boxed()
    }

    fn save(
        &self,
        status: Status,
        expected: Option<Revision>,
    ) -> BoxFuture<'static, store::Result<Saved>> {
        let client = Arc::clone(&self.client);
        let format = Arc::clone(&self.format);
        let write = Write {
            key: format.key(&status.service),
            value: Some(format.write(&status)),
            expect: expected.map_or(Expect::Absent, Expect::Revision),
            lease: None,
            // Operators read the value, so nothing of the nodes' own stands in it.
            id: WriteId::default(),
        };
        async move {
            Ok(match client.write(write).await? {
                Outcome::Applied(revision) => Saved::Yes(revision),
                Outcome::NotApplied(record) => {
                    Saved::Conflict(stored(format.as_ref(), &status.service, record))
                }
                Outcome::Unknown => Saved::Unknown,
            })
        }
        .boxed()
    }
}

fn stored(format: &dyn StatusFormat, service: &str, record: Option<store::Record>) -> StoredStatus {
    let Some(record) = record else {
        return StoredStatus::default();
    };
    StoredStatus {
        status: format.read(service, &record.value),
        revision: Some(record.revision),
    }
}
