//! Schedules of soaks.

use std::time::Duration;

use super::schedule::{CALM, Fault, draw};

const DURATION: Duration = Duration::from_secs(20);
const NODES: usize = 12;

cases! {
    same_seed_makes_the_same_schedule:
        assert_eq!(draw(7, NODES, DURATION), draw(7, NODES, DURATION));
    other_seed_makes_another_schedule:
        assert_ne!(draw(7, NODES, DURATION), draw(8, NODES, DURATION));
    all_faults_are_over_before_the_calm: {
        for seed in 0..200 {
            let late = draw(seed, NODES, DURATION).into_iter().find(|one| one.end() + CALM > DURATION);
            assert_eq!(late, None);
        }
    };
    herd_leaves_nodes_alive: {
        for seed in 0..200 {
            for one in draw(seed, NODES, DURATION) {
                assert!(!matches!(one.fault, Fault::Herd(count) if count >= NODES));
            }
        }
    };
    time_too_short_for_a_fault_has_none: assert_eq!(draw(1, NODES, CALM), Vec::new());
    one_node_is_enough: assert!(!draw(1, 1, DURATION).is_empty());
}
