//! One attempt of a call at one backend server, over a link or at the gate of this node.
//!
//! Input is a checked request, the chosen backend server, the body and the time left; the result is
//! an [`AttemptResult`]. The attempt is recorded as a span. Its end and the load report that came
//! with it go to the router, which counts attempts in flight. A call that is still queued at the
//! gate after the recall delay of the choice is withdrawn there.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::backend::{Job, Outcome, Progress};
use crate::call::{Body, CallOutcome, NotRun, Reason, Role, SpanRecorder, UnknownOutcome};
use crate::clock::Time;
use crate::gate::LoadReport;
use crate::peer::wire::{RequestHead, ResponseHead};
use crate::peer::{self, AttemptOutcome, AttemptTimeouts, Upload};
use crate::routing::{self, Choice};

use super::Entry;
use super::request::Routable;
use super::response_body::TrackedBody;

/// Result of an attempt, with the request body if that may be sent again.
pub(super) enum AttemptResult {
    Answered(Response<Body>),
    NotRun(NotRun, Option<Upload>),
    Unknown(UnknownOutcome, Option<Upload>),
}

impl AttemptResult {
    /// End of the attempt, for spans and decision lines.
    pub(super) fn end(&self) -> CallOutcome {
        match self {
            Self::Answered(response) => CallOutcome::Answered(response.status()),
            Self::NotRun(refused, _) => CallOutcome::NotRun(refused.reason()),
            Self::Unknown(unknown, _) => CallOutcome::Unknown(unknown.loss()),
        }
    }

    /// Whether there is a response other than a server error (5xx).
    pub(super) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(response) if !response.status().is_server_error())
    }
}

impl Entry {
    /// Makes one attempt at the backend server of `choice`.
    pub(super) async fn attempt(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        time_left: Duration,
    ) -> AttemptResult {
        let pending = InFlight::new(self, choice, time_left);
        let trace = routable.trace.child(&self.parts.ids);
        let mut headers = routable.headers.clone();
        trace.write_headers(&mut headers);
        let recording = SpanRecorder::begin(
            &self.parts.observer,
            self.parts.clock,
            &routable.snapshot,
            routable.route,
            trace,
            Role::Attempt,
        );
        let outcome = if choice.local {
            self.attempt_locally(routable, choice, upload, time_left, headers, pending)
                .await
        } else {
            self.attempt_over_link(routable, choice, upload, time_left, headers, pending)
                .await
        };
        recording.end(outcome.end());
        outcome
    }

