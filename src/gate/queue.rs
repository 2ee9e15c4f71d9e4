//! Calls that wait at a gate.
//!
//! The highest worth goes first, then the earliest deadline. A call waits as long
//! as it can still meet its objective; after that it is refused, so that it may
//! go to another gate or come back.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;

use super::{Arrival, CallId};

/// Position of a waiting call. Smaller is admitted earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Calls that can only be late go last.
    past_objective: bool,
    worth: Reverse<u32>,
    deadline: Time,
    sequence: u64,
}

/// Last moments at which a call is worth starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartDeadlines {
    /// Whether it is past its objective already.
    pub(super) past_objective: bool,
    /// To meet its objective, where it has one; to wait no longer than a late
    /// call may.
    pub(super) objective_deadline: Option<Time>,
    /// To be answered at all.
    pub(super) final_deadline: Time,
    /// For its entry to want it here.
    pub(super) entry_deadline: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    rank: Rank,
    start_deadlines: StartDeadlines,
}

/// Waiting calls by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_rank: BTreeMap<Rank, CallId>,
    calls: BTreeMap<CallId, QueuedCall>,
    by_final_deadline: BTreeSet<(Time, CallId)>,
    by_objective_deadline: BTreeSet<(Time, CallId)>,
    by_entry_deadline: BTreeSet<(Time, CallId)>,
    sequence: u64,
}

impl Queue {
    pub(super) fn push(&mut self, arrival: &Arrival, start_deadlines: StartDeadlines) {
        let rank = self.rank(arrival, start_deadlines.past_objective);
        self.sequence += 1;
        self.by_rank.insert(rank, arrival.call_id);
        self.calls.insert(
            arrival.call_id,
            QueuedCall {
                rank,
                start_deadlines,
            },
        );
        self.by_final_deadline
            .insert((start_deadlines.final_deadline, arrival.call_id));
        if let Some(objective_deadline) = start_deadlines.objective_deadline {
            self.by_objective_deadline
                .insert((objective_deadline, arrival.call_id));
        }
        if let Some(entry_deadline) = start_deadlines.entry_deadline {
            self.by_entry_deadline
                .insert((entry_deadline, arrival.call_id));
        }
    }

    pub(super) fn remove(&mut self, call_id: CallId) -> bool {
        let Some(QueuedCall {
            rank,
            start_deadlines,
        }) = self.calls.remove(&call_id)
        else {
            return false;
        };
        self.by_rank.remove(&rank);
        self.by_final_deadline
            .remove(&(start_deadlines.final_deadline, call_id));
        if let Some(objective_deadline) = start_deadlines.objective_deadline {
            self.by_objective_deadline
                .remove(&(objective_deadline, call_id));
        }
        if let Some(entry_deadline) = start_deadlines.entry_deadline {
            self.by_entry_deadline.remove(&(entry_deadline, call_id));
        }
        true
    }

    pub(super) fn contains(&self, call_id: CallId) -> bool {
        self.calls.contains_key(&call_id)
    }

    /// Waiting calls in the order in which they are to be admitted.
    pub(super) fn call_ids(&self) -> impl Iterator<Item = CallId> {
        self.by_rank.values().copied()
    }

    pub(super) fn pop_first(&mut self) -> Option<CallId> {
        let call_id = *self.by_rank.first_key_value()?.1;
        self.remove(call_id);
        Some(call_id)
    }

    /// Takes out the call that is admitted last, if it is worth less than `worth`.
    pub(super) fn pop_lowest_below(&mut self, worth: u32) -> Option<CallId> {
        let (rank, &call_id) = self.by_rank.last_key_value()?;
        if rank.worth.0 >= worth && !rank.past_objective {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Takes out one call that cannot be answered any more if it start_deadlines after `now`.
    pub(super) fn pop_past_deadline(&mut self, now: Time) -> Option<CallId> {
        let &(final_deadline, call_id) = self.by_final_deadline.first()?;
        if final_deadline > now {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Takes out one call that cannot meet its objective any more. Waiting on, it
    /// would be late at best, and nobody would tell the caller to look elsewhere.
    pub(super) fn pop_past_objective(&mut self, now: Time) -> Option<CallId> {
        let &(objective_deadline, call_id) = self.by_objective_deadline.first()?;
        if objective_deadline > now {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Takes out one call that its entry wants back if it is not begun by `time`.
    pub(super) fn pop_past_entry_deadline(&mut self, time: Time) -> Option<CallId> {
        let &(entry_deadline, call_id) = self.by_entry_deadline.first()?;
        if entry_deadline > time {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// When the next call is to be taken out unless it is admitted before.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let final_deadline = self
            .by_final_deadline
            .first()
            .map(|&(final_deadline, _)| final_deadline);
        let objective_deadline = self
            .by_objective_deadline
            .first()
            .map(|&(objective_deadline, _)| objective_deadline);
        let entry_deadline = self
            .by_entry_deadline
            .first()
            .map(|&(entry_deadline, _)| entry_deadline);
        [final_deadline, objective_deadline, entry_deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Calls that would be admitted before `arrival`.
    pub(super) fn count_ahead(&self, arrival: &Arrival, past_objective: bool) -> usize {
        self.by_rank
            .range(..self.rank(arrival, past_objective))
            .count()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    const fn rank(&self, arrival: &Arrival, past_objective: bool) -> Rank {
        Rank {
            past_objective,
            worth: Reverse(arrival.worth),
            deadline: arrival.deadline,
            sequence: self.sequence,
        }
    }
}
