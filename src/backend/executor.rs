//! The gate's side of a call: plan, admission, dispatch, answer.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode, Uri, Version as HttpVersion};
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::call::claim::{ClaimRequest, ClaimStatus, Claims};
use crate::call::hop;
use crate::call::{
    Admission, Admitted, Body, Call, Context, Decision, Dispatched, Event, IdGenerator, Loss,
    NotRun, Observer, Reason, Role, Routed, ShedProof, SnapshotSource, SpanRecorder, Trace,
    request_id,
};
use crate::clock::{Clock, Time};
use crate::coordination::{Handler, Local};
use crate::dialect::{Dialect, DispatchContext, ResponseClass as Answer};
use crate::gate::{Arrival, LoadReport};
use crate::plan::Version;
use crate::routing::Location;

use super::answer::Tracked;
use super::http::Suspicion;
use super::rule::Rule;
use super::{Client, Connection, Current, Failure, Job, Outcome, Progress, Server};

/// Runs calls on this node's own backend server.
pub struct Executor {
    /// Where the node runs.
    pub location: Location,
    /// The backend server.
    pub server: Arc<Current>,
    /// Headers of the backend server.
    pub dialect: Arc<dyn Dialect>,
    /// Plan in force.
    pub snapshot_source: Arc<dyn SnapshotSource>,
    /// Admission to the backend server.
    pub admission: Arc<Admission>,
    /// Connections to the backend server.
    pub client: Arc<dyn Client>,
    /// Clock of the node.
    pub clock: Clock,
    /// Metrics.
    pub observer: Arc<dyn Observer>,
    /// Source of span ids.
    pub ids: Arc<IdGenerator>,
    /// Claims on idempotency keys that this node holds.
    pub claims: Claims,
    /// Answers and directives of roll-outs.
    pub local: Arc<Local>,
    /// Answers the reports of other nodes.
    pub report_handler: Arc<dyn Handler>,
}

