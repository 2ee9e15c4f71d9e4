//! Which waiting call is begun next, and when.

use super::admission::Gate;
use super::asking::Step;
use super::{Action, Kind, Ticket};
use crate::clock::Time;
use crate::reason::Reason;

/// A call that runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Begun {
    pub(super) kind: Kind,
    /// Times slower than usual that the machine was when it was begun.
    pub(super) slowness: f64,
}

impl Gate {
    /// Drops what cannot finish, admits what fits, notes an end of the drain.
    pub(super) fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        self.allowed_at = None;
        self.looks_at = None;
        while self.in_hand() < self.limit() && !self.pause.is_closed(now) {
            if self.queue.is_empty() || !self.allows(now) {
                break;
            }
            let Some(ticket) = self.next_begin(now, actions) else {
                self.looks_at = self.asking.next(&self.settings, &self.slowness);
                break;
            };
            self.begin(now, ticket);
            actions.push(Action::Admit(ticket));
        }
        self.settle_empty();
    }

    /// The call that is begun next; none while all are better begun later, or
    /// while the speed of the backend server is not known well enough to tell.
    fn next_begin(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<Ticket> {
        match self.asking.step(now, &self.settings, &self.slowness) {
            Step::Begin => {}
            Step::Ask => {
                actions.push(Action::Ask);
                return None;
            }
            Step::Wait => return None,
        }
        let held = |ticket| self.is_better_later(now, ticket);
        let next = self.queue.tickets().find(|&ticket| !held(ticket));
        if next.is_none() {
            self.return_held(now, actions);
        }
        next
    }

    /// Gives back what its entry does not want to wait for the end of the spell.
    fn return_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        let begin = now + self.slowness.remaining(now);
        while let Some(ticket) = self.queue.pop_unwanted(begin) {
            self.refuse(ticket, Reason::LateTurn, actions);
        }
    }

    fn is_better_later(&self, now: Time, ticket: Ticket) -> bool {
        let kind = self.waiting.get(&ticket).copied().unwrap_or_default();
        let usual = self.work.usual(kind);
        !self.slowness.outlook(now, usual).delay.is_zero()
    }

    fn begin(&mut self, now: Time, ticket: Ticket) {
        self.queue.remove(ticket);
        self.allowance.note(now);
        let begun = Begun {
            kind: self.waiting.remove(&ticket).unwrap_or_default(),
            slowness: self.slowness.factor(),
        };
        self.running.insert(ticket, begun);
    }

    /// Whether the cold allowance lets one more call through now.
    fn allows(&mut self, now: Time) -> bool {
        let Some(per_s) = self.cold_rate(now) else {
            return true;
        };
        let next = self.allowance.next(now, per_s);
        if next > now {
            self.allowed_at = Some(next);
        }
        next <= now
    }
}
