//! Invariants for any order of events, including late and duplicate ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::clock::Time;
use crate::gate::{Action, Arrival, CallId, Gate, Outcome, Settings, Signal, State};
use crate::plan::Cold;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive {
        call_id: u64,
        worth: u32,
        millis: u64,
    },
    Finish {
        call_id: u64,
        outcome: Outcome,
    },
    Recall {
        call_id: u64,
    },
    Signal(Signal),
    Zone(bool),
    Drain,
    Pass(u64),
    Slots(u32),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => (1_u64..40).prop_map(|millis| Outcome::Answered {
            service_time: Duration::from_millis(millis),
        }),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Cancelled),
    ]
}

fn sign() -> impl Strategy<Value = Signal> {
    prop_oneof![
        (0_u64..4).prop_map(Signal::Boot),
        Just(Signal::Cold),
        Just(Signal::Serving),
        Just(Signal::Draining),
        Just(Signal::Unhealthy),
        (50_u32..1_200).prop_map(Signal::SlowdownPercent),
    ]
}

/// Few ids, so that many events are duplicate, late or about unknown calls.
fn event() -> impl Strategy<Value = Event> {
    let call_id = 0_u64..40;
    prop_oneof![
        12 => (call_id.clone(), 0_u32..4, 0_u64..200).prop_map(|(call_id, worth, millis)| {
            Event::Arrive { call_id, worth, millis }
        }),
        12 => (call_id.clone(), outcome())
            .prop_map(|(call_id, outcome)| Event::Finish { call_id, outcome }),
        2 => call_id.prop_map(|call_id| Event::Recall { call_id }),
        1 => sign().prop_map(Event::Signal),
        1 => any::<bool>().prop_map(Event::Zone),
        4 => (0_u64..60).prop_map(Event::Pass),
        1 => (1_u32..10).prop_map(Event::Slots),
    ]
}

fn settings(slots: u32) -> Settings {
    Settings {
        slots,
        cold: Cold {
            allowance: 2,
            steps: 3,
            step_time: Duration::from_millis(20),
        },
        queue_capacity: 5,
        ..Settings::default()
    }
}

/// Tracks what can be observed of the gate from outside.
struct Observer {
    gate: Gate,
    settings: Settings,
    now: Time,
    running: BTreeSet<u64>,
    queued: BTreeMap<u64, Arrival>,
    zone_in: bool,
}

impl Observer {
    fn new() -> Self {
        let settings = settings(6);
        Self {
            gate: Gate::new(settings, Time::ZERO),
            settings,
            now: Time::ZERO,
            running: BTreeSet::new(),
            queued: BTreeMap::new(),
            zone_in: true,
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        let mut actions = Vec::new();
        let state_before = self.gate.state();
        match event {
            Event::Arrive {
                call_id,
                worth,
                millis,
            } => {
                self.arrive(call_id, worth, millis, &mut actions);
            }
            Event::Finish { call_id, outcome } => {
                self.running.remove(&call_id);
                self.gate
                    .on_finish(now, CallId(call_id), outcome, &mut actions);
            }
            Event::Recall { call_id } => {
                let recalled = self.gate.recall(now, CallId(call_id));
                assert_eq!(recalled, self.queued.remove(&call_id).is_some());
            }
            Event::Signal(sign) => self.gate.on_signal(now, sign, &mut actions),
            Event::Zone(zone_in) => {
                self.zone_in = zone_in;
                self.gate.set_zone_in_service(now, zone_in, &mut actions);
            }
            Event::Drain => self.gate.start_drain(now, &mut actions),
            Event::Pass(millis) => {
                self.now = now + Duration::from_millis(millis);
                self.gate.tick(self.now, &mut actions);
            }
            Event::Slots(slots) => {
                self.settings = settings(slots);
                self.gate.configure(now, self.settings, &mut actions);
            }
        }
        self.check_actions(&actions);
        self.check_counts();
        if state_before == State::Left {
            assert_eq!(self.gate.state(), State::Left);
        }
    }

    fn arrive(&mut self, call_id: u64, worth: u32, millis: u64, actions: &mut Vec<Action>) {
        let arrival = Arrival {
            call_id: CallId(call_id),
            worth,
            deadline: self.now + Duration::from_millis(millis),
            ..Arrival::default()
        };
        let known = self.running.contains(&call_id) || self.queued.contains_key(&call_id);
        self.gate.on_arrival(self.now, arrival, actions);
        if known {
            assert!(
                actions
                    .iter()
                    .all(|action| *action != Action::Admit(CallId(call_id)))
            );
        } else {
            self.queued.insert(call_id, arrival);
        }
    }

    /// Checks that every call is admitted or refused once and that the limit holds.
    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Admit(CallId(call_id)) => {
                    let arrival = self.queued.remove(&call_id).expect("it was waiting");
                    assert!(arrival.deadline > self.now, "admitted after its deadline");
                    assert!(self.running.insert(call_id), "admitted twice");
                    assert!(self.running.len() <= self.gate.limit() as usize);
                }
                Action::Refuse(CallId(call_id), _) => {
                    assert!(self.queued.remove(&call_id).is_some(), "refused twice");
                }
                Action::QueryLoad => {}
            }
        }
    }

    fn check_counts(&self) {
        assert_eq!(self.gate.in_hand() as usize, self.running.len());
        assert_eq!(self.gate.queued() as usize, self.queued.len());
        assert!(self.queued.len() <= self.settings.queue_capacity);
        assert!(self.gate.limit() <= self.settings.slots);
        if self.gate.state() == State::Cold {
            assert!(self.gate.limit() <= self.settings.cold.allowance);
        }
        let load = self.gate.load_report(self.now);
        let closed = matches!(self.gate.state(), State::Draining | State::Left);
        assert!(!(load.accepting && (closed || !self.zone_in)));
    }

    /// Finishes every running call and lets time pass until no call may be left.
    fn finish_all(&mut self) {
        for _ in 0..20 {
            for call_id in self.running.clone() {
                let service_time = Duration::from_millis(5);
                let outcome = Outcome::Answered { service_time };
                self.apply(Event::Finish { call_id, outcome });
            }
            self.apply(Event::Pass(300));
        }
        assert!(self.running.is_empty() && self.queued.is_empty());
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_order_of_events_keeps_counts_limits_and_answers(
        events in prop::collection::vec(event(), 1..160),
    ) {
        let mut observer = Observer::new();
        for event in events {
            observer.apply(event);
        }
        observer.finish_all();
    }

    #[test]
    fn a_planned_stop_ends_in_left_and_stays_there(
        before in prop::collection::vec(event(), 1..60),
        after in prop::collection::vec(event(), 1..60),
    ) {
        let mut observer = Observer::new();
        for event in before {
            observer.apply(event);
        }
        observer.apply(Event::Drain);
        for event in after {
            observer.apply(event);
        }
        observer.finish_all();
        prop_assert_eq!(observer.gate.state(), State::Left);
    }

    #[test]
    fn next_tick_never_lies_behind_a_wait_without_end(
        events in prop::collection::vec(event(), 1..160),
    ) {
        let mut observer = Observer::new();
        for event in events {
            observer.apply(event);
            if observer.gate.queued() > 0 {
                prop_assert!(observer.gate.next_tick().is_some());
            }
        }
    }
}
