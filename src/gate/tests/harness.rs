use std::time::Duration;

use crate::clock::Time;
use crate::gate::{Action, Arrival, Gate, Outcome, Settings, Sign, Ticket};
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

/// A gate with a clock of its own and the actions it has asked for.
pub(super) struct Harness {
    pub(super) gate: Gate,
    pub(super) now: Time,
    pub(super) actions: Vec<Action>,
    next: u64,
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
            next: 0,
        }
    }

    /// A gate whose backend server has warmed up.
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
        let ticket = self.arrive(1);
        self.answer(ticket, 5);
    }

    pub(super) fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.gate.tick(self.now, &mut self.actions);
    }

    pub(super) fn arrive(&mut self, worth: u32) -> Ticket {
        self.arrive_within(worth, 1_000)
    }

    pub(super) fn arrive_within(&mut self, worth: u32, millis: u64) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let arrival = Arrival {
            ticket,
            worth,
            deadline: self.now + Duration::from_millis(millis),
            ..Arrival::default()
        };
        self.gate.arrive(self.now, arrival, &mut self.actions);
        ticket
    }

    pub(super) fn answer(&mut self, ticket: Ticket, millis: u64) {
        let service_time = Duration::from_millis(millis);
        self.finish(ticket, Outcome::Answered { service_time });
    }

    pub(super) fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        self.gate
            .finish(self.now, ticket, outcome, &mut self.actions);
    }

    pub(super) fn sign(&mut self, sign: Sign) {
        self.gate.sign(self.now, sign, &mut self.actions);
    }

    pub(super) fn admitted(&self, ticket: Ticket) -> bool {
        self.actions.contains(&Action::Admit(ticket))
    }

    pub(super) fn refused(&self, ticket: Ticket) -> Option<crate::reason::Reason> {
        self.actions.iter().find_map(|action| match action {
            Action::Refuse(own, reason) if *own == ticket => Some(*reason),
            _ => None,
        })
    }
}
