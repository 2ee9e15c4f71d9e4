//! The platform's key-value service.
//!
//! Everything that must last lives there. [`Client`] is the only way to it, so
//! a platform with another protocol needs one other implementation. A write
//! has three outcomes, and [`Outcome::Unknown`] is settled by reading back the
//! [`WriteId`], never by writing again.

mod error;
pub mod http;
pub mod protocol;

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use error::Error;

/// Result of a store call.
pub type Result<T> = std::result::Result<T, Error>;

/// Bits of a revision that count within an era.
const ERA_SHIFT: u32 = 44;

/// Position of a change in the store: its era, then its number within the era.
///
/// A store that comes back from an older copy begins a new era and gives numbers out again. A
/// store without eras stays in era 0, where the position is the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The change with this number in an era.
    #[must_use]
    pub const fn in_era(era: u32, number: u64) -> Self {
        Self((era as u64) << ERA_SHIFT | number)
    }

    /// The era.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)] // 20 bits are left.
    pub const fn era(self) -> u32 {
        (self.0 >> ERA_SHIFT) as u32
    }

    /// The number within the era.
    #[must_use]
    pub const fn within_era(self) -> u64 {
        self.0 & ((1 << ERA_SHIFT) - 1)
    }
}

/// Chosen by the writer and stored with the value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// Names a lease; keys written under it vanish when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Lease(pub u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Path-like name.
    pub key: String,
    /// At most a megabyte of text.
    pub value: String,
    /// Revision of the last write to this key.
    pub revision: Revision,
    /// Who wrote it.
    pub write_id: WriteId,
    /// Lease under which it was written.
    #[serde(default)]
    pub lease: Option<Lease>,
}

/// Records under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole store when it was read.
    pub revision: Revision,
    /// Records in the order of their keys.
    pub records: Vec<Record>,
}

/// One change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// A key was written.
    Put(Record),
    /// A key was deleted, or its lease lapsed.
    Delete {
        /// Key that is gone.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// What a watch returns.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Watched {
    /// Changes after the revision asked for; empty when the wait ran out.
    Changes {
        /// Revision to continue from.
        revision: Revision,
        /// Changes in order.
        changes: Vec<Change>,
    },
    /// The store no longer holds that history: list again.
    Compacted,
}

/// A write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key to write.
    pub key: String,
    /// New value; deletes the key when absent.
    pub value: Option<String>,
    /// What must hold of the key.
    pub expect: Expect,
    /// Lease the key lives under.
    pub lease: Option<Lease>,
    /// Fresh for every attempt to change something.
    pub id: WriteId,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// Write whatever is there.
    Anything,
    /// The key must not exist.
    Absent,
    /// The key's last write must be this one.
    Revision(Revision),
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Applied(Revision),
    /// It did not take effect; what is there instead.
    NotApplied(Option<Record>),
    /// It may have taken effect.
    Unknown,
}

/// Calls of the key-value service.
pub trait Client: Send + Sync + 'static {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Record>>> + Send;

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing>> + Send;

    /// Writes one key.
    ///
    /// # Errors
    ///
    /// Fails only when the write certainly had no effect.
    fn write(&self, write: Write) -> impl Future<Output = Result<Outcome>> + Send;

    /// Takes a new lease.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease>> + Send;

    /// Extends a lease by its time to live. Tells whether it still existed.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<bool>> + Send;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<()>> + Send;

    /// Waits up to `wait` for changes under `prefix` after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached in time or refuses the call.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched>> + Send;
}
