//! Arbitrary interleavings of faults: no version goes back, and all converge.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::fleet::Fleet;

const NAMES: [&str; 6] = [
    "morava-a-0",
    "morava-a-1",
    "morava-b-0",
    "cechy-a-0",
    "cechy-a-1",
    "cechy-b-0",
];

#[derive(Clone, Debug)]
enum Step {
    AcceptPlan,
    Restart(usize),
    Pause(usize),
    Resume(usize),
    StoreDown(bool),
    StoreStale(bool),
    Partition(bool),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NAMES.len();
    prop_oneof![
        3 => Just(Step::AcceptPlan),
        2 => node.clone().prop_map(Step::Restart),
        2 => node.clone().prop_map(Step::Pause),
        2 => node.prop_map(Step::Resume),
        1 => any::<bool>().prop_map(Step::StoreDown),
        1 => any::<bool>().prop_map(Step::StoreStale),
        1 => any::<bool>().prop_map(Step::Partition),
        6 => (50_u64..3_000).prop_map(Step::Run),
    ]
}

fn region(name: &str) -> &str {
    name.split('-').next().unwrap()
}

fn zone(name: &str) -> &str {
    &name[..name.len() - 2]
}

fn start(fleet: &mut Fleet, name: &str) {
    fleet.start(name, region(name), zone(name), Vec::new());
}

fn set_partition(fleet: &mut Fleet, is_parted: bool) {
    fleet.is_cut = Box::new(move |from, to| is_parted && from.region != to.region);
}

fn apply(fleet: &mut Fleet, accepted: &mut u64, step: &Step) {
    match step {
        Step::AcceptPlan => {
            *accepted += 1;
            fleet.store.accept(*accepted);
        }
        Step::Restart(n) => {
            fleet.crash(NAMES[*n]);
            start(fleet, NAMES[*n]);
        }
        Step::Pause(n) => fleet.pause(NAMES[*n]),
        Step::Resume(n) => fleet.resume(NAMES[*n]),
        Step::StoreDown(down) => fleet.store.down = *down,
        Step::StoreStale(older) => fleet.store.set_stale(*older),
        Step::Partition(is_parted) => set_partition(fleet, *is_parted),
        Step::Run(millis) => fleet.run(Duration::from_millis(*millis)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_never_go_back_and_all_converge_once_messages_flow(
        steps in prop::collection::vec(step(), 1..24),
        seed in any::<u64>(),
        loss_rate in 0.0..0.6_f64,
        duplicate_rate in 0.0..0.6_f64,
        spread in 0_u64..400,
    ) {
        let mut fleet = Fleet::empty(seed);
        let mut accepted = 1;
        fleet.store.accept(1);
        for name in NAMES {
            start(&mut fleet, name);
        }
        fleet.loss_rate = loss_rate;
        fleet.duplicate_rate = duplicate_rate;
        fleet.latency_spread = Duration::from_millis(spread);
        for step in &steps {
            apply(&mut fleet, &mut accepted, step);
        }
        end_faults(&mut fleet);
        fleet.run(Duration::from_secs(20));
        prop_assert!(fleet.all_have_plan(accepted));
        for node in fleet.live() {
            prop_assert_eq!(node.view.len(), NAMES.len());
        }
        let mut digests: Vec<u64> = fleet.live().map(|node| node.core.digest()).collect();
        digests.dedup();
        prop_assert_eq!(digests.len(), 1);
    }
}

fn end_faults(fleet: &mut Fleet) {
    fleet.store.down = false;
    fleet.store.set_stale(false);
    set_partition(fleet, false);
    fleet.loss_rate = 0.0;
    fleet.duplicate_rate = 0.0;
    fleet.latency_spread = Duration::ZERO;
    for name in NAMES {
        fleet.resume(name);
    }
}
