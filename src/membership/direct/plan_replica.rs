//! Local replica of the operators' records, and the plan compiled from them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::plan::{Plan, Version};
use crate::store::{Change, Listing, Record, Revision};

use super::{PlanSource, RecordError};

/// Records of the operators, received from the store or from a peer.
///
/// The version of a plan is the revision of the store's newest change to the
/// records, so that nodes can compare their versions.
#[derive(Debug)]
pub struct PlanReplica {
    source: Arc<dyn PlanSource>,
    records: BTreeMap<String, Record>,
    version: Version,
    compiled_version: Option<Version>,
    number: u64,
}

impl PlanReplica {
    /// A ledger without records.
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

    /// Version of the records.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// All records in key order.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Applies a full listing. It does not show when a record was deleted, so if a known record is
    /// missing, the version is the revision of the store.
    pub fn on_listed(&mut self, listing: Listing) {
        if Version(listing.revision.0) < self.version {
            return;
        }
        let newest_revision = newest_revision(&listing.records);
        let mut records = records_by_key(listing.records);
        if listing.revision.era() > Revision(self.version.0).era() {
            return self.enter_era(listing.revision, records);
        }
        self.keep_earlier_era(&mut records);
        let is_missing = |key: &String| !records.contains_key(key);
        let version = if self.records.keys().any(is_missing) {
            Version(listing.revision.0)
        } else {
            newest_revision
        };
        self.replace_if_newer(version, records);
    }

    /// Takes in the listing of a store that came back from an older copy. Records that the copy
    /// lacks are kept, because the operators write them again.
    fn enter_era(&mut self, revision: Revision, mut records: BTreeMap<String, Record>) {
        for (key, record) in &self.records {
            records.entry(key.clone()).or_insert_with(|| record.clone());
        }
        self.version = Version(revision.0);
        self.records = records;
    }

    /// Keeps records of an earlier era, which no listing of this one can hold.
    fn keep_earlier_era(&self, records: &mut BTreeMap<String, Record>) {
        let era = Revision(self.version.0).era();
        let earlier = self
            .records
            .iter()
            .filter(|(_, record)| record.revision.era() < era);
        for (key, record) in earlier {
            records.entry(key.clone()).or_insert_with(|| record.clone());
        }
    }

    /// Whether records of an earlier era are kept.
    #[must_use]
    pub fn has_earlier_era(&self) -> bool {
        let era = Revision(self.version.0).era();
        self.records
            .values()
            .any(|record| record.revision.era() < era)
    }

    /// Gives up the records of earlier eras, which the operators have not written again. The next
    /// [`Self::take_plan`] compiles the rest.
    pub fn remove_earlier_era(&mut self) {
        let era = Revision(self.version.0).era();
        self.records
            .retain(|_, record| record.revision.era() >= era);
        self.compiled_version = None;
    }

    /// Replaces the records by those of a peer if they are newer.
    pub fn merge_from_peer(&mut self, version: Version, records: Vec<Record>) {
        self.replace_if_newer(version, records_by_key(records));
    }

    /// Applies changes from a watch; those not newer than the current version are ignored.
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

    /// Compiles the plan if the records have changed since the last call.
    ///
    /// # Errors
    ///
    /// Returns the record that cannot be parsed, once for each version.
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
