//! Replays an overload of a cold backend server in which refused callers retry once.

use std::time::Duration;

use super::harness::{Harness, settings};
use crate::gate::{Action, Arrival, CallClass, CallId, Settings, Signal};
use crate::reason::Reason;

const CLASS: CallClass = CallClass(3);
const WORK_MS: u64 = 80;
const OBJECTIVE_MS: u64 = 300;
/// Rate limit of the cold backend server; the call rate is above it.
const COLD_PER_S: u32 = 17;
const CALL_INTERVAL_MS: u64 = 35;
/// Time after which a refused caller retries, once.
const RETRY_DELAY_MS: u64 = 120;
const LATE_QUEUE_TIMEOUT_MS: u64 = 150;
const REPLAY_MS: u64 = 3_000;

#[derive(Clone, Copy)]
struct Call {
    id: CallId,
    first_arrival_ms: u64,
    is_retry: bool,
    ends_at_ms: u64,
}

struct Replay {
    harness: Harness,
    waiting: Vec<Call>,
    running: Vec<Call>,
    backing_off: Vec<Call>,
    in_time: u32,
}

fn cold() -> Harness {
    let mut harness = Harness::new(Settings {
        cold_calls_per_s: Some(COLD_PER_S),
        slow_ratio: f64::INFINITY,
        queue_capacity: 64,
        late_queue_timeout: Duration::from_millis(LATE_QUEUE_TIMEOUT_MS),
        ..settings()
    });
    harness.sign(Signal::ColdFor(Duration::ZERO));
    for number in 0..20 {
        let call = Call {
            id: CallId(1_000 + number),
            first_arrival_ms: 0,
            is_retry: false,
            ends_at_ms: 0,
        };
        arrive(&mut harness, call, 10_000, 10_000);
        harness.pass(WORK_MS);
        harness.answer(call.id, WORK_MS);
    }
    harness.pass(1_000);
    harness.sign(Signal::ColdFor(Duration::from_mins(1)));
    harness.actions.clear();
    harness
}

fn arrive(harness: &mut Harness, call: Call, objective_ms: u64, deadline_ms: u64) {
    let after = |millis| harness.now + Duration::from_millis(millis);
    let arrival = Arrival {
        call_id: call.id,
        worth: 1,
        deadline: after(deadline_ms),
        objective: Some(after(objective_ms)),
        class: CLASS,
        start_deadline: None,
        tenant: None,
    };
    let now = harness.now;
    harness.gate.on_arrival(now, arrival, &mut harness.actions);
}

impl Replay {
    fn new() -> Self {
        Self {
            harness: cold(),
            waiting: Vec::new(),
            running: Vec::new(),
            backing_off: Vec::new(),
            in_time: 0,
        }
    }

    fn run(&mut self) {
        for millis in 0..REPLAY_MS {
            if millis % CALL_INTERVAL_MS == 0 {
                self.ask(Call {
                    id: CallId(10_000 + millis),
                    first_arrival_ms: millis,
                    is_retry: false,
                    ends_at_ms: 0,
                });
            }
            self.retry(millis);
            self.harness.pass(1);
            self.act(millis);
            self.end(millis);
        }
    }

    fn ask(&mut self, call: Call) {
        let age = if call.is_retry { RETRY_DELAY_MS } else { 0 };
        arrive(&mut self.harness, call, OBJECTIVE_MS - age, 1_000 - age);
        self.waiting.push(call);
    }

    fn retry(&mut self, millis: u64) {
        let is_due = |call: &Call| call.first_arrival_ms + RETRY_DELAY_MS <= millis;
        let calls: Vec<Call> = self.backing_off.iter().copied().filter(is_due).collect();
        self.backing_off.retain(|call| !is_due(call));
        for call in calls {
            self.ask(call);
        }
    }

    fn act(&mut self, millis: u64) {
        for action in std::mem::take(&mut self.harness.actions) {
            let (Action::Admit(call_id) | Action::Refuse(call_id, _)) = action else {
                continue;
            };
            let at = self.waiting.iter().position(|call| call.id == call_id);
            let call = self.waiting.remove(at.expect("it waited"));
            if matches!(action, Action::Admit(_)) {
                let ends_at_ms = millis + WORK_MS;
                self.running.push(Call { ends_at_ms, ..call });
            } else if !call.is_retry {
                self.backing_off.push(Call {
                    id: CallId(50_000 + call.id.0),
                    is_retry: true,
                    ..call
                });
            }
        }
    }

    fn end(&mut self, millis: u64) {
        let has_ended = |call: &Call| call.ends_at_ms <= millis;
        let ended: Vec<Call> = self.running.iter().copied().filter(has_ended).collect();
        self.running.retain(|call| !has_ended(call));
        for call in ended {
            self.harness.answer(call.id, WORK_MS);
            self.in_time += u32::from(millis - call.first_arrival_ms <= OBJECTIVE_MS);
        }
    }
}

fn most_of_the_allowance_is_in_time() {
    let mut replay = Replay::new();
    replay.run();
    let allowed = COLD_PER_S * 3;
    let in_time = replay.in_time;
    assert!(in_time * 10 >= allowed * 9, "{in_time} of {allowed}");
}

fn late_call(harness: &mut Harness, number: u64) -> CallId {
    let call = Call {
        id: CallId(number),
        first_arrival_ms: 0,
        is_retry: true,
        ends_at_ms: 0,
    };
    arrive(harness, call, 1, 2_000);
    call.id
}

fn call(harness: &mut Harness, number: u64) -> CallId {
    let call = Call {
        id: CallId(number),
        first_arrival_ms: 0,
        is_retry: false,
        ends_at_ms: 0,
    };
    arrive(harness, call, OBJECTIVE_MS, 2_000);
    call.id
}

fn full() -> Harness {
    let mut harness = cold();
    harness.sign(Signal::ColdFor(Duration::ZERO));
    for number in 0..8 {
        call(&mut harness, number);
    }
    harness
}

fn late_call_queues_behind_calls_in_time() {
    let mut harness = full();
    let late = late_call(&mut harness, 100);
    let in_time = call(&mut harness, 101);
    harness.answer(CallId(0), WORK_MS);
    assert!(harness.admitted(in_time) && !harness.admitted(late));
    harness.answer(CallId(1), WORK_MS);
    assert!(harness.admitted(late));
}

fn late_call_is_refused_after_its_queue_timeout() {
    let mut harness = full();
    let late = late_call(&mut harness, 100);
    assert_eq!(harness.refused(late), None);
    harness.pass(LATE_QUEUE_TIMEOUT_MS);
    assert_eq!(harness.refused(late), Some(Reason::Overloaded));
}

cases! {
    calls_that_retry_leave_the_allowance_to_new_ones: most_of_the_allowance_is_in_time();
    late_call_is_served_after_calls_that_can_be_in_time: late_call_queues_behind_calls_in_time();
    late_call_has_a_short_queue_timeout: late_call_is_refused_after_its_queue_timeout();
}
