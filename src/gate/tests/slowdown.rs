//! Calls on a machine whose speed changes many times a second.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{Harness, settings};
use crate::gate::{Action, Arrival, CallClass, CallId, Outcome, Settings, Signal};
use crate::reason::Reason;

const CLASS: CallClass = CallClass(7);
/// Time that calls of [`CLASS`] take on a fast machine.
const WORK_MS: u64 = 100;
/// Hundredths of the usual time on a slow machine.
const SLOW: u32 = 500;
const FAST: u32 = 100;

/// A gate that knows how long calls of [`CLASS`] run and how fast its server is.
fn told() -> Harness {
    let mut harness = Harness::new(Settings {
        slow_ratio: f64::INFINITY,
        queue_capacity: 64,
        ..settings()
    });
    for number in 0..40 {
        let call_id = ask(&mut harness, 1_000 + number, 10_000);
        harness.pass(WORK_MS);
        harness.answer(call_id, WORK_MS);
    }
    harness.sign(Signal::SlowdownPercent(FAST));
    harness.actions.clear();
    harness
}

fn ask(harness: &mut Harness, call_id: u64, objective_ms: u64) -> CallId {
    ask_by(harness, call_id, objective_ms, None)
}

/// Asks for a call that is wanted back unless it is begun in time.
fn ask_by(
    harness: &mut Harness,
    call_id: u64,
    objective_ms: u64,
    patience_ms: Option<u64>,
) -> CallId {
    let after = |millis| harness.now + Duration::from_millis(millis);
    let arrival = Arrival {
        call_id: CallId(call_id),
        worth: 1,
        deadline: after(10_000),
        objective: Some(after(objective_ms)),
        class: CLASS,
        start_deadline: patience_ms.map(after),
    };
    let now = harness.now;
    harness.gate.on_arrival(now, arrival, &mut harness.actions);
    CallId(call_id)
}

fn questions(harness: &Harness) -> usize {
    let asked = |action: &&Action| **action == Action::QueryLoad;
    harness.actions.iter().filter(asked).count()
}

fn begun_when_the_spell_ends() {
    let mut harness = told();
    harness.sign(Signal::SlowdownPercent(SLOW));
    let call = ask(&mut harness, 1, 400);
    harness.pass(50);
    harness.sign(Signal::SlowdownPercent(SLOW));
    assert!(!harness.admitted(call));
    harness.pass(50);
    harness.sign(Signal::SlowdownPercent(FAST));
    assert!(harness.admitted(call));
}

fn given_back_when_the_spell_lasts_longer() {
    let mut harness = told();
    harness.pass(30);
    let call = ask_by(&mut harness, 1, 400, Some(20));
    let patient = ask_by(&mut harness, 2, 400, Some(300));
    assert_eq!(harness.refused(call), None);
    harness.sign(Signal::SlowdownPercent(SLOW));
    assert_eq!(harness.refused(call), Some(Reason::LateTurn));
    assert_eq!(harness.refused(patient), None);
}

fn given_back_when_slots_stay_in_use() {
    let mut harness = told();
    for number in 0..8 {
        ask(&mut harness, 100 + number, 400);
    }
    let call = ask_by(&mut harness, 1, 400, Some(50));
    assert_eq!(harness.refused(call), None);
    let due = harness.gate.next_tick().expect("it is wanted back");
    assert!(due.since(harness.now) <= Duration::from_millis(50));
    harness.pass(50);
    assert_eq!(harness.refused(call), Some(Reason::LateTurn));
}

fn begun_slow_in_a_long_spell() {
    let mut harness = told();
    harness.sign(Signal::SlowdownPercent(SLOW));
    harness.pass(5_000);
    harness.sign(Signal::SlowdownPercent(SLOW));
    let call = ask(&mut harness, 1, 2_000);
    assert!(harness.admitted(call));
}

fn spell_on_a_cold_server() {
    let mut harness = told();
    harness.sign(Signal::SlowdownPercent(200));
    harness.pass(2_000);
    harness.sign(Signal::SlowdownPercent(1_000));
    let call = ask(&mut harness, 1, 900);
    assert!(!harness.admitted(call));
    harness.pass(100);
    harness.sign(Signal::SlowdownPercent(200));
    assert!(harness.admitted(call));
}

fn asked_when_it_may_have_changed() {
    let mut harness = told();
    let first = ask(&mut harness, 1, 400);
    assert!(harness.admitted(first));
    assert_eq!(questions(&harness), 0);
    harness.pass(30);
    let second = ask(&mut harness, 2, 400);
    assert_eq!(questions(&harness), 1);
    assert!(!harness.admitted(second));
    harness.sign(Signal::SlowdownPercent(FAST));
    assert!(harness.admitted(second));
}

fn no_answer_delays_little() {
    let mut harness = told();
    harness.pass(30);
    let call = ask(&mut harness, 1, 400);
    let due = harness.gate.next_tick().expect("the answer is due");
    assert!(due.since(harness.now) <= Duration::from_millis(15));
    harness.pass(15);
    assert!(harness.admitted(call));
    let next = ask(&mut harness, 2, 400);
    assert!(harness.admitted(next));
    assert_eq!(questions(&harness), 1);
}

