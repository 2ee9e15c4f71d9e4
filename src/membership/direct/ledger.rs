//! The operators' records, and the plan they make.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::plan::{Plan, Version};
use crate::store::{Change, Listing, Record, Revision};

use super::{Source, Unreadable};

/// Records of the operators as the store told them.
///
/// The version of a plan is the revision of the store at which its records were
/// known to be current, so that nodes can compare what they know.
#[derive(Debug)]
pub struct Ledger {
    source: Arc<dyn Source>,
    records: BTreeMap<String, String>,
    revision: Revision,
    compiled: Option<BTreeMap<String, String>>,
    number: u64,
}

impl Ledger {
    /// A ledger that knows nothing yet.
    #[must_use]
    pub fn new(source: Arc<dyn Source>) -> Self {
        Self {
            source,
            records: BTreeMap::new(),
            revision: Revision::default(),
            compiled: None,
            number: 0,
        }
    }

    /// Takes in all records at once.
    pub fn listed(&mut self, listing: Listing) {
        if listing.revision < self.revision {
            return;
        }
        self.revision = listing.revision;
        let records = listing.records.into_iter();
        self.records = records.map(|record| (record.key, record.value)).collect();
    }

    /// Takes in changes up to `revision`.
    pub fn changed(&mut self, revision: Revision, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(Record { key, value, .. }) => {
                    self.records.insert(key, value);
                }
                Change::Delete { key, .. } => {
                    self.records.remove(&key);
                }
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// The plan of the records, unless it is the one taken before.
    ///
    /// # Errors
    ///
    /// Tells which record cannot be read; asked again only when something changed.
    pub fn take_plan(&mut self) -> Result<Option<Plan>, Unreadable> {
        if self.compiled.as_ref() == Some(&self.records) {
            return Ok(None);
        }
        self.compiled = Some(self.records.clone());
        let number = self.source.number(&self.records);
        if number < self.number {
            log::warn!(
                "the store holds plan {number}, older than plan {} in force, which stays",
                self.number
            );
            return Ok(None);
        }
        let plan = self.source.plan(Version(self.revision.0), &self.records)?;
        if plan.is_some() {
            self.number = number;
        }
        Ok(plan)
    }
}
