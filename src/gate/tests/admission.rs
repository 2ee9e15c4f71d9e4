use crate::gate::{CallId, Outcome, Signal, State};
use crate::reason::Reason;

use super::harness::Harness;

fn burst(harness: &mut Harness, calls: usize) -> Vec<CallId> {
    (0..calls).map(|_| harness.arrive(1)).collect()
}

fn cold_server_gets_its_allowance_only() {
    let mut harness = Harness::cold();
    burst(&mut harness, 5);
    assert_eq!(harness.gate.in_hand(), 2);
    assert_eq!(harness.gate.queued(), 3);
}

fn good_answers_warm_in_steps() {
    let mut harness = Harness::cold();
    let mut limits = vec![harness.gate.limit()];
    for _ in 0..12 {
        harness.answer_one();
        harness.pass(50);
        limits.push(harness.gate.limit());
    }
    limits.dedup();
    assert_eq!(limits, [2, 5, 8]);
    assert_eq!(harness.gate.state(), State::Serving);
}

fn high_worth_displaces_low_worth_in_a_full_queue() {
    let mut harness = Harness::cold();
    let calls = burst(&mut harness, 6);
    let high = harness.arrive(9);
    assert_eq!(harness.refused(calls[5]), Some(Reason::Overloaded));
    harness.answer(calls[0], 5);
    assert!(harness.admitted(high));
}

fn equal_worth_is_refused_by_a_full_queue() {
    let mut harness = Harness::cold();
    burst(&mut harness, 6);
    let late = harness.arrive(1);
    assert_eq!(harness.refused(late), Some(Reason::Overloaded));
}

fn deadline_passing_in_the_queue_is_refused() {
    let mut harness = Harness::cold();
    burst(&mut harness, 2);
    let waiting = harness.arrive_within(1, 50);
    harness.pass(51);
    assert_eq!(harness.refused(waiting), Some(Reason::Deadline));
    assert!(!harness.admitted(waiting));
}

fn doubled_finish_frees_one_slot_only() {
    let mut harness = Harness::cold();
    let calls = burst(&mut harness, 5);
    harness.answer(calls[0], 5);
    harness.answer(calls[0], 5);
    assert_eq!(harness.gate.in_hand(), 2);
}

fn recalled_call_is_never_admitted() {
    let mut harness = Harness::cold();
    let calls = burst(&mut harness, 3);
    assert!(harness.gate.recall(harness.now, calls[2]));
    assert!(!harness.gate.recall(harness.now, calls[0]));
    harness.answer(calls[0], 5);
    assert!(!harness.admitted(calls[2]));
}

fn planned_stop_finishes_what_is_in_hand() {
    let mut harness = Harness::cold();
    let calls = burst(&mut harness, 3);
    let now = harness.now;
    harness.gate.start_drain(now, &mut harness.actions);
    let late = harness.arrive(1);
    assert_eq!(harness.refused(late), Some(Reason::Draining));
    for call_id in calls {
        assert_eq!(harness.gate.state(), State::Draining);
        harness.answer(call_id, 5);
    }
    assert_eq!(harness.gate.state(), State::Left);
}

fn zone_out_refuses_and_returns_through_warming() {
    let mut harness = Harness::serving();
    let now = harness.now;
    harness
        .gate
        .set_zone_in_service(now, false, &mut harness.actions);
    let refused = harness.arrive(1);
    assert_eq!(harness.refused(refused), Some(Reason::ZoneOut));
    harness
        .gate
        .set_zone_in_service(now, true, &mut harness.actions);
    assert_eq!(harness.gate.state(), State::Warming);
    assert_eq!(harness.gate.limit(), 2);
}

fn new_boot_id_falls_back_to_cold() {
    let mut harness = Harness::serving();
    harness.sign(Signal::Boot(1));
    assert_eq!(harness.gate.state(), State::Serving);
    harness.sign(Signal::Boot(2));
    assert_eq!(harness.gate.state(), State::Cold);
}

fn refused_connection_pauses_then_lets_one_trial_through() {
    let mut harness = Harness::serving();
    let call = harness.arrive(1);
    harness.finish(call, Outcome::Unreachable);
    let early = harness.arrive(1);
    assert_eq!(harness.refused(early), Some(Reason::Unreachable));
    harness.pass(200);
    burst(&mut harness, 3);
    assert_eq!(harness.gate.in_hand(), 1);
}

cases! {
    cold_server_holds_its_allowance: cold_server_gets_its_allowance_only();
    warming_takes_the_steps_of_the_sheet: good_answers_warm_in_steps();
    full_queue_sheds_the_lowest_worth: high_worth_displaces_low_worth_in_a_full_queue();
    full_queue_refuses_equal_worth: equal_worth_is_refused_by_a_full_queue();
    queue_drops_passed_deadlines: deadline_passing_in_the_queue_is_refused();
    doubled_finish_counts_once: doubled_finish_frees_one_slot_only();
    recall_takes_back_queued_calls_only: recalled_call_is_never_admitted();
    drain_cuts_nothing: planned_stop_finishes_what_is_in_hand();
    zone_returns_through_warming: zone_out_refuses_and_returns_through_warming();
    boot_change_means_cold: new_boot_id_falls_back_to_cold();
    refused_connection_pauses_admission: refused_connection_pauses_then_lets_one_trial_through();
}
