//! Which calls may queue, and for how long.

use std::time::Duration;

use super::harness::{Harness, settings};
use crate::gate::{Arrival, CallClass, CallId, Outcome, Settings};
use crate::reason::Reason;

const CLASS: CallClass = CallClass(7);

/// Full gate whose calls of `CLASS` usually run for 100 ms.
fn full() -> Harness {
    let mut harness = Harness::new(Settings {
        slow_ratio: f64::INFINITY,
        queue_capacity: 64,
        ..settings()
    });
    for number in 0..40 {
        let call_id = arrive(&mut harness, 1_000 + number, 10_000, None);
        harness.pass(100);
        let service_time = Duration::from_millis(100);
        harness.finish(call_id, Outcome::Answered { service_time });
    }
    for number in 0..8 {
        arrive(&mut harness, 2_000 + number, 10_000, None);
    }
    assert_eq!(harness.gate.in_hand(), harness.gate.limit());
    harness
}

fn arrive(
    harness: &mut Harness,
    call_id: u64,
    deadline_ms: u64,
    objective_ms: Option<u64>,
) -> CallId {
    let after = |millis| harness.now + Duration::from_millis(millis);
    let arrival = Arrival {
        call_id: CallId(call_id),
        worth: 1,
        deadline: after(deadline_ms),
        objective: objective_ms.map(after),
        class: CLASS,
        start_deadline: None,
        tenant: None,
    };
    let now = harness.now;
    harness.gate.on_arrival(now, arrival, &mut harness.actions);
    CallId(call_id)
}

fn waits_while_it_can_be_in_time() {
    let mut harness = full();
    let call = arrive(&mut harness, 1, 2_000, Some(300));
    assert_eq!(harness.refused(call), None);
    harness.answer(CallId(2_000), 100);
    assert!(harness.admitted(call));
}

fn refused_when_it_can_only_be_late() {
    let mut harness = full();
    let call = arrive(&mut harness, 1, 2_000, Some(300));
    harness.pass(230);
    assert_eq!(harness.refused(call), Some(Reason::Overloaded));
}

fn late_call_is_served_where_a_slot_is_free() {
    let mut harness = full();
    let waiting = arrive(&mut harness, 1, 2_000, Some(0));
    assert_eq!(harness.refused(waiting), Some(Reason::Overloaded));
    harness.answer(CallId(2_000), 100);
    let served = arrive(&mut harness, 2, 2_000, Some(0));
    assert!(harness.admitted(served));
}

/// Twice the capacity of the gate for two seconds.
fn lasting_overload() -> Vec<u64> {
    let mut harness = full();
    let mut running: Vec<(CallId, u64)> = (2_000..2_008)
        .map(|call_id| (CallId(call_id), 100))
        .collect();
    let mut pending = Vec::new();
    let mut waits = Vec::new();
    for millis in 0..2_000_u64 {
        if millis % 6 == 0 {
            let call = arrive(&mut harness, 10_000 + millis, 1_000, Some(300));
            pending.push((call, millis));
        }
        harness.pass(1);
        for (call, since) in std::mem::take(&mut pending) {
            if harness.admitted(call) {
                running.push((call, millis + 100));
                waits.push(millis - since);
            } else if harness.refused(call).is_none() {
                pending.push((call, since));
            }
        }
        for (call, end) in std::mem::take(&mut running) {
            if end <= millis {
                harness.answer(call, 100);
            } else {
                running.push((call, end));
            }
        }
    }
    waits
}

fn overload_leaves_the_admitted_in_time() {
    let waits = lasting_overload();
    assert!(waits.len() > 120, "{} calls were admitted", waits.len());
    assert!(waits.iter().all(|&wait| wait + 80 <= 300), "{waits:?}");
}

cases! {
    call_waits_while_it_can_meet_its_objective: waits_while_it_can_be_in_time();
    call_that_can_only_be_late_leaves_the_queue: refused_when_it_can_only_be_late();
    call_past_its_objective_is_served_where_a_slot_is_free:
        late_call_is_served_where_a_slot_is_free();
    call_that_cannot_end_before_its_deadline_is_not_started: {
        let mut harness = full();
        harness.answer(CallId(2_000), 100);
        let call = arrive(&mut harness, 1, 60, None);
        assert_eq!(harness.refused(call), Some(Reason::Deadline));
    };
    lasting_overload_leaves_those_that_are_admitted_in_time: overload_leaves_the_admitted_in_time();
}