fn questions_are_bounded() {
    let mut harness = told();
    harness.sign(Signal::SlowdownPercent(SLOW));
    ask(&mut harness, 1, 9_000);
    for _ in 0..1_000 {
        harness.pass(5);
        harness.sign(Signal::SlowdownPercent(SLOW));
    }
    let per_s = settings().load_queries_per_s;
    let most = f64::from(u32::try_from(questions(&harness)).expect("few"));
    assert!(most <= per_s * 6.0, "{most} questions in 5 s");
}

/// Time within which a call of a replay is in time.
const OBJECTIVE_MS: u64 = 300;
/// Time for which a neighbour keeps its demand.
const SPELL_MS: u64 = 150;
const REPLAY_MS: u64 = 30_000;
/// Time between two calls.
const CALL_MS: u64 = 50;
/// Time between two reports that nobody asked for.
const REPORT_MS: u64 = 100;
/// Time that an answer to a question takes.
const ANSWER_MS: u64 = 2;

/// A call of a replay.
#[derive(Clone, Copy)]
struct Call {
    call_id: CallId,
    since: u64,
    ends: u64,
}

/// Every fourth spell is slow by chance; calls take as long as the machine is
/// slow when they are begun.
struct Replay {
    harness: Harness,
    speeds: Vec<u32>,
    calls: Vec<Call>,
    answer_at: Option<u64>,
    /// Calls that ended in time.
    in_time: usize,
    /// Calls that a gate which knows the speeds to come would end in time.
    possible: usize,
}

impl Replay {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || if random.random_bool(0.25) { SLOW } else { FAST };
        let spells = (REPLAY_MS + OBJECTIVE_MS).div_ceil(SPELL_MS) + 1;
        Self {
            harness: told(),
            speeds: (0..spells).map(|_| draw()).collect(),
            calls: Vec::new(),
            answer_at: None,
            in_time: 0,
            possible: 0,
        }
    }

    fn speed(&self, millis: u64) -> u32 {
        let spell = usize::try_from(millis / SPELL_MS).expect("few");
        self.speeds[spell]
    }

    fn run(&mut self) {
        for millis in 0..REPLAY_MS {
            if millis % CALL_MS == 0 {
                self.call(millis);
            }
            if self.answer_at == Some(millis) || millis % REPORT_MS == 0 {
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
        let call_id = ask(&mut self.harness, 10_000 + millis, OBJECTIVE_MS);
        self.calls.push(Call {
            call_id,
            since: millis,
            ends: u64::MAX,
        });
        let last_begin = millis + OBJECTIVE_MS - WORK_MS;
        let is_fast = |begin| self.speed(begin) == FAST;
        self.possible += usize::from((millis..=last_begin).any(is_fast));
    }

    fn act(&mut self, millis: u64) {
        let work = WORK_MS * u64::from(self.speed(millis)) / 100;
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                Action::Admit(call_id) => {
                    let call = self.calls.iter_mut().find(|call| call.call_id == call_id);
                    call.expect("it waited").ends = millis + work;
                }
                Action::Refuse(call_id, _) => self.calls.retain(|call| call.call_id != call_id),
                Action::QueryLoad => self.answer_at = Some(millis + ANSWER_MS),
            }
        }
    }

    fn end(&mut self, millis: u64) {
        let has_ended = |call: &Call| call.ends <= millis;
        let ended: Vec<Call> = self.calls.iter().copied().filter(has_ended).collect();
        self.calls.retain(|call| !has_ended(call));
        for call in ended {
            let service_time = Duration::from_millis(WORK_MS);
            let outcome = Outcome::Answered { service_time };
            self.harness.finish(call.call_id, outcome);
            self.in_time += usize::from(millis - call.since <= OBJECTIVE_MS);
        }
    }
}

fn neighbours_cost_little() {
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
    call_is_begun_when_the_slow_spell_ends: begun_when_the_spell_ends();
    call_is_given_back_at_once_when_its_turn_comes_too_late:
        given_back_when_the_spell_lasts_longer();
    call_is_given_back_when_its_turn_has_not_come: given_back_when_slots_stay_in_use();
    call_is_begun_slow_when_the_spell_lasts: begun_slow_in_a_long_spell();
    spell_of_a_cold_server_is_waited_for: spell_on_a_cold_server();
    speed_is_asked_for_when_it_may_have_changed: asked_when_it_may_have_changed();
    question_without_an_answer_delays_little: no_answer_delays_little();
    speed_that_nobody_tells_is_not_asked_for: {
        let mut harness = Harness::serving();
        harness.pass(1_000);
        let call = ask(&mut harness, 1, 400);
        assert!(harness.admitted(call));
        assert_eq!(questions(&harness), 0);
    };
    questions_stay_within_their_budget: questions_are_bounded();
    usual_time_is_learned_from_the_speed_at_the_begin: {
        let mut harness = told();
        harness.sign(Signal::SlowdownPercent(SLOW));
        harness.pass(5_000);
        harness.sign(Signal::SlowdownPercent(SLOW));
        let call = ask(&mut harness, 1, 9_000);
        harness.sign(Signal::SlowdownPercent(FAST));
        harness.answer(call, 5 * WORK_MS);
        let load = harness.gate.load_report(harness.now);
        assert!(load.service_time < Duration::from_millis(WORK_MS + 10));
    };
    busy_neighbours_leave_calls_in_time: neighbours_cost_little();
}
