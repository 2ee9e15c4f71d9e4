//! Calls that wait at a gate.
//!
//! The highest worth goes first, then the earliest deadline. A call waits as long
//! as it can still meet its objective; after that it is refused, so that it may
//! go to another gate or come back.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Time;

use super::{Arrival, Ticket};

/// Position of a waiting call. Smaller is admitted earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Calls that can only be late go last.
    late: bool,
    worth: Reverse<u32>,
    deadline: Time,
    sequence: u64,
}

/// Last moments at which a call is worth starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Starts {
    /// Whether it is past its objective already.
    pub(super) late: bool,
    /// To meet its objective, where it has one; to wait no longer than a late
    /// call may.
    pub(super) in_time: Option<Time>,
    /// To be answered at all.
    pub(super) at_all: Time,
    /// For its entry to want it here.
    pub(super) begin_by: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: Rank,
    starts: Starts,
}

/// Waiting calls by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_rank: BTreeMap<Rank, Ticket>,
    entries: BTreeMap<Ticket, Entry>,
    hopeless: BTreeSet<(Time, Ticket)>,
    late: BTreeSet<(Time, Ticket)>,
    unwanted: BTreeSet<(Time, Ticket)>,
    sequence: u64,
}

impl Queue {
    pub(super) fn push(&mut self, arrival: &Arrival, starts: Starts) {
        let rank = self.rank(arrival, starts.late);
        self.sequence += 1;
        self.by_rank.insert(rank, arrival.ticket);
        self.entries.insert(arrival.ticket, Entry { rank, starts });
        self.hopeless.insert((starts.at_all, arrival.ticket));
        if let Some(in_time) = starts.in_time {
            self.late.insert((in_time, arrival.ticket));
        }
        if let Some(begin_by) = starts.begin_by {
            self.unwanted.insert((begin_by, arrival.ticket));
        }
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(Entry { rank, starts }) = self.entries.remove(&ticket) else {
            return false;
        };
        self.by_rank.remove(&rank);
        self.hopeless.remove(&(starts.at_all, ticket));
        if let Some(in_time) = starts.in_time {
            self.late.remove(&(in_time, ticket));
        }
        if let Some(begin_by) = starts.begin_by {
            self.unwanted.remove(&(begin_by, ticket));
        }
        true
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.entries.contains_key(&ticket)
    }

    /// Waiting calls in the order in which they are to be admitted.
    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.by_rank.values().copied()
    }

    pub(super) fn pop_first(&mut self) -> Option<Ticket> {
        let ticket = *self.by_rank.first_key_value()?.1;
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out the call that is admitted last, if it is worth less than `worth`.
    pub(super) fn pop_below(&mut self, worth: u32) -> Option<Ticket> {
        let (rank, &ticket) = self.by_rank.last_key_value()?;
        if rank.worth.0 >= worth && !rank.late {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out one call that cannot be answered any more if it starts after `now`.
    pub(super) fn pop_hopeless(&mut self, now: Time) -> Option<Ticket> {
        let &(at_all, ticket) = self.hopeless.first()?;
        if at_all > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out one call that cannot meet its objective any more. Waiting on, it
    /// would be late at best, and nobody would tell the caller to look elsewhere.
    pub(super) fn pop_late(&mut self, now: Time) -> Option<Ticket> {
        let &(in_time, ticket) = self.late.first()?;
        if in_time > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// Takes out one call that its entry wants back if it is not begun by `time`.
    pub(super) fn pop_unwanted(&mut self, time: Time) -> Option<Ticket> {
        let &(begin_by, ticket) = self.unwanted.first()?;
        if begin_by > time {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// When the next call is to be taken out unless it is admitted before.
    pub(super) fn first_due(&self) -> Option<Time> {
        let hopeless = self.hopeless.first().map(|&(at_all, _)| at_all);
        let late = self.late.first().map(|&(in_time, _)| in_time);
        let unwanted = self.unwanted.first().map(|&(begin_by, _)| begin_by);
        [hopeless, late, unwanted].into_iter().flatten().min()
    }

    /// Calls that would be admitted before `arrival`.
    pub(super) fn ahead_of(&self, arrival: &Arrival, late: bool) -> usize {
        self.by_rank.range(..self.rank(arrival, late)).count()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    const fn rank(&self, arrival: &Arrival, late: bool) -> Rank {
        Rank {
            late,
            worth: Reverse(arrival.worth),
            deadline: arrival.deadline,
            sequence: self.sequence,
        }
    }
}
