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
use crate::gate::{self, Action, Arrival, Gate, Sign, Ticket};

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
    waiting: BTreeMap<Ticket, Job>,
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
            state.gate.set_zone(now, !span.contains(now), &mut actions);
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
        let mut tickets = BTreeMap::new();
        while let Some(Ok(frame)) = source.next().await {
            if let Some(request) = message::decode(&frame) {
                self.request(request, &replies, &mut tickets);
            }
        }
        writer.abort();
    }

    fn request(
        self: &Arc<Self>,
        request: Request,
        replies: &UnboundedSender<Answer>,
        tickets: &mut BTreeMap<u64, Ticket>,
    ) {
        let now = self.stopwatch.now();
        match request {
            Request::Call(call) => {
                let ticket = self.call(now, call, replies);
                tickets.insert(call.id, ticket);
            }
            Request::Recall { id } => {
                if let Some(ticket) = tickets.remove(&id) {
                    self.recall(now, ticket);
                }
            }
            Request::Probe { id } => {
                let load = self.state().gate.load(now);
                let result = Outcome::Probed;
                // The entry may have gone; then nobody waits for it.
                let _ = replies.send(Answer { id, result, load });
            }
        }
    }

    fn call(self: &Arc<Self>, now: Time, call: Call, replies: &UnboundedSender<Answer>) -> Ticket {
        let mut state = self.state();
        let ticket = Ticket(state.next);
        state.next += 1;
        let replies = replies.clone();
        let job = Job { call, replies };
        state.waiting.insert(ticket, job);
        let mut actions = Vec::new();
        if call.admitted {
            actions.push(Action::Admit(ticket));
        } else {
            let arrival = Arrival {
                ticket,
                worth: call.worth,
                deadline: now + call.left,
                ..Arrival::default()
            };
            state.gate.arrive(now, arrival, &mut actions);
        }
        self.act(&mut state, now, &actions);
        ticket
    }

    fn recall(&self, now: Time, ticket: Ticket) {
        let mut state = self.state();
        if state.gate.recall(now, ticket)
            && let Some(job) = state.waiting.remove(&ticket)
        {
            let load = state.gate.load(now);
            job.reply(Outcome::Refused(Reason::Recalled), load);
        }
    }

    fn act(self: &Arc<Self>, state: &mut State, now: Time, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Admit(ticket) => {
                    if let Some(job) = state.waiting.remove(&ticket) {
                        self.start(state, now, ticket, job);
                    }
                }
                // Nobody told this gate a speed.
                Action::Ask => {}
                Action::Refuse(ticket, reason) => {
                    if let Some(job) = state.waiting.remove(&ticket) {
                        job.reply(Outcome::Refused(reason), state.gate.load(now));
                    }
                }
            }
        }
    }

    fn start(self: &Arc<Self>, state: &mut State, now: Time, ticket: Ticket, job: Job) {
        state.in_hand += 1;
        if !job.call.admitted {
            job.reply(Outcome::Admitted, gate::Load::default());
        }
        let overrun = self.faults.is_cold(now) && state.in_hand > COLD.allowance;
        state.cold_overruns += u64::from(overrun);
        let run = Arc::clone(self).run(now, ticket, job, overrun);
        tokio::spawn(run);
    }

    async fn run(self: Arc<Self>, start: Time, ticket: Ticket, job: Job, overrun: bool) {
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
        self.finish(start, ticket, &job, failed);
    }

    fn finish(self: &Arc<Self>, start: Time, ticket: Ticket, job: &Job, failed: bool) {
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
        let boot = Sign::Boot(self.faults.boot(now));
        state.gate.sign(now, boot, &mut actions);
        state.gate.finish(now, ticket, outcome, &mut actions);
        let load = state.gate.load(now);
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
    fn reply(&self, result: Outcome, load: gate::Load) {
        let id = self.call.id;
        // The entry may have gone; then nobody waits for it.
        let _ = self.replies.send(Answer { id, result, load });
    }
}