impl fmt::Debug for Executor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Executor")
            .field("place", &self.location)
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl Executor {
    /// What entries are told of the backend server.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let load = self.admission.load();
        LoadReport {
            accepting: load.accepting && self.server.get().is_some() && !self.is_closed(),
            ..load
        }
    }

    /// Whether the version of the backend server takes no calls because of a roll-out.
    pub(super) fn is_closed(&self) -> bool {
        self.local.is_closed(self.clock.now())
    }

    /// Version of the plan in force.
    #[must_use]
    pub fn plan(&self) -> Version {
        self.snapshot_source.snapshot().plan.version
    }

    /// Runs `job`. Asks for its body only when it is about to be sent.
    pub async fn execute(
        &self,
        job: Job,
        progress: &Progress,
        body: impl FnOnce() -> Body + Send,
    ) -> Outcome {
        let started = self.clock.now();
        let call = Call::receive(job.deadline);
        let request = self.request_name(&job);
        let rule = match self.rule(&job) {
            Ok(rule) => rule,
            Err(reason) => {
                let outcome = self.refuse(call.refuse(reason));
                self.tell(request.as_deref(), &job.service, None, started, &outcome);
                return outcome;
            }
        };
        let service = job.service.clone();
        let told = rule.clone();
        let recording = SpanRecorder::begin(
            &self.observer,
            self.clock,
            &rule.snapshot,
            rule.route,
            job.trace,
            Role::Gate,
        );
        let call = call.route(rule.worth, started + rule.deadline);
        let outcome = self.carry(call, job, rule, progress, body).await;
        recording.end(outcome.end());
        self.tell(request.as_deref(), &service, Some(&told), started, &outcome);
        outcome
    }

    /// Name of the request in log lines, when anyone wants them.
    fn request_name(&self, job: &Job) -> Option<String> {
        self.observer.wants_decisions().then(|| {
            let id = self.dialect.request_id(&job.headers);
            request_id(id.as_ref(), job.trace)
        })
    }

    fn tell(
        &self,
        request: Option<&str>,
        service: &str,
        rule: Option<&Rule>,
        started: Time,
        outcome: &Outcome,
    ) {
        let Some(request) = request else {
            return;
        };
        let route = rule.map(|rule| rule.snapshot.plan.route(rule.route));
        self.observer.decision(&Decision {
            role: Role::Gate,
            request,
            service,
            route: route.map_or("", |route| &route.name),
            plan: self.plan(),
            attempts: &[],
            load: Some(self.load()),
            elapsed: self.clock.now().since(started),
            outcome: outcome.end(),
        });
    }

    async fn carry(
        &self,
        call: Call<Routed>,
        job: Job,
        rule: Rule,
        progress: &Progress,
        body: impl FnOnce() -> Body + Send,
    ) -> Outcome {
        let arrived = self.clock.now();
        let class = rule.kind();
        let arrival = Arrival {
            objective: job.objective,
            start_deadline: job.begin_by,
            tenant: rule.tenant_id(),
            class,
            ..Arrival::default()
        };
        let call = match self.admit(call, arrival, progress).await {
            Ok(call) => call,
            Err(refused) => return Outcome::NotRun(refused),
        };
        let queue_time = self.clock.now().since(arrived);
        self.observer.event(Event::Admitted { queue_time });
        let rule = match self.rule_after_queue(&job, rule) {
            Ok(rule) => rule,
            Err(reason) => return Outcome::NotRun(call.refuse(reason)),
        };
        progress.admitted.notify_one();
        self.run(call, job, &rule, body).await
    }

    /// Answers a question about an idempotency key, unless it is of a call that
    /// nothing in this region may keep.
    pub fn answer_claim(&self, question: &ClaimRequest<'_>) -> ClaimStatus {
        let regions = question.regions;
        if !regions.is_empty() && !regions.contains(&self.location.region) {
            return ClaimStatus::Unknown;
        }
        let snapshot = self.snapshot_source.snapshot();
        let now = self.clock.now();
        self.claims.on_view(now, &snapshot.view);
        self.claims.handle(now, question)
    }

    fn refuse(&self, refused: NotRun) -> Outcome {
        self.observer.event(Event::Refused(refused.reason()));
        Outcome::NotRun(refused)
    }

    async fn admit(
        &self,
        call: Call<Routed>,
        arrival: Arrival,
        progress: &Progress,
    ) -> Result<Call<Admitted>, NotRun> {
        let mut waiting = self.admission.enqueue_arrival(Arrival {
            worth: call.worth(),
            deadline: call.deadline(),
            ..arrival
        });
        let verdict = loop {
            tokio::select! {
                biased;
                verdict = &mut waiting => break verdict,
                () = progress.recall.notified() => {
                    if waiting.recall() {
                        self.observer.event(Event::Recalled);
                        break Err(Reason::Recalled);
                    }
                }
            }
        };
        match verdict {
            Ok(permit) => Ok(call.admit(permit)),
            Err(reason) => Err(call.refuse(reason)),
        }
    }

    async fn run(
        &self,
        call: Call<Admitted>,
        job: Job,
        rule: &Rule,
        body: impl FnOnce() -> Body + Send,
    ) -> Outcome {
        let time_left = call.deadline().since(self.clock.now());
        if time_left < Duration::from_millis(1) {
            return Outcome::NotRun(call.refuse(Reason::Deadline));
        }
        let Some(server) = self.server.get() else {
            return Outcome::NotRun(call.refuse(Reason::Draining));
        };
        let connected = timeout(time_left, self.client.connect(!rule.idempotent)).await;
        let Ok(Ok(connection)) = connected else {
            return Outcome::NotRun(call.unreachable());
        };
        let now = self.clock.now();
        let time_left = call.deadline().since(now);
        let trace = job.trace.child(&self.ids);
        let recording = SpanRecorder::begin(
            &self.observer,
            self.clock,
            &rule.snapshot,
            rule.route,
            trace,
            Role::BackendServer,
        );
        let request = self.request(job, rule, &server, time_left, trace);
        let call = call.dispatch(now);
        let outcome = self
            .dispatch(call, connection, request.map(|()| body()), time_left)
            .await;
        recording.end(outcome.end());
        self.record_answer(rule, now, &outcome);
        outcome
    }

    /// Counts the answer for a roll-out of the service.
    fn record_answer(&self, rule: &Rule, sent_at: Time, outcome: &Outcome) {
        let failed = match outcome {
            Outcome::NotRun(_) => return,
            Outcome::Unknown(_) => true,
            Outcome::Answered(response) => response.status().is_server_error(),
        };
        let time = self.clock.now().since(sent_at);
        let route = &rule.snapshot.plan.route(rule.route).name;
        self.local
            .record(route, failed, time, self.admission.is_cold());
    }

    fn request(
        &self,
        job: Job,
        rule: &Rule,
        server: &Server,
        time_left: Duration,
        trace: Trace,
    ) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = job.method;
        *request.uri_mut() = Uri::from(job.path);
        *request.version_mut() = HttpVersion::HTTP_11;
        *request.headers_mut() = job.headers;
        let context = Context {
            regions: rule.regions.clone(),
            tenant: rule.tenant.clone(),
            ..job.context
        };
        let dispatch = DispatchContext {
            context: &context,
            time_left,
            expected_process: server.process.as_deref(),
        };
        self.dialect
            .prepare_for_backend(request.headers_mut(), &dispatch);
        trace.write_headers(request.headers_mut());
        request
    }

    async fn dispatch(
        &self,
        call: Call<Dispatched>,
        connection: Box<dyn Connection>,
        request: Request<Body>,
        time_left: Duration,
    ) -> Outcome {
        let id = self.dialect.request_id(request.headers());
        let sent = timeout(time_left, connection.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(Failure::Unsent(proof))) => return Outcome::NotRun(call.unsent(proof)),
            Ok(Err(Failure::Broken)) => return Outcome::Unknown(call.lose(Loss::BackendServer)),
            Err(_) => return Outcome::Unknown(call.lose(Loss::Deadline)),
        };
        let (mut head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return lose_to_foreign_answer(call, &head);
        }
        match self.dialect.classify_response(id.as_ref(), &head) {
            Answer::Answered => {}
            Answer::Shed => {
                self.read_signals(&head.headers);
                return Outcome::NotRun(call.shed(ShedProof::from_response_head()));
            }
            Answer::Misdirected => {
                self.server.misdirected();
                return Outcome::NotRun(call.shed(ShedProof::from_response_head()));
            }
            Answer::Mismatched => return lose_to_foreign_answer(call, &head),
        }
        self.read_signals(&head.headers);
        let call = call.answer(self.clock.now());
        let service_time = call.service_time();
        self.observer.event(Event::Answered { service_time });
        hop::strip(&mut head.headers);
        // Each hop speaks its own version (RFC 9110, 6.2). With a server's HTTP/1.0, a caller that reads
        // chunks would get none, and could not tell a part of the answer from the whole.
        head.version = HttpVersion::HTTP_11;
        self.dialect.strip_internal_headers(&mut head.headers);
        let body = Tracked::new(body, call).boxed_unsync();
        Outcome::Answered(Response::from_parts(head, body))
    }

    fn read_signals(&self, headers: &HeaderMap) {
        for signal in self.dialect.signals(headers) {
            self.admission.on_signal(signal);
        }
    }
}

/// Ends a call whose answer has not come, but another one in its place.
fn lose_to_foreign_answer(call: Call<Dispatched>, head: &Parts) -> Outcome {
    if let Some(suspicion) = head.extensions.get::<Suspicion>() {
        suspicion.raise();
    }
    Outcome::Unknown(call.lose(Loss::BackendServer))
}

/// Whether a response with this status ends a request (RFC 9110, 15): a server in trouble may send
/// any three digits.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
