//! Calls on a machine whose speed changes many times a second.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{Harness, settings};
use crate::gate::{Action, Arrival, CallClass, CallId, Outcome, Settings, Signal};
use crate::reason::Reason;

const CLASS: CallClass = CallClass(7);
/// Service time of [`CLASS`] on a fast machine.
const WORK_MS: u64 = 100;
/// Percent of the usual service time on a slow machine.
const SLOW_PERCENT: u32 = 500;
const FAST_PERCENT: u32 = 100;

/// Gate that knows the service time of [`CLASS`] and the speed of its backend server.
fn with_slowdown_readings() -> Harness {
    let mut harness = Harness::new(Settings {
        slow_ratio: f64::INFINITY,
        queue_capacity: 64,
        ..settings()
    });
    for number in 0..40 {
        let id = arrive(&mut harness, 1_000 + number, 10_000);
        harness.pass(WORK_MS);
        harness.answer(id, WORK_MS);
    }
    harness.sign(Signal::SlowdownPercent(FAST_PERCENT));
    harness.actions.clear();
    harness
}

fn arrive(harness: &mut Harness, call_id: u64, objective_ms: u64) -> CallId {
    arrive_with_start_deadline(harness, call_id, objective_ms, None)
}

/// Reports a call that must start within `start_within_ms`.
fn arrive_with_start_deadline(
    harness: &mut Harness,
    call_id: u64,
    objective_ms: u64,
    start_within_ms: Option<u64>,
) -> CallId {
    let after = |millis| harness.now + Duration::from_millis(millis);
    let arrival = Arrival {
        call_id: CallId(call_id),
        worth: 1,
        deadline: after(10_000),
        objective: Some(after(objective_ms)),
        class: CLASS,
        start_deadline: start_within_ms.map(after),
        tenant: None,
    };
    let now = harness.now;
    harness.gate.on_arrival(now, arrival, &mut harness.actions);
    CallId(call_id)
}

fn load_queries(harness: &Harness) -> usize {
    let asked = |action: &&Action| **action == Action::QueryLoad;
    harness.actions.iter().filter(asked).count()
}

fn starts_when_slow_period_ends() {
    let mut harness = with_slowdown_readings();
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    let call = arrive(&mut harness, 1, 400);
    harness.pass(50);
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    assert!(!harness.admitted(call));
    harness.pass(50);
    harness.sign(Signal::SlowdownPercent(FAST_PERCENT));
    assert!(harness.admitted(call));
}

fn refused_when_slow_period_outlasts_start_deadline() {
    let mut harness = with_slowdown_readings();
    harness.pass(30);
    let call = arrive_with_start_deadline(&mut harness, 1, 400, Some(20));
    let patient = arrive_with_start_deadline(&mut harness, 2, 400, Some(300));
    assert_eq!(harness.refused(call), None);
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    assert_eq!(harness.refused(call), Some(Reason::LateTurn));
    assert_eq!(harness.refused(patient), None);
}

fn refused_when_slots_stay_in_use() {
    let mut harness = with_slowdown_readings();
    for number in 0..8 {
        arrive(&mut harness, 100 + number, 400);
    }
    let call = arrive_with_start_deadline(&mut harness, 1, 400, Some(50));
    assert_eq!(harness.refused(call), None);
    let due = harness
        .gate
        .next_tick()
        .expect("the call has a start deadline");
    assert!(due.since(harness.now) <= Duration::from_millis(50));
    harness.pass(50);
    assert_eq!(harness.refused(call), Some(Reason::LateTurn));
}

fn starts_during_a_long_slow_period() {
    let mut harness = with_slowdown_readings();
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    harness.pass(5_000);
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    let call = arrive(&mut harness, 1, 2_000);
    assert!(harness.admitted(call));
}

fn slow_period_of_a_cold_server() {
    let mut harness = with_slowdown_readings();
    harness.sign(Signal::SlowdownPercent(200));
    harness.pass(2_000);
    harness.sign(Signal::SlowdownPercent(1_000));
    let call = arrive(&mut harness, 1, 900);
    assert!(!harness.admitted(call));
    harness.pass(100);
    harness.sign(Signal::SlowdownPercent(200));
    assert!(harness.admitted(call));
}

fn queried_when_reading_is_old() {
    let mut harness = with_slowdown_readings();
    let first = arrive(&mut harness, 1, 400);
    assert!(harness.admitted(first));
    assert_eq!(load_queries(&harness), 0);
    harness.pass(30);
    let second = arrive(&mut harness, 2, 400);
    assert_eq!(load_queries(&harness), 1);
    assert!(!harness.admitted(second));
    harness.sign(Signal::SlowdownPercent(FAST_PERCENT));
    assert!(harness.admitted(second));
}

fn unanswered_query_delays_little() {
    let mut harness = with_slowdown_readings();
    harness.pass(30);
    let call = arrive(&mut harness, 1, 400);
    let due = harness
        .gate
        .next_tick()
        .expect("the load query has a timeout");
    assert!(due.since(harness.now) <= Duration::from_millis(15));
    harness.pass(15);
    assert!(harness.admitted(call));
    let next = arrive(&mut harness, 2, 400);
    assert!(harness.admitted(next));
    assert_eq!(load_queries(&harness), 1);
}

fn queries_are_bounded() {
    let mut harness = with_slowdown_readings();
    harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    arrive(&mut harness, 1, 9_000);
    for _ in 0..1_000 {
        harness.pass(5);
        harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
    }
    let per_s = settings().load_queries_per_s;
    let most = f64::from(u32::try_from(load_queries(&harness)).expect("few"));
    assert!(most <= per_s * 6.0, "{most} load queries in 5 s");
}

