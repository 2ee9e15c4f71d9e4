//! Arbitrary orders of what the store, its watches and other nodes tell.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::ledger::{Numbers, listing, record};
use crate::membership::direct::Ledger;
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
    Again(usize),
    /// History was lost, and the records are listed.
    List,
    /// A list that was asked for earlier arrives now.
    LateList(usize),
    /// Another node tells what it knew so many revisions ago.
    Told(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..4_u64).prop_map(Step::Write),
        any::<bool>().prop_map(Step::Zone),
        Just(Step::Watch),
        (0..6_usize).prop_map(Step::Again),
        Just(Step::List),
        (0..6_usize).prop_map(Step::LateList),
        (0..6_usize).prop_map(Step::Told),
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
    fn before(&self, ago: usize) -> usize {
        self.states.len() - 1 - ago.min(self.states.len() - 1)
    }
}

/// A node that follows the store.
#[derive(Debug)]
struct Node {
    ledger: Ledger,
    position: usize,
    number: u64,
    version: Version,
}

impl Node {
    fn new(store: &Store) -> Self {
        let mut node = Self {
            ledger: Ledger::new(Arc::new(Numbers)),
            position: 0,
            number: 0,
            version: Version::default(),
        };
        node.list(store, 0);
        node
    }

    fn list(&mut self, store: &Store, state: usize) {
        let revision = state as u64 + 1;
        self.ledger
            .listed(listing(revision, store.states[state].clone()));
        self.position = self.position.max(state + 1);
    }

    fn take(&mut self, store: &mut Store, step: Step) {
        match step {
            Step::Write(more) => {
                store.number += more;
                store.write(TEXT, Some(store.number.to_string()));
            }
            Step::Zone(out) => store.write(ZONE, out.then(|| "out".to_owned())),
            Step::Watch => {
                self.ledger.changed(store.changes[self.position..].to_vec());
                self.position = store.changes.len();
            }
            Step::Again(ago) => {
                let from = self.position.saturating_sub(ago);
                let told = store.changes[from..self.position].to_vec();
                self.ledger.changed(told);
            }
            Step::List => self.list(store, store.states.len() - 1),
            Step::LateList(ago) => {
                let state = store.before(ago);
                self.ledger
                    .listed(listing(state as u64 + 1, store.states[state].clone()));
            }
            Step::Told(ago) => {
                let state = store.before(ago);
                let records = store.states[state].clone();
                self.ledger.told(Version(state as u64 + 1), records);
            }
        }
    }

    /// What is in force now; it must not be older than what was before.
    fn settle(&mut self) {
        let plan = self.ledger.take_plan().expect("it can be read");
        let Some(plan) = plan else { return };
        let records = self.ledger.records();
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
            node.take(&mut store, step);
            node.settle();
        }
        node.take(&mut store, Step::Watch);
        node.settle();
        prop_assert_eq!(node.number, store.number);
        let mut held = node.ledger.records();
        let mut stored = store.states.last().cloned().unwrap_or_default();
        held.sort_by(|one, other| one.key.cmp(&other.key));
        stored.sort_by(|one, other| one.key.cmp(&other.key));
        prop_assert_eq!(held, stored);
    }
}
