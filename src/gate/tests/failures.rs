use std::time::Duration;

use crate::gate::{LoadReport, Outcome, Settings, Signal, State};
use crate::reason::Reason;

use super::harness::{Harness, settings};

fn fallback_mid_burst_admits_nothing_above_the_allowance() {
    let mut harness = Harness::serving();
    let running: Vec<_> = (0..8).map(|_| harness.arrive(1)).collect();
    let waiting: Vec<_> = (0..3).map(|_| harness.arrive(1)).collect();
    harness.sign(Signal::Boot(1));
    harness.sign(Signal::Boot(2));
    assert_eq!(harness.gate.state(), State::Cold);
    for call_id in &running[..6] {
        harness.finish(*call_id, Outcome::Cancelled);
    }
    assert!(waiting.iter().all(|call_id| !harness.admitted(*call_id)));
    harness.finish(running[6], Outcome::Cancelled);
    assert_eq!(harness.gate.in_hand(), 2);
}

fn late_sign_of_an_earlier_process_is_no_restart() {
    let mut harness = Harness::serving();
    harness.sign(Signal::Boot(1));
    harness.sign(Signal::Boot(2));
    harness.warm();
    assert_eq!(harness.gate.state(), State::Serving);
    harness.sign(Signal::Boot(1));
    assert_eq!(harness.gate.state(), State::Serving);
}

fn good_answers_do_not_warm_while_the_server_says_cold() {
    let mut harness = Harness::cold();
    harness.sign(Signal::Cold);
    harness.warm();
    assert_eq!(harness.gate.state(), State::Cold);
    harness.sign(Signal::Serving);
    assert_eq!(harness.gate.state(), State::Cold);
    harness.warm();
    assert_eq!(harness.gate.state(), State::Serving);
}

fn failing_fast_stops_admission_until_a_trial_succeeds() {
    let mut harness = Harness::serving();
    for _ in 0..3 {
        let call_id = harness.arrive(1);
        harness.finish(call_id, Outcome::Failed);
    }
    let refused = harness.arrive(1);
    assert_eq!(harness.refused(refused), Some(Reason::Unreachable));
    assert!(!harness.gate.load_report(harness.now).accepting);
    harness.pass(150);
    let trial = harness.arrive(1);
    let second = harness.arrive(1);
    assert!(harness.admitted(trial) && !harness.admitted(second));
    harness.answer(trial, 5);
    assert!(harness.admitted(second));
}

/// Guards against a timer that turns without a pause while a trial call runs.
fn running_trial_needs_no_tick_for_the_end_of_the_pause() {
    let mut harness = Harness::serving();
    let call_id = harness.arrive(1);
    harness.finish(call_id, Outcome::Unreachable);
    harness.pass(150);
    let trial = harness.arrive(1);
    let waiting = harness.arrive(1);
    assert!(harness.admitted(trial) && !harness.admitted(waiting));
    assert!(harness.gate.next_tick() > Some(harness.now));
}

fn failures_of_a_trial_lengthen_the_pause() {
    let mut harness = Harness::serving();
    let call_id = harness.arrive(1);
    harness.finish(call_id, Outcome::Unreachable);
    harness.pass(150);
    let trial = harness.arrive(1);
    harness.finish(trial, Outcome::Failed);
    harness.pass(150);
    let early = harness.arrive(1);
    assert_eq!(harness.refused(early), Some(Reason::Unreachable));
}

fn zone_out_queue_is_refused_after_a_bounded_time() {
    let mut harness = Harness::cold();
    let calls: Vec<_> = (0..4).map(|_| harness.arrive_within(1, 60_000)).collect();
    let now = harness.now;
    harness
        .gate
        .set_zone_in_service(now, false, &mut harness.actions);
    harness.pass(900);
    assert_eq!(harness.refused(calls[3]), None);
    harness.pass(100);
    assert_eq!(harness.refused(calls[3]), Some(Reason::ZoneOut));
}

fn full_zone_sheds_the_lowest_worth_of_a_departed_one() {
    let mut harness = Harness::cold();
    let low: Vec<_> = (0..6).map(|_| harness.arrive(1)).collect();
    let high: Vec<_> = (0..4).map(|_| harness.arrive(10)).collect();
    let shed: Vec<_> = low
        .into_iter()
        .filter(|call_id| harness.refused(*call_id) == Some(Reason::Overloaded))
        .collect();
    assert_eq!(shed.len(), 4);
    assert!(
        high.iter()
            .all(|call_id| harness.refused(*call_id).is_none())
    );
}

fn deadline_before_the_expected_start_is_refused_at_once() {
    let mut harness = Harness::serving();
    for _ in 0..8 {
        harness.arrive(1);
    }
    let too_short = harness.arrive_within(1, 1);
    assert_eq!(harness.refused(too_short), Some(Reason::Deadline));
}

