//! Calls that wait at a gate: highest worth first, then the earliest deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;

use super::{Arrival, Ticket};

/// Position of a waiting call. Smaller is admitted earlier.
type Rank = (Reverse<u32>, Time, u64);

/// Waiting calls by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_rank: BTreeMap<Rank, Ticket>,
    ranks: BTreeMap<Ticket, Rank>,
    deadlines: BTreeSet<(Time, Ticket)>,
    sequence: u64,
}

impl Queue {
    pub(super) fn push(&mut self, arrival: &Arrival) {
        let rank = (Reverse(arrival.worth), arrival.deadline, self.sequence);
        self.sequence += 1;
        self.by_rank.insert(rank, arrival.ticket);
        self.ranks.insert(arrival.ticket, rank);
        self.deadlines.insert((arrival.deadline, arrival.ticket));
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(rank) = self.ranks.remove(&ticket) else {
            return false;
        };
        self.by_rank.remove(&rank);
        self.deadlines.remove(&(rank.1, ticket));
        true
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.ranks.contains_key(&ticket)
    }

    pub(super) fn pop_first(&mut self) -> Option<Ticket> {
        let ticket = *self.by_rank.first_key_value()?.1;
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out the call that is admitted last, if it is worth less than `worth`.
    pub(super) fn pop_below(&mut self, worth: u32) -> Option<Ticket> {
        let (&(Reverse(lowest), ..), &ticket) = self.by_rank.last_key_value()?;
        if lowest >= worth {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out one call whose deadline is not after `limit`.
    pub(super) fn pop_late(&mut self, limit: Time) -> Option<Ticket> {
        let &(deadline, ticket) = self.deadlines.first()?;
        if deadline > limit {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    pub(super) fn first_deadline(&self) -> Option<Time> {
        let &(deadline, _) = self.deadlines.first()?;
        Some(deadline)
    }

    /// Calls that would be admitted before `arrival`.
    pub(super) fn ahead_of(&self, arrival: &Arrival) -> usize {
        let rank = (Reverse(arrival.worth), arrival.deadline, self.sequence);
        self.by_rank.range(..rank).count()
    }

    pub(super) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}
