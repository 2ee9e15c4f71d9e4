//! Arbitrary orders of what the store, its watches and other nodes tell.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::plan_replica::{NumberSource, listing, record};
use crate::membership::direct::PlanReplica;
use crate::plan::Version;
use crate::store::{Change, Record, Revision};

const CASES: u32 = 2_000;
const TEXT: &str = "plan/text";
const ZONE: &str = "plan/zone";

fn config() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x006c_6564_6765_7231),
        ..Config::default()
    }
}

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operators write a plan, whose number grows by this.
    Write(u64),
    /// They take a zone out, or back.
    Zone(bool),
    /// A watch tells the changes since its position.
    Watch,
    /// An answer to an earlier watch is taken in once more.
    RewatchFrom(usize),
    /// History was lost, and the records are listed.
    List,
    /// A list that was asked for earlier arrives now.
    LateList(usize),
    /// Another node tells what it knew so many revisions ago.
    PeerRecords(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..4_u64).prop_map(Step::Write),
        any::<bool>().prop_map(Step::Zone),
        Just(Step::Watch),
        (0..6_usize).prop_map(Step::RewatchFrom),
        Just(Step::List),
        (0..6_usize).prop_map(Step::LateList),
        (0..6_usize).prop_map(Step::PeerRecords),
    ];
    prop::collection::vec(step, 1..40)
}

/// The store, with every state that it has been in.
#[derive(Debug)]
struct Store {
    number: u64,
    changes: Vec<Change>,
    states: Vec<Vec<Record>>,
}

impl Store {
    fn new() -> Self {
        let first = record(TEXT, "1", 1);
        Self {
            number: 1,
            changes: vec![Change::Put(first.clone())],
            states: vec![vec![first]],
        }
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        let revision = self.revision() + 1;
        let mut state = self.states.last().cloned().unwrap_or_default();
        let known = state.len();
        state.retain(|record| record.key != key);
        if value.is_none() && state.len() == known {
            return;
        }
        let change = match value {
            Some(value) => {
                let written = record(key, &value, revision);
                state.push(written.clone());
                Change::Put(written)
            }
            None => Change::Delete {
                key: key.into(),
                revision: Revision(revision),
            },
        };
        self.changes.push(change);
        self.states.push(state);
    }

    /// The state so many revisions ago, or the first one.
    fn state_index(&self, revisions_ago: usize) -> usize {
        self.states.len() - 1 - revisions_ago.min(self.states.len() - 1)
    }
}

/// A node that follows the store.
#[derive(Debug)]
struct Node {
    plan_replica: PlanReplica,
    position: usize,
    number: u64,
    version: Version,
}

impl Node {
    fn new(store: &Store) -> Self {
        let mut node = Self {
            plan_replica: PlanReplica::new(Arc::new(NumberSource)),
            position: 0,
            number: 0,
            version: Version::default(),
        };
        node.list(store, 0);
        node
    }

    fn list(&mut self, store: &Store, state: usize) {
        let revision = state as u64 + 1;
        self.plan_replica
            .on_listed(listing(revision, store.states[state].clone()));
        self.position = self.position.max(state + 1);
    }

    fn apply(&mut self, store: &mut Store, step: Step) {
        match step {
            Step::Write(more) => {
                store.number += more;
                store.write(TEXT, Some(store.number.to_string()));
            }
            Step::Zone(out) => store.write(ZONE, out.then(|| "out".to_owned())),
            Step::Watch => {
                self.plan_replica
                    .on_changes(store.changes[self.position..].to_vec());
                self.position = store.changes.len();
            }
            Step::RewatchFrom(revisions_ago) => {
                let from = self.position.saturating_sub(revisions_ago);
                let changes = store.changes[from..self.position].to_vec();
                self.plan_replica.on_changes(changes);
            }
            Step::List => self.list(store, store.states.len() - 1),
            Step::LateList(revisions_ago) => {
                let state = store.state_index(revisions_ago);
                self.plan_replica
                    .on_listed(listing(state as u64 + 1, store.states[state].clone()));
            }
            Step::PeerRecords(revisions_ago) => {
                let state = store.state_index(revisions_ago);
                let records = store.states[state].clone();
                self.plan_replica
                    .merge_from_peer(Version(state as u64 + 1), records);
            }
        }
    }

    /// What is in force now; it must not be older than what was before.
    fn check_plan(&mut self) {
        let plan = self.plan_replica.take_plan().expect("it can be read");
        let Some(plan) = plan else { return };
        let records = self.plan_replica.records();
        let text = records.iter().find(|record| record.key == TEXT);
        let number = text.and_then(|record| record.value.parse().ok());
        let number = number.expect("a number");
        assert!(number >= self.number, "{number} after {}", self.number);
        assert!(plan.version >= self.version, "{:?}", plan.version);
        self.number = number;
        self.version = plan.version;
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_order_brings_an_older_plan_or_hides_the_newest(steps in steps()) {
        let mut store = Store::new();
        let mut node = Node::new(&store);
        for step in steps {
            node.apply(&mut store, step);
            node.check_plan();
        }
        node.apply(&mut store, Step::Watch);
        node.check_plan();
        prop_assert_eq!(node.number, store.number);
        let mut replicated = node.plan_replica.records();
        let mut stored = store.states.last().cloned().unwrap_or_default();
        replicated.sort_by(|one, other| one.key.cmp(&other.key));
        stored.sort_by(|one, other| one.key.cmp(&other.key));
        prop_assert_eq!(replicated, stored);
    }
}
