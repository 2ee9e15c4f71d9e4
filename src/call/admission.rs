//! Asynchronous face of the gate.

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

type Verdict = Result<(), Reason>;

/// Longest sleep between two ticks of the gate.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Admission to this node's own backend server.
pub struct Admission {
    inner: Mutex<Inner>,
    clock: Clock,
    rescheduled: Notify,
    asked: Arc<Notify>,
    loads: watch::Sender<LoadReport>,
}

struct Inner {
    gate: Gate,
    waiting: BTreeMap<u64, oneshot::Sender<Verdict>>,
    next_call_id: u64,
    actions: Vec<Action>,
    asked: Arc<Notify>,
}

impl fmt::Debug for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admission").finish_non_exhaustive()
    }
}

impl Admission {
    /// Puts `gate` to work.
    #[must_use]
    pub fn new(gate: Gate, clock: Clock) -> Arc<Self> {
        let asked = Arc::new(Notify::new());
        Arc::new(Self {
            inner: Mutex::new(Inner {
                gate,
                waiting: BTreeMap::new(),
                next_call_id: 0,
                actions: Vec::new(),
                asked: Arc::clone(&asked),
            }),
            clock,
            rescheduled: Notify::new(),
            asked,
            loads: watch::Sender::new(LoadReport::default()),
        })
    }

    /// Asks for admission and waits for the verdict.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal.
    pub async fn arrive(self: &Arc<Self>, worth: u32, deadline: Time) -> Result<Permit, Reason> {
        self.enter(worth, deadline).await
    }

    /// Asks for admission. Dropping what is returned withdraws the call.
    pub fn enter(self: &Arc<Self>, worth: u32, deadline: Time) -> Waiting {
        self.enter_as(Arrival {
            worth,
            deadline,
            ..Arrival::default()
        })
    }

    /// The same for a call of which more is told; its id is given here.
    pub fn enter_as(self: &Arc<Self>, arrival: Arrival) -> Waiting {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let mut inner = self.lock();
        let call_id = inner.issue();
        inner.waiting.insert(call_id.0, sender);
        let arrival = Arrival { call_id, ..arrival };
        inner.run(|gate, actions| gate.on_arrival(now, arrival, actions));
        self.tell(inner.gate.load_report(now));
        drop(inner);
        self.rescheduled.notify_one();
        Waiting {
            permit: Some(Permit {
                admission: Arc::clone(self),
                call_id,
                ended: false,
            }),
            verdict: receiver,
        }
    }

    /// Takes in a sign of the backend server's condition.
    pub fn sign(&self, signal: Signal) {
        self.update(|gate, now, actions| gate.on_signal(now, signal, actions));
    }

    /// Waits until the gate wants to know how fast the backend server is now.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }

    /// Puts new settings in force.
    pub fn configure(&self, settings: Settings) {
        self.update(|gate, now, actions| gate.configure(now, settings, actions));
    }

    /// Takes note whether the availability zone takes new work.
    pub fn set_zone(&self, in_service: bool) {
        self.update(|gate, now, actions| gate.set_zone_in_service(now, in_service, actions));
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.update(Gate::start_drain);
    }

    /// What entries are told.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let now = self.clock.now();
        self.lock().gate.load_report(now)
    }

    /// Follows the load; changes that nobody would act on are left out.
    #[must_use]
    pub fn loads(&self) -> watch::Receiver<LoadReport> {
        self.loads.subscribe()
    }

    fn tell(&self, load: LoadReport) {
        self.loads.send_if_modified(|told| {
            let differs = told.is_outdated_by(&load);
            if differs {
                *told = load;
            }
            differs
        });
    }

    /// Where the backend server stands in its life cycle.
    #[must_use]
    pub fn state(&self) -> State {
        self.lock().gate.state()
    }

    /// Calls running.
    #[must_use]
    pub fn in_hand(&self) -> u32 {
        self.lock().gate.in_hand()
    }

    /// Calls waiting.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.lock().gate.queued()
    }

    /// Calls admitted at the same time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.lock().gate.limit()
    }

    /// Ticks the gate whenever it asks for it, until `shutdown`.
    pub async fn run(self: Arc<Self>, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.rescheduled.notified() => {}
                () = tokio::time::sleep(self.until_tick()) => {
                    self.update(Gate::tick);
                }
            }
        }
    }

    fn until_tick(&self) -> Duration {
        let due = self.lock().gate.next_tick();
        due.map_or(IDLE_TICK, |due| due.since(self.clock.now()).min(IDLE_TICK))
    }

    fn update(&self, step: impl FnOnce(&mut Gate, Time, &mut Vec<Action>)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.run(|gate, actions| step(gate, now, actions));
        let waits = inner.gate.queued() > 0;
        self.tell(inner.gate.load_report(now));
        drop(inner);
        if waits {
            self.rescheduled.notify_one();
        }
    }

    fn end(&self, call_id: CallId, outcome: Outcome) {
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

    /// The gate is valid after every step, so a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn issue(&mut self) -> CallId {
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

    /// A verdict without a receiver is dropped: its permit ends the call.
    fn apply(&mut self, action: &Action) {
        let (call_id, verdict) = match action {
            Action::Admit(call_id) => (call_id, Ok(())),
            Action::Refuse(call_id, reason) => (call_id, Err(*reason)),
            Action::QueryLoad => return self.asked.notify_one(),
        };
        if let Some(waiting) = self.waiting.remove(&call_id.0) {
            let _ = waiting.send(verdict);
        }
    }
}

/// A call that waits for the gate's verdict.
#[derive(Debug)]
pub struct Waiting {
    permit: Option<Permit>,
    verdict: oneshot::Receiver<Verdict>,
}

impl Waiting {
    /// Withdraws the call if it is still queued. Tells whether it was.
    pub fn recall(&mut self) -> bool {
        let recalled = self
            .permit
            .as_ref()
            .is_some_and(|permit| permit.admission.recall(permit.call_id));
        if recalled && let Some(mut permit) = self.permit.take() {
            permit.ended = true;
        }
        recalled
    }
}

impl Future for Waiting {
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
                permit.ended = true;
                Err(reason)
            }
        })
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.recall();
    }
}

/// The right to one running call; ends it exactly once.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    call_id: CallId,
    ended: bool,
}

impl Permit {
    /// The answer is whole.
    pub fn answered(self, service_time: Duration) {
        self.end(Outcome::Answered { service_time });
    }

    /// The outcome is unknown or the answer broke off.
    pub fn fail(self) {
        self.end(Outcome::Failed);
    }

    /// The backend server refused the call.
    pub fn shed(self) {
        self.end(Outcome::Shed);
    }

    /// The backend server took no connection.
    pub fn unreachable(self) {
        self.end(Outcome::Unreachable);
    }

    /// The call was withdrawn.
    pub fn cancel(self) {
        self.end(Outcome::Cancelled);
    }

    fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.admission.end(self.call_id, outcome);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.ended {
            self.admission.end(self.call_id, Outcome::Cancelled);
        }
    }
}
