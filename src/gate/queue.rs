//! Priority queue of the calls that wait at a gate.
//!
//! The highest worth goes first, then the earliest turn among tenants, then the earliest deadline. A call waits as long as it can still
//! meet its objective. After that it is refused, so that its entry can try another gate or its
//! caller can retry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;

use super::turns::{Turn, Turns};
use super::{Arrival, CallId, TenantId};

/// Priority of a queued call; the smallest value is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Calls that can no longer meet their objective go last.
    past_objective: bool,
    worth: Reverse<u32>,
    turn: Turn,
    deadline: Time,
    sequence: u64,
}

/// Latest useful start times of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartDeadlines {
    /// Whether the objective can no longer be met.
    pub(super) past_objective: bool,
    /// Latest start that meets the objective, if there is one; for a call past its objective, the
    /// end of its permitted queue time.
    pub(super) objective_deadline: Option<Time>,
    /// Latest start that meets the deadline.
    pub(super) final_deadline: Time,
    /// Latest start that the entry accepts.
    pub(super) entry_deadline: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    rank: Rank,
    tenant: Option<TenantId>,
    start_deadlines: StartDeadlines,
}

/// Queued calls, indexed by rank and by each deadline.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_rank: BTreeMap<Rank, CallId>,
    calls: BTreeMap<CallId, QueuedCall>,
    by_final_deadline: BTreeSet<(Time, CallId)>,
    by_objective_deadline: BTreeSet<(Time, CallId)>,
    by_entry_deadline: BTreeSet<(Time, CallId)>,
    turns: Turns,
    sequence: u64,
}

impl Queue {
    pub(super) fn push(&mut self, arrival: &Arrival, start_deadlines: StartDeadlines) {
        let rank = self.rank(arrival, start_deadlines.past_objective);
        self.turns.take(arrival.tenant);
        self.sequence += 1;
        self.by_rank.insert(rank, arrival.call_id);
        self.calls.insert(
            arrival.call_id,
            QueuedCall {
                rank,
                tenant: arrival.tenant,
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

    /// Removes a call that does not start here.
    pub(super) fn remove(&mut self, call_id: CallId) -> bool {
        let Some(call) = self.take(call_id) else {
            return false;
        };
        self.turns.give_back(call.tenant);
        true
    }

    /// Removes a call that starts.
    pub(super) fn start(&mut self, call_id: CallId) {
        if let Some(call) = self.take(call_id) {
            self.turns.start(call.rank.turn);
        }
    }

    fn take(&mut self, call_id: CallId) -> Option<QueuedCall> {
        let call = self.calls.remove(&call_id)?;
        let QueuedCall {
            rank,
            start_deadlines,
            ..
        } = call;
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
        Some(call)
    }

    pub(super) fn contains(&self, call_id: CallId) -> bool {
        self.calls.contains_key(&call_id)
    }

    /// Queued calls in order of admission.
    pub(super) fn call_ids(&self) -> impl Iterator<Item = CallId> {
        self.by_rank.values().copied()
    }

    pub(super) fn pop_first(&mut self) -> Option<CallId> {
        let call_id = *self.by_rank.first_key_value()?.1;
        self.remove(call_id);
        Some(call_id)
    }

    /// Removes the call that would be admitted last if it is past its objective, worth less than
    /// the queued call `arrived`, or has a later turn.
    pub(super) fn pop_lowest_below(&mut self, arrived: CallId) -> Option<CallId> {
        let own = self.calls.get(&arrived)?.rank;
        let (rank, &call_id) = self.by_rank.last_key_value()?;
        let is_lower = (rank.worth, rank.turn) > (own.worth, own.turn);
        if !is_lower && !rank.past_objective {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Removes one call that would miss its deadline if it started after `now`.
    pub(super) fn pop_past_deadline(&mut self, now: Time) -> Option<CallId> {
        let &(final_deadline, call_id) = self.by_final_deadline.first()?;
        if final_deadline > now {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Removes one call that can no longer meet its objective. If it stayed queued, it would be
    /// late at best, and its caller would not learn that it should try elsewhere.
    pub(super) fn pop_past_objective(&mut self, now: Time) -> Option<CallId> {
        let &(objective_deadline, call_id) = self.by_objective_deadline.first()?;
        if objective_deadline > now {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Removes one call whose entry requires a start before or at `time`.
    pub(super) fn pop_past_entry_deadline(&mut self, time: Time) -> Option<CallId> {
        let &(entry_deadline, call_id) = self.by_entry_deadline.first()?;
        if entry_deadline > time {
            return None;
        }
        self.remove(call_id);
        Some(call_id)
    }

    /// Time at which the next call must be removed if it has not been admitted.
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

    /// Number of calls that would be admitted before `arrival`.
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

    fn rank(&self, arrival: &Arrival, past_objective: bool) -> Rank {
        Rank {
            past_objective,
            worth: Reverse(arrival.worth),
            turn: self.turns.peek(arrival.tenant),
            deadline: arrival.deadline,
            sequence: self.sequence,
        }
    }
}
