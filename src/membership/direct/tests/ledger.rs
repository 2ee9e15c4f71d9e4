use std::collections::BTreeMap;
use std::sync::Arc;

use crate::membership::direct::{Ledger, Source, Unreadable};
use crate::plan::{Plan, Version};
use crate::store::{Change, Listing, Record, Revision, WriteId};

/// Reads a plan that is only its number.
#[derive(Debug)]
pub(super) struct Numbers;

impl Source for Numbers {
    fn prefix(&self) -> &'static str {
        "plan/"
    }

    fn plan(
        &self,
        version: Version,
        records: &BTreeMap<String, String>,
    ) -> Result<Option<Plan>, Unreadable> {
        let Some(text) = records.get("plan/text") else {
            return Ok(None);
        };
        text.parse::<u64>().map_err(|error| Unreadable {
            key: "plan/text".into(),
            cause: error.to_string(),
        })?;
        Ok(Some(Plan {
            version,
            ..Plan::default()
        }))
    }

    fn number(&self, records: &BTreeMap<String, String>) -> u64 {
        let text = records.get("plan/text");
        text.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX)
    }
}

pub(super) fn record(key: &str, value: &str, revision: u64) -> Record {
    Record {
        key: key.into(),
        value: value.into(),
        revision: Revision(revision),
        write_id: WriteId(0),
        lease: None,
    }
}

pub(super) fn listing(revision: u64, records: Vec<Record>) -> Listing {
    Listing {
        revision: Revision(revision),
        records,
    }
}

fn ledger(text: &str) -> Ledger {
    let mut ledger = Ledger::new(Arc::new(Numbers));
    ledger.listed(listing(10, vec![record("plan/text", text, 4)]));
    ledger
}

fn put(ledger: &mut Ledger, revision: u64, key: &str, value: &str) {
    let change = Change::Put(record(key, value, revision));
    ledger.changed(vec![change]);
}

fn version(ledger: &mut Ledger) -> Option<u64> {
    let plan = ledger.take_plan().expect("it can be read");
    plan.map(|plan| plan.version.0)
}

fn unreadable_record_changes_nothing() {
    let mut ledger = ledger("7");
    assert_eq!(version(&mut ledger), Some(4));
    put(&mut ledger, 11, "plan/text", "seven");
    assert!(ledger.take_plan().is_err());
    assert_eq!(ledger.take_plan(), Ok(None));
    put(&mut ledger, 12, "plan/text", "8");
    assert_eq!(version(&mut ledger), Some(12));
}

fn plan_never_goes_back() {
    let mut ledger = ledger("7");
    assert_eq!(version(&mut ledger), Some(4));
    put(&mut ledger, 11, "plan/text", "6");
    assert_eq!(version(&mut ledger), None);
    put(&mut ledger, 12, "plan/text", "9");
    assert_eq!(version(&mut ledger), Some(12));
}

fn older_listing_is_ignored() {
    let mut ledger = ledger("7");
    put(&mut ledger, 12, "plan/text", "8");
    ledger.listed(listing(11, vec![record("plan/text", "7", 4)]));
    assert_eq!(version(&mut ledger), Some(12));
}

fn listing_that_lacks_a_record() {
    let mut ledger = ledger("7");
    put(&mut ledger, 12, "plan/zone", "out");
    assert_eq!(version(&mut ledger), Some(12));
    ledger.listed(listing(20, vec![record("plan/text", "7", 4)]));
    assert_eq!(version(&mut ledger), Some(20));
    assert_eq!(ledger.records().len(), 1);
}

fn told_by_another_node() {
    let mut ledger = ledger("7");
    ledger.told(Version(15), vec![record("plan/text", "9", 14)]);
    assert_eq!(version(&mut ledger), Some(15));
    put(&mut ledger, 14, "plan/text", "9");
    put(&mut ledger, 13, "plan/zone", "out");
    assert_eq!(version(&mut ledger), None);
    ledger.told(Version(11), vec![record("plan/text", "8", 11)]);
    assert_eq!(version(&mut ledger), None);
}

fn other_record_makes_a_new_version() {
    let mut ledger = ledger("7");
    assert_eq!(version(&mut ledger), Some(4));
    put(&mut ledger, 13, "plan/zone", "out");
    assert_eq!(version(&mut ledger), Some(13));
    let gone = Change::Delete {
        key: "plan/zone".into(),
        revision: Revision(15),
    };
    ledger.changed(vec![gone]);
    assert_eq!(version(&mut ledger), Some(15));
}

cases! {
    listing_shows_that_a_record_was_deleted: listing_that_lacks_a_record();
    other_node_tells_what_the_store_will_tell_late: told_by_another_node();
    version_is_the_revision_of_the_newest_change: assert_eq!(version(&mut ledger("7")), Some(4));
    same_records_make_no_new_plan: {
        let mut ledger = ledger("7");
        assert_eq!(version(&mut ledger), Some(4));
        ledger.listed(listing(12, vec![record("plan/text", "7", 4)]));
        assert_eq!(version(&mut ledger), None);
    };
    unreadable_record_leaves_the_plan_in_force: unreadable_record_changes_nothing();
    lower_number_is_never_taken: plan_never_goes_back();
    listing_older_than_what_is_known_is_ignored: older_listing_is_ignored();
    zone_that_goes_out_and_returns_makes_new_versions: other_record_makes_a_new_version();
}
