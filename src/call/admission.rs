//! Asynchronous wrapper of the gate.
//!
//! Passes calls and events to the [`Gate`] under a lock, wakes the waiting calls with its
//! decisions, runs its timer and publishes load reports.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Time};
use crate::gate::{Action, Arrival, CallId, Gate, LoadReport, Outcome, Settings, Signal, State};

use super::Reason;

type AdmissionResult = Result<(), Reason>;

/// Longest sleep between two ticks of the gate.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Admission to this node's own backend server.
pub struct Admission {
    inner: Mutex<Inner>,
    clock: Clock,
    rescheduled: Notify,
    load_query: Arc<Notify>,
    loads: watch::Sender<LoadReport>,
}

struct Inner {
    gate: Gate,
    waiting: BTreeMap<u64, oneshot::Sender<AdmissionResult>>,
    next_call_id: u64,
    actions: Vec<Action>,
    load_query: Arc<Notify>,
}

impl fmt::Debug for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admission").finish_non_exhaustive()
    }
}

impl Admission {
    /// Creates the admission for `gate`.
    #[must_use]
    pub fn new(gate: Gate, clock: Clock) -> Arc<Self> {
        let load_query = Arc::new(Notify::new());
        Arc::new(Self {
            inner: Mutex::new(Inner {
                gate,
                waiting: BTreeMap::new(),
                next_call_id: 0,
                actions: Vec::new(),
                load_query: Arc::clone(&load_query),
            }),
            clock,
            rescheduled: Notify::new(),
            load_query,
            loads: watch::Sender::new(LoadReport::default()),
        })
    }

    /// Requests admission and waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub async fn admit(self: &Arc<Self>, worth: u32, deadline: Time) -> Result<Permit, Reason> {
        self.enqueue(worth, deadline).await
    }

    /// Requests admission. Dropping the returned future withdraws the call.
    pub fn enqueue(self: &Arc<Self>, worth: u32, deadline: Time) -> PendingAdmission {
        self.enqueue_arrival(Arrival {
            worth,
            deadline,
            ..Arrival::default()
        })
    }

    /// Adds a call described by an [`Arrival`] to the queue, and assigns its call id.
    pub fn enqueue_arrival(self: &Arc<Self>, arrival: Arrival) -> PendingAdmission {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let mut inner = self.lock();
        let call_id = inner.issue_call_id();
        inner.waiting.insert(call_id.0, sender);
        let arrival = Arrival { call_id, ..arrival };
        inner.run(|gate, actions| gate.on_arrival(now, arrival, actions));
        self.publish_load(inner.gate.load_report(now));
        drop(inner);
        self.rescheduled.notify_one();
        PendingAdmission {
            permit: Some(Permit {
                admission: Arc::clone(self),
                call_id,
                is_finished: false,
            }),
            verdict: receiver,
        }
    }

    /// Passes a signal about the backend server to the gate.
    pub fn on_signal(&self, signal: Signal) {
        self.update(|gate, now, actions| gate.on_signal(now, signal, actions));
    }

    /// Waits until the gate wants a load query to be sent to the backend server.
    pub async fn load_query_requested(&self) {
        self.load_query.notified().await;
    }

    /// Applies new settings.
    pub fn configure(&self, settings: Settings) {
        self.update(|gate, now, actions| gate.configure(now, settings, actions));
    }

    /// Sets whether the availability zone accepts new calls.
    pub fn set_zone_in_service(&self, in_service: bool) {
        self.update(|gate, now, actions| gate.set_zone_in_service(now, in_service, actions));
    }

    /// Starts a drain: no new calls are admitted.
    pub fn drain(&self) {
        self.update(Gate::start_drain);
    }

    /// Returns the load report for entries.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let now = self.clock.now();
        self.lock().gate.load_report(now)
    }

    /// Subscribes to load reports; changes too small to affect entries are skipped.
    #[must_use]
    pub fn loads(&self) -> watch::Receiver<LoadReport> {
        self.loads.subscribe()
    }

    fn publish_load(&self, load: LoadReport) {
        self.loads.send_if_modified(|published| {
            let differs = published.is_outdated_by(&load);
            if differs {
                *published = load;
            }
            differs
        });
    }

    /// Returns the lifecycle state of the backend server.
    #[must_use]
    pub fn state(&self) -> State {
        self.lock().gate.state()
    }

    /// Whether the backend server is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        let now = self.clock.now();
        self.lock().gate.is_cold(now)
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn in_hand(&self) -> u32 {
        self.lock().gate.in_hand()
    }

    /// Returns the number of queued calls.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.lock().gate.queued()
    }

    /// Returns the concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.lock().gate.limit()
    }

    /// Runs the gate's timer until `shutdown`.
    pub async fn run(self: Arc<Self>, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.rescheduled.notified() => {}
                () = tokio::time::sleep(self.time_until_tick()) => {
                    self.update(Gate::tick);
                }
            }
        }
    }

    fn time_until_tick(&self) -> Duration {
        let next_tick = self.lock().gate.next_tick();
        next_tick.map_or(MAX_SLEEP, |at| at.since(self.clock.now()).min(MAX_SLEEP))
    }

    fn update(&self, step: impl FnOnce(&mut Gate, Time, &mut Vec<Action>)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.run(|gate, actions| step(gate, now, actions));
        let has_queue = inner.gate.queued() > 0;
        self.publish_load(inner.gate.load_report(now));
        drop(inner);
        if has_queue {
            self.rescheduled.notify_one();
        }
    }

    fn finish(&self, call_id: CallId, outcome: Outcome) {
        self.update(|gate, now, actions| gate.on_finish(now, call_id, outcome, actions));
    }

    fn recall(&self, call_id: CallId) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let recalled = inner.gate.recall(now, call_id);
        if recalled {
            inner.waiting.remove(&call_id.0);
        }
        recalled
    }

    /// Ignores poisoning: the gate is consistent after every step, even if a panic occurs
    /// elsewhere.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn issue_call_id(&mut self) -> CallId {
        self.next_call_id += 1;
        CallId(self.next_call_id)
    }

    fn run(&mut self, step: impl FnOnce(&mut Gate, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.actions);
        step(&mut self.gate, &mut actions);
        for action in actions.drain(..) {
            self.apply(&action);
        }
        self.actions = actions;
    }

    /// A result without a receiver is dropped; the permit then ends the call.
    fn apply(&mut self, action: &Action) {
        let (call_id, verdict) = match action {
            Action::Admit(call_id) => (call_id, Ok(())),
            Action::Refuse(call_id, reason) => (call_id, Err(*reason)),
            Action::QueryLoad => return self.load_query.notify_one(),
        };
        if let Some(sender) = self.waiting.remove(&call_id.0) {
            let _ = sender.send(verdict);
        }
    }
}