    /// Makes an attempt at the gate and backend server of this node.
    async fn attempt_locally(
        &self,
        routable: &Routable,
        choice: &Choice,
        mut upload: Upload,
        time_left: Duration,
        headers: HeaderMap,
        pending: InFlight<'_>,
    ) -> AttemptResult {
        let parts = &self.parts;
        let job = Job {
            service: routable.service_name().to_owned(),
            method: routable.method.clone(),
            path: routable.path.clone(),
            trace: crate::call::Trace::from_headers(&headers, &parts.ids),
            headers,
            context: routable.context.clone(),
            deadline: parts.clock.now() + time_left,
            objective: routable.objective_deadline,
            begin_by: choice
                .queue_timeout
                .map(|patience| parts.clock.now() + patience),
            plan: routable.snapshot.plan.version,
        };
        let progress = Progress::default();
        let recall_after = choice.recall_after;
        let outcome = {
            let execution = parts
                .executor
                .execute(job, &progress, || upload.take_body());
            let mut execution = pin!(execution);
            let mut recall_timer = pin!(sleep(recall_after.unwrap_or(time_left)));
            let mut can_recall = recall_after.is_some();
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut execution => break outcome,
                    () = &mut recall_timer, if can_recall => {
                        can_recall = false;
                        progress.recall.notify_one();
                    }
                }
            }
        };
        let load = Some(parts.executor.load());
        match outcome {
            Outcome::Answered(response) => AttemptResult::Answered(pending.track(response, load)),
            Outcome::NotRun(refused) => {
                pending.on_refusal(refused, load);
                AttemptResult::NotRun(refused, Some(upload))
            }
            Outcome::Unknown(unknown) => {
                pending.on_failure(load);
                AttemptResult::Unknown(unknown, Some(upload))
            }
        }
    }

    /// Makes an attempt over the link to another node.
    ///
    /// Without a load report, an unreachable peer is reported as suspect to the membership.
    async fn attempt_over_link(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        time_left: Duration,
        headers: HeaderMap,
        pending: InFlight<'_>,
    ) -> AttemptResult {
        let open = RequestHead {
            call: self.parts.ids.next_id(),
            plan: routable.snapshot.plan.version,
            service: routable.service_name().to_owned(),
            tenant: routable.context.tenant.clone().unwrap_or_default(),
            method: routable.method.clone(),
            path: routable.path.to_string(),
            headers,
            time_left,
            hops: routable.context.hops,
            regions: routable.context.regions.clone().unwrap_or_default(),
            bodiless: upload.is_bodiless(),
            objective_left: routable.objective_left(self.parts.clock.now()),
            queue_timeout: choice.queue_timeout.unwrap_or_default(),
            api_key: routable
                .context
                .api_key
                .map(|digest| Bytes::copy_from_slice(digest.as_bytes()))
                .unwrap_or_default(),
        };
        let terms = AttemptTimeouts {
            recall_after: choice.recall_after,
            time_left,
        };
        let links = &self.parts.links;
        match links.send_call(choice.peer, &open, upload, terms).await {
            AttemptOutcome::Answered { head, body } => {
                let load = Some(head.load);
                self.parts
                    .snapshot_source
                    .on_peer_plan_version(choice.peer, head.plan);
                let response = response_from_link(*head, body);
                AttemptResult::Answered(pending.track(response, load))
            }
            AttemptOutcome::NotRun {
                not_run,
                load,
                upload,
                plan,
            } => {
                if load.is_some() {
                    self.parts
                        .snapshot_source
                        .on_peer_plan_version(choice.peer, plan);
                }
                if load.is_none() && not_run.reason() == Reason::Unreachable {
                    self.parts.snapshot_source.suspect(&choice.instance);
                }
                pending.on_refusal(not_run, load);
                AttemptResult::NotRun(not_run, Some(upload))
            }
            AttemptOutcome::Unknown {
                unknown,
                load,
                upload,
            } => {
                pending.on_failure(load);
                AttemptResult::Unknown(unknown, Some(upload))
            }
        }
    }
}

fn response_from_link(head: ResponseHead, body: peer::ResponseBody) -> Response<Body> {
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Attempt that the router counts as in flight. Reports its end to the router exactly once.
pub(super) struct InFlight<'a> {
    entry: &'a Entry,
    choice: &'a Choice,
    deadline: Time,
    is_finished: bool,
}

impl<'a> InFlight<'a> {
    fn new(entry: &'a Entry, choice: &'a Choice, time_left: Duration) -> Self {
        Self {
            entry,
            choice,
            deadline: entry.parts.clock.now() + time_left,
            is_finished: false,
        }
    }

    /// Wraps the response body, which from now on reports the end of the attempt.
    fn track(mut self, response: Response<Body>, load: Option<LoadReport>) -> Response<Body> {
        self.is_finished = true;
        self.report_load(load);
        let parts = &self.entry.parts;
        let (head, body) = response.into_parts();
        let tracked = TrackedBody::new(
            body,
            std::sync::Arc::clone(&parts.router),
            std::sync::Arc::clone(&parts.observer),
            parts.clock,
            self.choice.backend,
            self.deadline,
        );
        Response::from_parts(head, tracked.boxed_unsync())
    }

    fn on_refusal(mut self, refused: NotRun, load: Option<LoadReport>) {
        self.finish(&routing::Event::Refused(refused.reason()));
        self.report_load(load);
    }

    fn on_failure(mut self, load: Option<LoadReport>) {
        self.finish(&routing::Event::Failed);
        self.report_load(load);
    }

    fn report_load(&self, load: Option<LoadReport>) {
        if let Some(load) = load {
            self.notify_router(&routing::Event::Report(load));
        }
    }

    fn finish(&mut self, event: &routing::Event) {
        self.is_finished = true;
        self.notify_router(event);
    }

    fn notify_router(&self, event: &routing::Event) {
        let now = self.entry.parts.clock.now();
        let mut router = self.entry.router();
        router.observe(now, self.choice.backend, event);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(&routing::Event::Cancelled);
        }
    }
}
