//! One entry: chooses, sends, recalls and tries again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::call::Reason;
use crate::clock::Time;
use crate::membership::ClusterSnapshot;
use crate::plan::{Regions, key as plan_key};
use crate::routing::{Choice, Chooser, Event, SelectionRequest, TriedBackends, key};

use super::arrivals::{Arrival, DEADLINE};
use super::fleet::Stopwatch;
use super::link::Link;
use super::message::{self, Answer, Call, Outcome, Request};
use super::reports::Reports;
use super::tally::{End, Tally};

/// The only service of the block.
const SERVICE: plan_key::Service = plan_key::Service(0);
/// Attempts at one call, the first included.
const ATTEMPTS: u32 = 3;
/// Bytes that one call counts for between regions.
const CALL_BYTES: u64 = 1_000;

/// One entry of the block.
pub(super) struct Entry {
    pub(super) region: String,
    pub(super) links: BTreeMap<String, Remote>,
    pub(super) stopwatch: Stopwatch,
    pub(super) tally: Arc<Mutex<Tally>>,
    pub(super) chooser: Mutex<Box<dyn Chooser>>,
    pub(super) reports: Mutex<Reports>,
}

/// A backend server as an entry reaches it.
pub(super) struct Remote {
    pub(super) region: String,
    pub(super) link: Arc<Link>,
}

impl Entry {
    /// Takes over plan and view.
    pub(super) fn update(&self, snapshot: &ClusterSnapshot) {
        self.chooser().update(self.stopwatch.now(), snapshot);
    }

    pub(super) fn observe(&self, backend: key::Backend, event: &Event) {
        self.chooser().observe(self.stopwatch.now(), backend, event);
    }

    /// Runs one call to its end.
    pub(super) async fn call(self: Arc<Self>, arrival: Arrival) {
        self.chooser().on_call(self.stopwatch.now(), SERVICE);
        let end = self.attempts(&arrival).await;
        let elapsed = self.stopwatch.now().since(arrival.at);
        self.tally().ended(&arrival, elapsed, end);
    }

    /// Sends one probe when the chooser asks for it.
    pub(super) async fn probe(self: Arc<Self>) {
        let probe = self.chooser().probe(self.stopwatch.now());
        let Some(choice) = probe else { return };
        let Some(remote) = self.links.get(&choice.instance) else {
            return;
        };
        let id = remote.link.next_id();
        let request = Request::Probe { id };
        let sent = message::encode(&request).len();
        if let Ok(answer) = remote.link.ask(id, request).await {
            let bytes = sent + message::encode(&answer).len();
            let now = self.stopwatch.now();
            self.tally().measured_load(now, bytes);
            self.report(choice.backend, &answer);
        }
    }

    async fn attempts(self: &Arc<Self>, arrival: &Arrival) -> End {
        let deadline = arrival.at + DEADLINE;
        let mut tried = TriedBackends::default();
        let mut attempt = 1;
        loop {
            let ask = ask(arrival, deadline, tried);
            let chosen = self.chooser().choose(self.stopwatch.now(), &ask);
            let choice = match chosen {
                Ok(choice) => choice,
                Err(reason) => return End::Refused(reason),
            };
            let end = self.attempt(arrival, deadline, &choice).await;
            let again = !matches!(end, End::Answered) && attempt < ATTEMPTS;
            if !again || !self.may_try_again(end, deadline) {
                return end;
            }
            attempt += 1;
            tried.insert(choice.backend);
            self.tally().retried(arrival);
        }
    }

    fn may_try_again(&self, end: End, deadline: Time) -> bool {
        let now = self.stopwatch.now();
        // The token for a recalled call was taken before the recall.
        let paid = matches!(end, End::Refused(Reason::Recalled));
        now < deadline && (paid || self.chooser().take_retry_token(now, SERVICE))
    }

    async fn attempt(self: &Arc<Self>, arrival: &Arrival, deadline: Time, choice: &Choice) -> End {
        let Some(remote) = self.links.get(&choice.instance) else {
            return End::Failed;
        };
        if remote.region != self.region {
            self.tally().sent_away(arrival, CALL_BYTES);
        }
        let start = self.stopwatch.now();
        let id = remote.link.next_id();
        let call = Call {
            id,
            worth: arrival.worth,
            left: deadline.since(start),
            work: arrival.work,
            admitted: false,
        };
        let mut answer = remote.link.ask(id, Request::Call(call));
        let recall_after = choice.recall_after.unwrap_or(Duration::MAX);
        let result = tokio::select! {
            result = &mut answer => result,
            () = sleep(recall_after) => {
                let token = !remote.link.is_admitted(id) && self.recall(remote, id);
                let result = answer.await;
                self.settle_recall(token, result.as_ref().ok());
                result
            }
        };
        match result {
            Ok(answer) => self.ended(choice, start, &answer),
            Err(_) => End::Failed,
        }
    }

    /// Asks for the call back if there is a token for trying it elsewhere.
    fn recall(&self, remote: &Remote, id: u64) -> bool {
        let token = self
            .chooser()
            .take_retry_token(self.stopwatch.now(), SERVICE);
        if token {
            remote.link.send(Request::Recall { id });
        }
        token
    }

    fn settle_recall(&self, token: bool, answer: Option<&Answer>) {
        let recalled = Outcome::Refused(Reason::Recalled);
        if token && answer.is_none_or(|answer| answer.result != recalled) {
            self.chooser()
                .return_retry_token(self.stopwatch.now(), SERVICE);
        }
    }

    fn ended(self: &Arc<Self>, choice: &Choice, start: Time, answer: &Answer) -> End {
        let elapsed = self.stopwatch.now().since(start);
        let bytes = CALL_BYTES;
        let (event, end) = match answer.result {
            Outcome::Done | Outcome::Probed | Outcome::Admitted => {
                (Event::Answered { elapsed, bytes }, End::Answered)
            }
            Outcome::Refused(reason) => (Event::Refused(reason), End::Refused(reason)),
            Outcome::Failed => (Event::Failed, End::Failed),
        };
        self.observe(choice.backend, &event);
        self.tally()
            .measured_load(start, message::encode(&answer.load).len());
        self.report(choice.backend, answer);
        end
    }

    fn report(self: &Arc<Self>, backend: key::Backend, answer: &Answer) {
        self.reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deliver(self, backend, answer.load);
    }

    fn chooser(&self) -> MutexGuard<'_, Box<dyn Chooser>> {
        self.chooser.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn sleep(duration: Duration) {
    if duration == Duration::MAX {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(duration).await;
}

fn ask(arrival: &Arrival, deadline: Time, tried: TriedBackends) -> SelectionRequest {
    SelectionRequest {
        service: SERVICE,
        regions: Regions::ALL,
        worth: arrival.worth,
        deadline,
        objective: None,
        bytes: CALL_BYTES,
        tried,
        idempotent: true,
    }
}
