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
    Accept,
    Restart(usize),
    Pause(usize),
    Wake(usize),
    StoreDown(bool),
    StoreOlder(bool),
    Part(bool),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NAMES.len();
    prop_oneof![
        3 => Just(Step::Accept),
        2 => node.clone().prop_map(Step::Restart),
        2 => node.clone().prop_map(Step::Pause),
        2 => node.prop_map(Step::Wake),
        1 => any::<bool>().prop_map(Step::StoreDown),
        1 => any::<bool>().prop_map(Step::StoreOlder),
        1 => any::<bool>().prop_map(Step::Part),
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

fn part(fleet: &mut Fleet, parted: bool) {
    fleet.cut = Box::new(move |from, to| parted && from.region != to.region);
}

fn take(fleet: &mut Fleet, accepted: &mut u64, step: &Step) {
    match step {
        Step::Accept => {
            *accepted += 1;
            fleet.shelf.accept(*accepted);
        }
        Step::Restart(n) => {
            fleet.crash(NAMES[*n]);
            start(fleet, NAMES[*n]);
        }
        Step::Pause(n) => fleet.pause(NAMES[*n]),
        Step::Wake(n) => fleet.wake(NAMES[*n]),
        Step::StoreDown(down) => fleet.shelf.down = *down,
        Step::StoreOlder(older) => fleet.shelf.answer_older(*older),
        Step::Part(parted) => part(fleet, *parted),
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
        loss in 0.0..0.6_f64,
        doubling in 0.0..0.6_f64,
        spread in 0_u64..400,
    ) {
        let mut fleet = Fleet::empty(seed);
        let mut accepted = 1;
        fleet.shelf.accept(1);
        for name in NAMES {
            start(&mut fleet, name);
        }
        fleet.loss = loss;
        fleet.doubling = doubling;
        fleet.latency_spread = Duration::from_millis(spread);
        for step in &steps {
            take(&mut fleet, &mut accepted, step);
        }
        heal(&mut fleet);
        fleet.run(Duration::from_secs(20));
        prop_assert!(fleet.all_on(accepted));
        for node in fleet.live() {
            prop_assert_eq!(node.view.len(), NAMES.len());
        }
        let mut digests: Vec<u64> = fleet.live().map(|node| node.core.digest()).collect();
        digests.dedup();
        prop_assert_eq!(digests.len(), 1);
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.shelf.down = false;
    fleet.shelf.answer_older(false);
    part(fleet, false);
    fleet.loss = 0.0;
    fleet.doubling = 0.0;
    fleet.latency_spread = Duration::ZERO;
    for name in NAMES {
        fleet.wake(name);
    }
}
