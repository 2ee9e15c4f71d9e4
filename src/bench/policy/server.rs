//! A stand-in backend server with the real gate before it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::call::Reason;
use crate::clock::Time;
use crate::gate::{self, Action, Arrival, CallId, Gate, Signal};

use super::faults::Faults;
use super::fleet::Stopwatch;
use super::message::{self, Answer, Call, Outcome, Request};
use super::scenario::{COLD, MEAN_WORK, SLOTS};

/// How often a gate is told that time has passed.
const TICK: Duration = Duration::from_millis(2);

/// One backend server and its gate.
pub(super) struct Server {
    faults: Faults,
    stopwatch: Stopwatch,
    state: Mutex<State>,
}

struct State {
    gate: Gate,
    next: u64,
    waiting: BTreeMap<CallId, Job>,
    in_hand: u32,
    cold_overruns: u64,
}

#[derive(Clone)]
struct Job {
    call: Call,
    replies: UnboundedSender<Answer>,
}

impl Server {
    pub(super) fn new(faults: Faults, stopwatch: Stopwatch) -> Self {
        let settings = gate::Settings {
            slots: SLOTS,
            cold: COLD,
            initial_service_time: MEAN_WORK,
            ..gate::Settings::default()
        };
        Self {
            faults,
            stopwatch,
            state: Mutex::new(State {
                gate: Gate::new(settings, Time::ZERO),
                next: 0,
                waiting: BTreeMap::new(),
                in_hand: 0,
                cold_overruns: 0,
            }),
        }
    }

    /// Accepts entries and tells the gate about time and its zone.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(Arc::clone(&self).connection(stream));
                    }
                }
            }
        }
    }

    /// Calls run by a cold backend server above its allowance.
    pub(super) fn cold_overruns(&self) -> u64 {
        self.state().cold_overruns
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(self: &Arc<Self>) {
        let now = self.stopwatch.now();
        let mut actions = Vec::new();
        let mut state = self.state();
        if let Some(span) = self.faults.zone_out {
            state
                .gate
                .set_zone_in_service(now, !span.contains(now), &mut actions);
        }
        state.gate.tick(now, &mut actions);
        self.act(&mut state, now, &actions);
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        // Without it frames wait for acknowledgements; answers would merely be later.
        let _ = stream.set_nodelay(true);
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
        let (mut sink, mut source) = framed.split();
        let (replies, mut answers) = mpsc::unbounded_channel::<Answer>();
        let writer = tokio::spawn(async move {
            while let Some(answer) = answers.recv().await {
                if sink.send(message::encode(&answer)).await.is_err() {
                    return;
                }
            }
        });
        let mut call_ids = BTreeMap::new();
        while let Some(Ok(frame)) = source.next().await {
            if let Some(request) = message::decode(&frame) {
                self.request(request, &replies, &mut call_ids);
            }
        }
        writer.abort();
    }

    fn request(
        self: &Arc<Self>,
        request: Request,
        replies: &UnboundedSender<Answer>,
        call_ids: &mut BTreeMap<u64, CallId>,
    ) {
        let now = self.stopwatch.now();
        match request {
            Request::Call(call) => {
                let call_id = self.call(now, call, replies);
                call_ids.insert(call.id, call_id);
            }
            Request::Recall { id } => {
                if let Some(call_id) = call_ids.remove(&id) {
                    self.recall(now, call_id);
                }
            }
            Request::Probe { id } => {
                let load = self.state().gate.load_report(now);
                let result = Outcome::Probed;
                // The entry may have gone; then nobody waits for it.
                let _ = replies.send(Answer { id, result, load });
            }
        }
    }

    fn call(self: &Arc<Self>, now: Time, call: Call, replies: &UnboundedSender<Answer>) -> CallId {
        let mut state = self.state();
        let call_id = CallId(state.next);
        state.next += 1;
        let replies = replies.clone();
        let job = Job { call, replies };
        state.waiting.insert(call_id, job);
        let mut actions = Vec::new();
        if call.admitted {
            actions.push(Action::Admit(call_id));
        } else {
            let arrival = Arrival {
                call_id,
                worth: call.worth,
                deadline: now + call.left,
                ..Arrival::default()
            };
            state.gate.on_arrival(now, arrival, &mut actions);
        }
        self.act(&mut state, now, &actions);
        call_id
    }

    fn recall(&self, now: Time, call_id: CallId) {
        let mut state = self.state();
        if state.gate.recall(now, call_id)
            && let Some(job) = state.waiting.remove(&call_id)
        {
            let load = state.gate.load_report(now);
            job.reply(Outcome::Refused(Reason::Recalled), load);
        }
    }

    fn act(self: &Arc<Self>, state: &mut State, now: Time, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Admit(call_id) => {
                    if let Some(job) = state.waiting.remove(&call_id) {
                        self.start(state, now, call_id, job);
                    }
                }
                // Nobody told this gate a speed.
                Action::QueryLoad => {}
                Action::Refuse(call_id, reason) => {
                    if let Some(job) = state.waiting.remove(&call_id) {
                        job.reply(Outcome::Refused(reason), state.gate.load_report(now));
                    }
                }
            }
        }
    }

    fn start(self: &Arc<Self>, state: &mut State, now: Time, call_id: CallId, job: Job) {
        state.in_hand += 1;
        if !job.call.admitted {
            job.reply(Outcome::Admitted, gate::LoadReport::default());
        }
        let overrun = self.faults.is_cold(now) && state.in_hand > COLD.allowance;
        state.cold_overruns += u64::from(overrun);
        let run = Arc::clone(self).run(now, call_id, job, overrun);
        tokio::spawn(run);
    }

    async fn run(self: Arc<Self>, start: Time, call_id: CallId, job: Job, overrun: bool) {
        let work = if overrun {
            Faults::overrun(job.call.work)
        } else {
            job.call.work
        };
        let mut failed = self.faults.is_failing(start);
        let mut end = if failed {
            start
        } else {
            self.faults.finish(start, work)
        };
        if let Some(death) = self.faults.death_after(start).filter(|&death| death < end) {
            failed = true;
            end = death;
        }
        self.stopwatch.sleep_until(end).await;
        self.finish(start, call_id, &job, failed);
    }

    fn finish(self: &Arc<Self>, start: Time, call_id: CallId, job: &Job, failed: bool) {
        let now = self.stopwatch.now();
        let mut actions = Vec::new();
        let mut state = self.state();
        state.in_hand -= 1;
        let outcome = if failed {
            gate::Outcome::Failed
        } else {
            let service_time = now.since(start);
            gate::Outcome::Answered { service_time }
        };
        let boot = Signal::Boot(self.faults.boot(now));
        state.gate.on_signal(now, boot, &mut actions);
        state.gate.on_finish(now, call_id, outcome, &mut actions);
        let load = state.gate.load_report(now);
        let result = if failed {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        job.reply(result, load);
        self.act(&mut state, now, &actions);
    }
}

impl Job {
    fn reply(&self, result: Outcome, load: gate::LoadReport) {
        let id = self.call.id;
        // The entry may have gone; then nobody waits for it.
        let _ = self.replies.send(Answer { id, result, load });
    }
}
