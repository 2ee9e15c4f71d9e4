use std::collections::BTreeMap;
use std::sync::Arc;

use crate::membership::direct::{PlanReplica, PlanSource, RecordError};
use crate::plan::{Plan, Version};
use crate::store::{Change, Listing, Record, Revision, WriteId};

/// Reads a plan that is only its number.
#[derive(Debug)]
pub(super) struct NumberSource;

impl PlanSource for NumberSource {
    fn prefix(&self) -> &'static str {
        "plan/"
    }

    fn compile(
        &self,
        version: Version,
        records: &BTreeMap<String, String>,
    ) -> Result<Option<Plan>, RecordError> {
        let Some(text) = records.get("plan/text") else {
            return Ok(None);
        };
        text.parse::<u64>().map_err(|error| RecordError {
            key: "plan/text".into(),
            cause: error.to_string(),
        })?;
        Ok(Some(Plan {
            version,
            ..Plan::default()
        }))
    }

    fn plan_number(&self, records: &BTreeMap<String, String>) -> u64 {
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

fn plan_replica(text: &str) -> PlanReplica {
    let mut plan_replica = PlanReplica::new(Arc::new(NumberSource));
    plan_replica.on_listed(listing(10, vec![record("plan/text", text, 4)]));
    plan_replica
}

fn put(plan_replica: &mut PlanReplica, revision: u64, key: &str, value: &str) {
    let change = Change::Put(record(key, value, revision));
    plan_replica.on_changes(vec![change]);
}

fn version(plan_replica: &mut PlanReplica) -> Option<u64> {
    let plan = plan_replica.take_plan().expect("it can be read");
    plan.map(|plan| plan.version.0)
}

fn unreadable_record_changes_nothing() {
    let mut plan_replica = plan_replica("7");
    assert_eq!(version(&mut plan_replica), Some(4));
    put(&mut plan_replica, 11, "plan/text", "seven");
    assert!(plan_replica.take_plan().is_err());
    assert_eq!(plan_replica.take_plan(), Ok(None));
    put(&mut plan_replica, 12, "plan/text", "8");
    assert_eq!(version(&mut plan_replica), Some(12));
}

fn plan_never_goes_back() {
    let mut plan_replica = plan_replica("7");
    assert_eq!(version(&mut plan_replica), Some(4));
    put(&mut plan_replica, 11, "plan/text", "6");
    assert_eq!(version(&mut plan_replica), None);
    put(&mut plan_replica, 12, "plan/text", "9");
    assert_eq!(version(&mut plan_replica), Some(12));
}

fn older_listing_is_ignored() {
    let mut plan_replica = plan_replica("7");
    put(&mut plan_replica, 12, "plan/text", "8");
    plan_replica.on_listed(listing(11, vec![record("plan/text", "7", 4)]));
    assert_eq!(version(&mut plan_replica), Some(12));
}

fn listing_that_lacks_a_record() {
    let mut plan_replica = plan_replica("7");
    put(&mut plan_replica, 12, "plan/zone", "out");
    assert_eq!(version(&mut plan_replica), Some(12));
    plan_replica.on_listed(listing(20, vec![record("plan/text", "7", 4)]));
    assert_eq!(version(&mut plan_replica), Some(20));
    assert_eq!(plan_replica.records().len(), 1);
}

fn records_from_another_node() {
    let mut plan_replica = plan_replica("7");
    plan_replica.merge_from_peer(Version(15), vec![record("plan/text", "9", 14)]);
    assert_eq!(version(&mut plan_replica), Some(15));
    put(&mut plan_replica, 14, "plan/text", "9");
    put(&mut plan_replica, 13, "plan/zone", "out");
    assert_eq!(version(&mut plan_replica), None);
    plan_replica.merge_from_peer(Version(11), vec![record("plan/text", "8", 11)]);
    assert_eq!(version(&mut plan_replica), None);
}

fn other_record_makes_a_new_version() {
    let mut plan_replica = plan_replica("7");
    assert_eq!(version(&mut plan_replica), Some(4));
    put(&mut plan_replica, 13, "plan/zone", "out");
    assert_eq!(version(&mut plan_replica), Some(13));
    let gone = Change::Delete {
        key: "plan/zone".into(),
        revision: Revision(15),
    };
    plan_replica.on_changes(vec![gone]);
    assert_eq!(version(&mut plan_replica), Some(15));
}

/// A replica at plan 7 of era 0, with a zone that is out.
fn with_zone_out() -> PlanReplica {
    let mut replica = PlanReplica::new(Arc::new(NumberSource));
    let records = vec![
        record("plan/text", "7", 400),
        record("plan/out/a", "{}", 410),
    ];
    replica.on_listed(listing(410, records));
    replica
        .take_plan()
        .expect("it can be read")
        .expect("a plan");
    replica
}

fn in_era(number: u64) -> u64 {
    Revision::in_era(1, number).0
}

/// Plans of the listing of a store that came back with these records, at a lower number.
fn after_return(records: Vec<Record>) -> (PlanReplica, Result<Option<Plan>, RecordError>) {
    let mut replica = with_zone_out();
    replica.on_listed(listing(in_era(390), records));
    let plan = replica.take_plan();
    (replica, plan)
}

fn keys(replica: &PlanReplica) -> Vec<String> {
    replica
        .records()
        .into_iter()
        .map(|record| record.key)
        .collect()
}

/// Guards against an older plan that a copy brings back.
fn older_plan_of_a_copy_is_refused() {
    let (mut replica, plan) = after_return(vec![record("plan/text", "6", in_era(380))]);
    assert_eq!(plan, Ok(None));
    let newer = record("plan/text", "7", in_era(395));
    replica.on_changes(vec![Change::Put(newer)]);
    let plan = replica.take_plan().expect("it can be read");
    assert_eq!(plan.map(|plan| plan.version), Some(Version(in_era(395))));
}

/// Guards against a zone that is back in service because the copy does not know better.
fn record_that_the_copy_lacks_is_kept() {
    let (mut replica, _) = after_return(vec![record("plan/text", "7", in_era(380))]);
    assert_eq!(keys(&replica), ["plan/out/a", "plan/text"]);
    assert!(replica.has_earlier_era());
    let again = vec![record("plan/text", "7", in_era(380))];
    replica.on_listed(listing(in_era(400), again));
    assert_eq!(keys(&replica), ["plan/out/a", "plan/text"]);
    replica.remove_earlier_era();
    assert_eq!(keys(&replica), ["plan/text"]);
    assert!(replica.take_plan().expect("it can be read").is_some());
}

fn record_that_is_written_again_is_not_given_up() {
    let (mut replica, _) = after_return(vec![record("plan/text", "7", in_era(380))]);
    let again = record("plan/out/a", "{}", in_era(391));
    replica.on_changes(vec![Change::Put(again)]);
    assert!(!replica.has_earlier_era());
}

/// Guards against a late answer of the era before.
fn listing_of_the_earlier_era_is_ignored() {
    let (mut replica, _) = after_return(vec![record("plan/text", "7", in_era(380))]);
    replica.on_listed(listing(9_000, vec![record("plan/text", "3", 9_000)]));
    assert_eq!(replica.version(), Version(in_era(390)));
}

cases! {
    copy_brings_no_older_plan_back: older_plan_of_a_copy_is_refused();
    zone_out_outlives_a_copy_that_lacks_it: record_that_the_copy_lacks_is_kept();
    record_written_again_is_of_the_new_era: record_that_is_written_again_is_not_given_up();
    late_listing_of_the_earlier_era_is_ignored: listing_of_the_earlier_era_is_ignored();
    listing_shows_that_a_record_was_deleted: listing_that_lacks_a_record();
    other_node_tells_what_the_store_will_tell_late: records_from_another_node();
    version_is_the_revision_of_the_newest_change: assert_eq!(version(&mut plan_replica("7")), Some(4));
    same_records_make_no_new_plan: {
        let mut plan_replica = plan_replica("7");
        assert_eq!(version(&mut plan_replica), Some(4));
        plan_replica.on_listed(listing(12, vec![record("plan/text", "7", 4)]));
        assert_eq!(version(&mut plan_replica), None);
    };
    unreadable_record_leaves_the_plan_in_force: unreadable_record_changes_nothing();
    lower_number_is_never_taken: plan_never_goes_back();
    listing_older_than_what_is_known_is_ignored: older_listing_is_ignored();
    zone_that_goes_out_and_returns_makes_new_versions: other_record_makes_a_new_version();
}
