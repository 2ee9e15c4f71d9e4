use std::time::Duration;

use crate::clock::Time;
use crate::gate::{Action, Arrival, CallId, Gate, Outcome, Settings, Signal};
use crate::plan::Cold;

pub(super) const STEP: Duration = Duration::from_millis(100);

pub(super) fn settings() -> Settings {
    Settings {
        slots: 8,
        cold: Cold {
            allowance: 2,
            steps: 2,
            step_time: STEP,
        },
        queue_capacity: 4,
        ..Settings::default()
    }
}

/// Gate with a virtual clock and the actions it returned.
pub(super) struct Harness {
    pub(super) gate: Gate,
    pub(super) now: Time,
    pub(super) actions: Vec<Action>,
    next_id: u64,
}

impl Harness {
    pub(super) fn cold() -> Self {
        Self::new(settings())
    }

    pub(super) fn new(settings: Settings) -> Self {
        Self {
            gate: Gate::new(settings, Time::ZERO),
            now: Time::ZERO,
            actions: Vec::new(),
            next_id: 0,
        }
    }

    /// Gate whose backend server has warmed up.
    pub(super) fn serving() -> Self {
        let mut harness = Self::cold();
        harness.warm();
        harness
    }

    pub(super) fn warm(&mut self) {
        for _ in 0..12 {
            self.answer_one();
            self.pass(50);
        }
        self.actions.clear();
    }

    pub(super) fn answer_one(&mut self) {
        let call_id = self.arrive(1);
        self.answer(call_id, 5);
    }

    pub(super) fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.gate.tick(self.now, &mut self.actions);
    }

    pub(super) fn arrive(&mut self, worth: u32) -> CallId {
        self.arrive_within(worth, 1_000)
    }

    pub(super) fn arrive_within(&mut self, worth: u32, millis: u64) -> CallId {
        let call_id = CallId(self.next_id);
        self.next_id += 1;
        let arrival = Arrival {
            call_id,
            worth,
            deadline: self.now + Duration::from_millis(millis),
            ..Arrival::default()
        };
        self.gate.on_arrival(self.now, arrival, &mut self.actions);
        call_id
    }

    pub(super) fn answer(&mut self, call_id: CallId, millis: u64) {
        let service_time = Duration::from_millis(millis);
        self.finish(call_id, Outcome::Answered { service_time });
    }

    pub(super) fn finish(&mut self, call_id: CallId, outcome: Outcome) {
        self.gate
            .on_finish(self.now, call_id, outcome, &mut self.actions);
    }

    pub(super) fn sign(&mut self, sign: Signal) {
        self.gate.on_signal(self.now, sign, &mut self.actions);
    }

    pub(super) fn admitted(&self, call_id: CallId) -> bool {
        self.actions.contains(&Action::Admit(call_id))
    }

    pub(super) fn refused(&self, call_id: CallId) -> Option<crate::reason::Reason> {
        self.actions.iter().find_map(|action| match action {
            Action::Refuse(refused_id, reason) if *refused_id == call_id => Some(*reason),
            _ => None,
        })
    }
}
