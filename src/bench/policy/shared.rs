//! One queue before all backend servers, with perfect knowledge of them.
//!
//! It knows what every server has in hand, all noise to come and every fault at
//! once, and gives the call of the highest worth to the free slot that will
//! finish it first. No real load balancer can know this; it shows the limit.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::call::Reason;
use crate::clock::Time;

use super::arrivals::{Arrival, DEADLINE};
use super::faults::Faults;
use super::fleet::Stopwatch;
use super::link::Link;
use super::message::{Call, Outcome, Request};
use super::scenario::{COLD, SLOTS};
use super::tally::{End, Tally};

/// The queue and the servers behind it.
pub(super) struct Shared {
    pub(super) stopwatch: Stopwatch,
    pub(super) tally: Arc<Mutex<Tally>>,
    pub(super) state: Mutex<State>,
}

/// What the queue knows.
pub(super) struct State {
    servers: Vec<Known>,
    queue: BTreeMap<(Reverse<u32>, Time, u64), Arrival>,
    next: u64,
}

struct Known {
    link: Arc<Link>,
    faults: Faults,
    in_hand: u32,
}

impl State {
    pub(super) fn new(servers: impl Iterator<Item = (Arc<Link>, Faults)>) -> Self {
        Self {
            servers: servers
                .map(|(link, faults)| Known {
                    link,
                    faults,
                    in_hand: 0,
                })
                .collect(),
            queue: BTreeMap::new(),
            next: 0,
        }
    }

    /// The free server that would finish `arrival` first.
    fn best(&self, now: Time, arrival: &Arrival) -> Option<usize> {
        let open = |known: &Known| {
            let cold = known.faults.is_cold(now);
            let limit = if cold { COLD.allowance } else { SLOTS };
            let out = known.faults.zone_out.is_some_and(|span| span.contains(now));
            known.in_hand < limit && !out && !known.faults.is_failing(now)
        };
        let ends = self.servers.iter().enumerate();
        ends.filter(|(_, known)| open(known))
            .min_by_key(|(_, known)| known.faults.finish(now, arrival.work))
            .map(|(index, _)| index)
    }
}

impl Shared {
    pub(super) fn arrive(self: &Arc<Self>, arrival: Arrival) {
        let mut state = self.state();
        let key = (Reverse(arrival.worth), arrival.at, state.next);
        state.next += 1;
        state.queue.insert(key, arrival);
        self.pump(&mut state);
    }

    fn pump(self: &Arc<Self>, state: &mut State) {
        let now = self.stopwatch.now();
        self.expire(state, now);
        while let Some((&key, &arrival)) = state.queue.first_key_value() {
            let Some(server) = state.best(now, &arrival) else {
                return;
            };
            state.queue.remove(&key);
            state.servers[server].in_hand += 1;
            let link = Arc::clone(&state.servers[server].link);
            tokio::spawn(Arc::clone(self).run(server, link, arrival));
        }
    }

    /// Refuses what has no time left to be worked on.
    fn expire(&self, state: &mut State, now: Time) {
        let late = |arrival: &Arrival| now + arrival.work >= arrival.at + DEADLINE;
        let expired = state.queue.extract_if(.., |_, arrival| late(arrival));
        for (_, arrival) in expired {
            let end = End::Refused(Reason::Deadline);
            self.tally().ended(&arrival, now.since(arrival.at), end);
        }
    }

    async fn run(self: Arc<Self>, server: usize, link: Arc<Link>, arrival: Arrival) {
        let id = link.next_id();
        let call = Call {
            id,
            worth: arrival.worth,
            left: DEADLINE,
            work: arrival.work,
            admitted: true,
        };
        let answer = link.ask(id, Request::Call(call)).await;
        let done = answer.is_ok_and(|answer| answer.result == Outcome::Done);
        let mut state = self.state();
        state.servers[server].in_hand -= 1;
        self.finish(&mut state, arrival, done);
        self.pump(&mut state);
    }

    fn finish(&self, state: &mut State, arrival: Arrival, done: bool) {
        let now = self.stopwatch.now();
        if !done && now < arrival.at + DEADLINE {
            let key = (Reverse(arrival.worth), arrival.at, state.next);
            state.next += 1;
            state.queue.insert(key, arrival);
            self.tally().retried(&arrival);
            return;
        }
        let end = if done { End::Answered } else { End::Failed };
        self.tally().ended(&arrival, now.since(arrival.at), end);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