/// Future of an admission decision; withdraws the call when dropped.
#[derive(Debug)]
pub struct PendingAdmission {
    permit: Option<Permit>,
    verdict: oneshot::Receiver<AdmissionResult>,
}

impl PendingAdmission {
    /// Withdraws the call if it is still queued. Returns whether it was.
    pub fn recall(&mut self) -> bool {
        let recalled = self
            .permit
            .as_ref()
            .is_some_and(|permit| permit.admission.recall(permit.call_id));
        if recalled && let Some(mut permit) = self.permit.take() {
            permit.is_finished = true;
        }
        recalled
    }
}

impl Future for PendingAdmission {
    type Output = Result<Permit, Reason>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let received = std::task::ready!(Pin::new(&mut self.verdict).poll(context));
        let verdict = received.unwrap_or(Err(Reason::Recalled));
        let Some(mut permit) = self.permit.take() else {
            return Poll::Ready(Err(Reason::Recalled));
        };
        Poll::Ready(match verdict {
            Ok(()) => Ok(permit),
            Err(reason) => {
                permit.is_finished = true;
                Err(reason)
            }
        })
    }
}

impl Drop for PendingAdmission {
    fn drop(&mut self) {
        self.recall();
    }
}

/// Permission to run one call; ends the call exactly once, as cancelled if dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    call_id: CallId,
    is_finished: bool,
}

impl Permit {
    /// Ends the call: the response is complete.
    pub fn finish_answered(self, service_time: Duration) {
        self.finish_with(Outcome::Answered { service_time });
    }

    /// Ends the call: its outcome is unknown or the response was cut off.
    pub fn finish_failed(self) {
        self.finish_with(Outcome::Failed);
    }

    /// Ends the call: the backend server refused it.
    pub fn finish_shed(self) {
        self.finish_with(Outcome::Shed);
    }

    /// Ends the call: the backend server accepted no connection.
    pub fn finish_unreachable(self) {
        self.finish_with(Outcome::Unreachable);
    }

    /// Ends the call: it was withdrawn.
    pub fn finish_cancelled(self) {
        self.finish_with(Outcome::Cancelled);
    }

    fn finish_with(mut self, outcome: Outcome) {
        self.is_finished = true;
        self.admission.finish(self.call_id, outcome);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.admission.finish(self.call_id, Outcome::Cancelled);
        }
    }
}