/// Time within which a call of a replay must end.
const OBJECTIVE_MS: u64 = 300;
/// Time for which a neighbour keeps its demand.
const SLOW_PERIOD_MS: u64 = 150;
const REPLAY_MS: u64 = 30_000;
/// Time between two calls.
const CALL_INTERVAL_MS: u64 = 50;
/// Time between two unrequested slowdown readings.
const REPORT_INTERVAL_MS: u64 = 100;
/// Response time of a load query.
const QUERY_RESPONSE_MS: u64 = 2;

/// A call of a replay.
#[derive(Clone, Copy)]
struct Call {
    id: CallId,
    since: u64,
    ends_at_ms: u64,
}

/// Replay in which a quarter of the periods are slow at random. A call runs at the speed of the
/// machine at its start.
struct Replay {
    harness: Harness,
    speeds: Vec<u32>,
    calls: Vec<Call>,
    answer_at: Option<u64>,
    /// Calls that ended in time.
    in_time: usize,
    /// Calls that a gate with knowledge of future speeds would end in time.
    possible: usize,
}

impl Replay {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || {
            if random.random_bool(0.25) {
                SLOW_PERCENT
            } else {
                FAST_PERCENT
            }
        };
        let spells = (REPLAY_MS + OBJECTIVE_MS).div_ceil(SLOW_PERIOD_MS) + 1;
        Self {
            harness: with_slowdown_readings(),
            speeds: (0..spells).map(|_| draw()).collect(),
            calls: Vec::new(),
            answer_at: None,
            in_time: 0,
            possible: 0,
        }
    }

    fn speed(&self, millis: u64) -> u32 {
        let spell = usize::try_from(millis / SLOW_PERIOD_MS).expect("few");
        self.speeds[spell]
    }

    fn run(&mut self) {
        for millis in 0..REPLAY_MS {
            if millis % CALL_INTERVAL_MS == 0 {
                self.call(millis);
            }
            if self.answer_at == Some(millis) || millis % REPORT_INTERVAL_MS == 0 {
                self.harness
                    .sign(Signal::SlowdownPercent(self.speed(millis)));
                self.answer_at = None;
            }
            self.harness.pass(1);
            self.act(millis);
            self.end(millis);
        }
    }

    fn call(&mut self, millis: u64) {
        let id = arrive(&mut self.harness, 10_000 + millis, OBJECTIVE_MS);
        self.calls.push(Call {
            id,
            since: millis,
            ends_at_ms: u64::MAX,
        });
        let last_begin = millis + OBJECTIVE_MS - WORK_MS;
        let is_fast = |begin| self.speed(begin) == FAST_PERCENT;
        self.possible += usize::from((millis..=last_begin).any(is_fast));
    }

    fn act(&mut self, millis: u64) {
        let work = WORK_MS * u64::from(self.speed(millis)) / 100;
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                Action::Admit(call_id) => {
                    let call = self.calls.iter_mut().find(|call| call.id == call_id);
                    call.expect("it waited").ends_at_ms = millis + work;
                }
                Action::Refuse(call_id, _) => self.calls.retain(|call| call.id != call_id),
                Action::QueryLoad => self.answer_at = Some(millis + QUERY_RESPONSE_MS),
            }
        }
    }

    fn end(&mut self, millis: u64) {
        let has_ended = |call: &Call| call.ends_at_ms <= millis;
        let ended: Vec<Call> = self.calls.iter().copied().filter(has_ended).collect();
        self.calls.retain(|call| !has_ended(call));
        for call in ended {
            let service_time = Duration::from_millis(WORK_MS);
            let outcome = Outcome::Answered { service_time };
            self.harness.finish(call.id, outcome);
            self.in_time += usize::from(millis - call.since <= OBJECTIVE_MS);
        }
    }
}

fn neighbours_delay_few_calls() {
    for seed in 1..=3 {
        let mut replay = Replay::new(seed);
        replay.run();
        let Replay {
            in_time, possible, ..
        } = replay;
        assert!(
            in_time * 100 >= possible * 95,
            "{in_time} of {possible} in time"
        );
    }
}

cases! {
    call_starts_when_the_slow_period_ends: starts_when_slow_period_ends();
    call_is_refused_at_once_when_it_would_start_too_late:
        refused_when_slow_period_outlasts_start_deadline();
    call_is_refused_when_it_has_not_started_in_time: refused_when_slots_stay_in_use();
    call_starts_slowly_when_the_slow_period_lasts: starts_during_a_long_slow_period();
    call_waits_for_the_end_of_a_slow_period_of_a_cold_server: slow_period_of_a_cold_server();
    load_query_is_sent_when_the_last_reading_is_old: queried_when_reading_is_old();
    unanswered_load_query_delays_calls_little: unanswered_query_delays_little();
    server_without_slowdown_readings_gets_no_load_queries: {
        let mut harness = Harness::serving();
        harness.pass(1_000);
        let call = arrive(&mut harness, 1, 400);
        assert!(harness.admitted(call));
        assert_eq!(load_queries(&harness), 0);
    };
    load_queries_stay_within_their_rate_limit: queries_are_bounded();
    service_time_is_learned_relative_to_the_speed_at_the_start: {
        let mut harness = with_slowdown_readings();
        harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
        harness.pass(5_000);
        harness.sign(Signal::SlowdownPercent(SLOW_PERCENT));
        let call = arrive(&mut harness, 1, 9_000);
        harness.sign(Signal::SlowdownPercent(FAST_PERCENT));
        harness.answer(call, 5 * WORK_MS);
        let load = harness.gate.load_report(harness.now);
        assert!(load.service_time < Duration::from_millis(WORK_MS + 10));
    };
    calls_stay_in_time_beside_busy_neighbours: neighbours_delay_few_calls();
}
