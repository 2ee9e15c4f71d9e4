//! Arbitrary orders of reports, farewells, answers and restarts.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{NOW_MS, address, health, report};
use crate::backend::registry::{Presence, Reaction, Report};

const CASES: u32 = 2_000;

fn config() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x7072_6573_656e_6365),
        ..Config::default()
    }
}

/// One thing that a node learns; calls may arrive late, twice or never.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A report of a start of a process.
    Report {
        process: &'static str,
        born_ms: u64,
        sequence: u64,
        leaving: bool,
    },
    /// A farewell, which may name the start.
    Leave {
        process: &'static str,
        born_ms: Option<u64>,
    },
    /// An answer of the health endpoint.
    Probed(&'static str),
    /// A call reached another process.
    Misdirected,
    /// The node starts again and recalls what it acknowledged last.
    Restart,
}

fn process() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a", "b"])
}

fn born_ms() -> impl Strategy<Value = u64> {
    prop::sample::select(vec![1_000, 2_000, 3_000])
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let report = (process(), born_ms(), 1..6_u64, any::<bool>()).prop_map(
        |(process, born_ms, sequence, leaving)| Step::Report {
            process,
            born_ms,
            sequence,
            leaving,
        },
    );
    let leave = (process(), prop::option::of(born_ms()))
        .prop_map(|(process, born_ms)| Step::Leave { process, born_ms });
    let step = prop_oneof![
        4 => report,
        2 => leave,
        2 => process().prop_map(Step::Probed),
        1 => Just(Step::Misdirected),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..30)
}

/// The node, and the latest start of each process whose leaving it acknowledged.
struct Node {
    presence: Presence,
    left: BTreeMap<&'static str, u64>,
}

impl Node {
    fn new() -> Self {
        Self {
            presence: Presence::new(address()),
            left: BTreeMap::new(),
        }
    }

    fn acknowledge(&mut self, process: &'static str, born_ms: u64) {
        let left = self.left.entry(process).or_default();
        *left = born_ms.max(*left);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Report {
                process,
                born_ms,
                sequence,
                leaving,
            } => {
                let report = Report {
                    leaving,
                    ..report(process, born_ms, sequence)
                };
                let reaction = self.presence.report(&report);
                if leaving && reaction == Reaction::Accepted {
                    self.acknowledge(process, born_ms);
                }
            }
            Step::Leave { process, born_ms } => {
                let reaction = self.presence.leave(process, born_ms, NOW_MS);
                if let Some(born_ms) = born_ms.filter(|_| reaction == Reaction::Accepted) {
                    self.acknowledge(process, born_ms);
                }
            }
            Step::Probed(process) => {
                self.presence.probed("odber", &health(process));
            }
            Step::Misdirected => self.presence.misdirected(),
            Step::Restart => self.restart(),
        }
    }

    /// Only the last leave is kept for a restart.
    fn restart(&mut self) {
        let departed = self.presence.last_departed().cloned();
        let kept = departed.as_ref().map(|departed| departed.process.clone());
        self.left
            .retain(|process, _| Some(*process) == kept.as_deref());
        self.presence = Presence::new(address());
        if let Some(departed) = departed {
            self.presence.recall(departed);
        }
    }

    /// No process that left takes work.
    fn check(&self) {
        let Some(known) = self.presence.known().filter(|known| !known.leaving) else {
            return;
        };
        let left = self.left.get(known.process.as_str());
        let later = left.is_none_or(|&left| known.born_ms.is_some_and(|born| born > left));
        assert!(later, "{known:?} takes work, left: {:?}", self.left);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_order_brings_back_a_process_that_left(steps in steps()) {
        let mut node = Node::new();
        for step in steps {
            node.take(step);
            node.check();
        }
    }
}