fn server_draining_by_itself_takes_work_again_after_a_restart() {
    let mut harness = Harness::serving();
    harness.sign(Signal::Boot(1));
    harness.sign(Signal::Draining);
    let refused = harness.arrive(1);
    assert_eq!(harness.refused(refused), Some(Reason::Draining));
    harness.sign(Signal::Serving);
    assert_eq!(harness.gate.state(), State::Draining);
    harness.sign(Signal::Boot(2));
    assert_eq!(harness.gate.state(), State::Cold);
}

fn misleading_health_does_not_end_a_drain() {
    let mut harness = Harness::serving();
    harness.sign(Signal::Boot(1));
    harness.sign(Signal::Draining);
    for _ in 0..10 {
        harness.pass(1_000);
        harness.sign(Signal::Serving);
        harness.sign(Signal::Boot(1));
    }
    let refused = harness.arrive(1);
    assert_eq!(harness.refused(refused), Some(Reason::Draining));
}

fn new_sheet_lowers_the_slots_without_cutting_calls() {
    let mut harness = Harness::serving();
    let running: Vec<_> = (0..8).map(|_| harness.arrive(1)).collect();
    let fewer = Settings {
        slots: 3,
        ..settings()
    };
    let now = harness.now;
    harness.gate.configure(now, fewer, &mut harness.actions);
    let waiting = harness.arrive(1);
    for call_id in &running[..5] {
        harness.answer(*call_id, 5);
    }
    assert!(!harness.admitted(waiting));
    harness.answer(running[5], 5);
    assert!(harness.admitted(waiting));
}

fn slow_answers_shrink_the_limit_and_usual_ones_restore_it() {
    let mut harness = Harness::serving();
    for _ in 0..30 {
        let call_id = harness.arrive(1);
        harness.pass(50);
        harness.answer(call_id, 50);
    }
    let shrunk = harness.gate.limit();
    assert!((1..8).contains(&shrunk), "{shrunk}");
    for _ in 0..200 {
        let calls: Vec<_> = (0..8).map(|_| harness.arrive(1)).collect();
        harness.pass(5);
        for call_id in calls {
            harness.answer(call_id, 5);
        }
    }
    assert_eq!(harness.gate.limit(), 8);
}

fn slow_answers_at_low_load_fall_back_to_cold_once_they_last() {
    let mut harness = Harness::serving();
    for _ in 0..3 {
        let call_id = harness.arrive(1);
        harness.pass(50);
        harness.answer(call_id, 50);
    }
    assert_eq!(harness.gate.state(), State::Serving);
    for _ in 0..4 {
        let call_id = harness.arrive(1);
        harness.pass(50);
        harness.answer(call_id, 50);
    }
    assert_eq!(harness.gate.state(), State::Cold);
}

fn report_counts_what_runs_and_waits() {
    let mut harness = Harness::cold();
    for _ in 0..5 {
        harness.arrive(1);
    }
    let load = harness.gate.load_report(harness.now);
    assert_eq!((load.in_hand, load.queued, load.limit), (2, 3, 2));
    assert!(load.service_time > Duration::ZERO && load.accepting);
}

fn report_takes_few_bytes_and_comes_back_whole() {
    let load = LoadReport {
        in_hand: 9,
        queued: 32,
        limit: 9,
        service_time: Duration::from_millis(60),
        accepting: true,
        delay: Duration::ZERO,
    };
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(load, config).expect("plain values");
    assert!(bytes.len() <= 8, "{}", bytes.len());
    let (decoded, _) =
        bincode::serde::decode_from_slice::<LoadReport, _>(&bytes, config).expect("own bytes");
    assert_eq!(decoded, load);
}

cases! {
    cold_fallback_mid_burst_holds: fallback_mid_burst_admits_nothing_above_the_allowance();
    late_boot_id_is_ignored: late_sign_of_an_earlier_process_is_no_restart();
    reported_cold_outweighs_good_responses: good_answers_do_not_warm_while_the_server_says_cold();
    failure_streak_pauses_admission: failing_fast_stops_admission_until_a_trial_succeeds();
    running_trial_needs_no_tick: running_trial_needs_no_tick_for_the_end_of_the_pause();
    failed_trial_pauses_longer: failures_of_a_trial_lengthen_the_pause();
    zone_out_empties_the_queue: zone_out_queue_is_refused_after_a_bounded_time();
    zone_out_with_every_other_zone_full: full_zone_sheds_the_lowest_worth_of_a_departed_one();
    unreachable_deadline_is_refused: deadline_before_the_expected_start_is_refused_at_once();
    announced_drain_ends_with_a_restart: server_draining_by_itself_takes_work_again_after_a_restart();
    announced_drain_outlasts_misleading_health: misleading_health_does_not_end_a_drain();
    fewer_slots_cut_nothing: new_sheet_lowers_the_slots_without_cutting_calls();
    limit_adapts_both_ways: slow_answers_shrink_the_limit_and_usual_ones_restore_it();
    latency_collapse_means_cold: slow_answers_at_low_load_fall_back_to_cold_once_they_last();
    report_is_small: report_takes_few_bytes_and_comes_back_whole();
    report_is_exact: report_counts_what_runs_and_waits();
}
