//! What counts as proof against a version.

use crate::rollout::{Judge, RouteTally, Settings, Symptom};

fn tally(answered: u64, failed: u64, bucket: u8) -> RouteTally {
    RouteTally {
        route: "order".into(),
        answered,
        failed,
        latency: vec![(
            bucket,
            u32::try_from(answered - failed).expect("few answers"),
        )],
    }
}

fn symptom(old: RouteTally, target: &[RouteTally]) -> Option<Symptom> {
    let mut judge = Judge::default();
    judge.add_old(&[old]);
    for server in target {
        judge.add_target(std::slice::from_ref(server));
    }
    judge
        .find_fault(&Settings::default())
        .map(|fault| fault.symptom)
}

const USUAL: u8 = 15;

cases! {
    few_failures_prove_nothing:
        assert_eq!(symptom(tally(1_000, 4, USUAL), &[tally(40, 1, USUAL)]), None);
    many_failures_are_a_fault:
        assert_eq!(symptom(tally(1_000, 4, USUAL), &[tally(40, 10, USUAL)]), Some(Symptom::Failures));
    failures_that_the_old_version_has_too_are_no_fault:
        assert_eq!(symptom(tally(1_000, 300, USUAL), &[tally(40, 12, USUAL)]), None);
    failures_of_one_server_of_many_are_no_fault: {
        let mut servers = vec![tally(10, 0, USUAL); 6];
        servers.push(tally(10, 10, USUAL));
        assert_eq!(symptom(tally(1_000, 4, USUAL), &servers), None);
    };
    slow_answers_are_a_fault:
        assert_eq!(symptom(tally(1_000, 4, USUAL), &[tally(40, 0, USUAL + 5)]), Some(Symptom::Slow));
    slightly_slower_answers_are_no_fault:
        assert_eq!(symptom(tally(1_000, 4, USUAL), &[tally(40, 0, USUAL + 1)]), None);
    without_a_reference_slow_answers_are_no_fault:
        assert_eq!(symptom(tally(10, 0, USUAL), &[tally(40, 0, USUAL + 5)]), None);
    without_a_reference_failures_are_a_fault:
        assert_eq!(symptom(tally(0, 0, USUAL), &[tally(40, 20, USUAL)]), Some(Symptom::Failures));
}
