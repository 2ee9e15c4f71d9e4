//! The operators' records, and the plan they make.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::plan::{Plan, Version};
use crate::store::{Change, Listing, Record};

use super::{PlanSource, RecordError};

/// Records of the operators as the store or another node told them.
///
/// The version of a plan is the revision of the store's newest change to the
/// records, so that nodes can compare what they know.
#[derive(Debug)]
pub struct PlanReplica {
    source: Arc<dyn PlanSource>,
    records: BTreeMap<String, Record>,
    version: Version,
    compiled_version: Option<Version>,
    number: u64,
}

impl PlanReplica {
    /// A ledger that knows nothing yet.
    #[must_use]
    pub fn new(source: Arc<dyn PlanSource>) -> Self {
        Self {
            source,
            records: BTreeMap::new(),
            version: Version::default(),
            compiled_version: None,
            number: 0,
        }
    }

    /// Version of what is known.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// What is known, in the order of the keys.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Takes in all records at once. A listing does not show when a record was
    /// deleted, so one that lacks a record counts as new as the store itself.
    pub fn on_listed(&mut self, listing: Listing) {
        if Version(listing.revision.0) < self.version {
            return;
        }
        let newest_revision = newest_revision(&listing.records);
        let records = records_by_key(listing.records);
        let is_missing = |key: &String| !records.contains_key(key);
        let version = if self.records.keys().any(is_missing) {
            Version(listing.revision.0)
        } else {
            newest_revision
        };
        self.replace_if_newer(version, records);
    }

    /// Takes in what another node knows.
    pub fn merge_from_peer(&mut self, version: Version, records: Vec<Record>) {
        self.replace_if_newer(version, records_by_key(records));
    }

    /// Takes in changes. Those that are part of what is known change nothing.
    pub fn on_changes(&mut self, changes: Vec<Change>) {
        let known_version = self.version;
        for change in changes {
            let revision = match &change {
                Change::Put(record) => record.revision,
                Change::Delete { revision, .. } => *revision,
            };
            if Version(revision.0) <= known_version {
                continue;
            }
            self.version = self.version.max(Version(revision.0));
            match change {
                Change::Put(record) => {
                    self.records.insert(record.key.clone(), record);
                }
                Change::Delete { key, .. } => {
                    self.records.remove(&key);
                }
            }
        }
    }

    /// The plan of the records, unless it is the one taken before.
    ///
    /// # Errors
    ///
    /// Tells which record cannot be read; asked again only when something changed.
    pub fn take_plan(&mut self) -> Result<Option<Plan>, RecordError> {
        if self.compiled_version == Some(self.version) {
            return Ok(None);
        }
        self.compiled_version = Some(self.version);
        let record_values: BTreeMap<String, String> = self
            .records
            .values()
            .map(|record| (record.key.clone(), record.value.clone()))
            .collect();
        let number = self.source.plan_number(&record_values);
        if number < self.number {
            log::warn!(
                "the store holds plan {number}, older than plan {} in force, which stays",
                self.number
            );
            return Ok(None);
        }
        let plan = self.source.compile(self.version, &record_values)?;
        if plan.is_some() {
            self.number = number;
        }
        Ok(plan)
    }

    fn replace_if_newer(&mut self, version: Version, records: BTreeMap<String, Record>) {
        if version > self.version {
            self.version = version;
            self.records = records;
        }
    }
}

fn newest_revision(records: &[Record]) -> Version {
    let revisions = records.iter().map(|record| record.revision);
    Version(revisions.max().unwrap_or_default().0)
}

fn records_by_key(records: Vec<Record>) -> BTreeMap<String, Record> {
    let pairs = records
        .into_iter()
        .map(|record| (record.key.clone(), record));
    pairs.collect()
}
