//! One attempt at one backend server, over a link or beside this node.

use std::pin::pin;
use std::time::Duration;

use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::backend::{Job, Outcome, Progress};
use crate::call::{Body, Duty, End, NotRun, Reason, Recording, Unknown};
use crate::clock::Time;
use crate::gate::Load;
use crate::peer::wire::{Head, Open};
use crate::peer::{self, Reply, Terms, Upload};
use crate::routing::{self, Choice};

use super::Entry;
use super::answer::Tracked;
use super::request::Routable;

/// What became of an attempt; what was to be sent, if it still can be.
pub(super) enum Attempted {
    Answered(Response<Body>),
    NotRun(NotRun, Option<Upload>),
    Unknown(Unknown, Option<Upload>),
}

impl Attempted {
    /// How it ended.
    pub(super) fn end(&self) -> End {
        match self {
            Self::Answered(response) => End::Answered(response.status()),
            Self::NotRun(refused, _) => End::NotRun(refused.reason()),
            Self::Unknown(unknown, _) => End::Unknown(unknown.loss()),
        }
    }

    /// Whether it has an answer that is worth passing on.
    pub(super) fn is_good(&self) -> bool {
        matches!(self, Self::Answered(response) if !response.status().is_server_error())
    }
}

impl Entry {
    pub(super) async fn attempt(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        time_left: Duration,
    ) -> Attempted {
        let ending = InFlight::new(self, choice, time_left);
        let trace = routable.trace.child(&self.parts.ids);
        let mut headers = routable.headers.clone();
        trace.write(&mut headers);
        let recording = Recording::begin(
            &self.parts.observer,
            self.parts.clock,
            &routable.snapshot,
            routable.route,
            trace,
            Duty::Attempt,
        );
        let attempted = if choice.local {
            self.beside(routable, choice, upload, time_left, headers, ending)
                .await
        } else {
            self.over_link(routable, choice, upload, time_left, headers, ending)
                .await
        };
        recording.end(attempted.end());
        attempted
    }

    async fn beside(
        &self,
        routable: &Routable,
        choice: &Choice,
        mut upload: Upload,
        time_left: Duration,
        headers: HeaderMap,
        ending: InFlight<'_>,
    ) -> Attempted {
        let parts = &self.parts;
        let job = Job {
            service: routable.service_name().to_owned(),
            method: routable.method.clone(),
            path: routable.path.clone(),
            trace: crate::call::Trace::receive(&headers, &parts.ids),
            headers,
            context: routable.context.clone(),
            deadline: parts.clock.now() + time_left,
            objective: routable.objective,
            begin_by: choice.patience.map(|patience| parts.clock.now() + patience),
            plan: routable.snapshot.plan.version,
        };
        let progress = Progress::default();
        let recall_after = choice.recall_after;
        let outcome = {
            let executing = parts.executor.execute(job, &progress, || upload.body());
            let mut executing = pin!(executing);
            let mut recall = pin!(sleep(recall_after.unwrap_or(time_left)));
            let mut recallable = recall_after.is_some();
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut executing => break outcome,
                    () = &mut recall, if recallable => {
                        recallable = false;
                        progress.recall.notify_one();
                    }
                }
            }
        };
        let load = Some(parts.executor.load());
        match outcome {
            Outcome::Answered(response) => Attempted::Answered(ending.answered(response, load)),
            Outcome::NotRun(refused) => {
                ending.refused(refused, load);
                Attempted::NotRun(refused, Some(upload))
            }
            Outcome::Unknown(unknown) => {
                ending.failed(load);
                Attempted::Unknown(unknown, Some(upload))
            }
        }
    }

    async fn over_link(
        &self,
        routable: &Routable,
        choice: &Choice,
        upload: Upload,
        time_left: Duration,
        headers: HeaderMap,
        ending: InFlight<'_>,
    ) -> Attempted {
        let open = Open {
            call: self.parts.ids.next(),
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
            patience: choice.patience.unwrap_or_default(),
        };
        let terms = Terms {
            recall_after: choice.recall_after,
            time_left,
        };
        let links = &self.parts.links;
        match links.exchange(choice.peer, &open, upload, terms).await {
            Reply::Answered { head, body } => {
                let load = Some(head.load);
                self.parts
                    .snapshot_source
                    .on_peer_plan_version(choice.peer, head.plan);
                let response = response(*head, body);
                Attempted::Answered(ending.answered(response, load))
            }
            Reply::NotRun {
                refused,
                load,
                upload,
                plan,
            } => {
                if load.is_some() {
                    self.parts
                        .snapshot_source
                        .on_peer_plan_version(choice.peer, plan);
                }
                if load.is_none() && refused.reason() == Reason::Unreachable {
                    self.parts.snapshot_source.suspect(&choice.instance);
                }
                ending.refused(refused, load);
                Attempted::NotRun(refused, Some(upload))
            }
            Reply::Unknown {
                unknown,
                load,
                upload,
            } => {
                ending.failed(load);
                Attempted::Unknown(unknown, Some(upload))
            }
        }
    }
}

fn response(head: Head, body: peer::Answer) -> Response<Body> {
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// A call that the router counts as in flight; ends it exactly once.
pub(super) struct InFlight<'a> {
    entry: &'a Entry,
    choice: &'a Choice,
    deadline: Time,
    ended: bool,
}

impl<'a> InFlight<'a> {
    fn new(entry: &'a Entry, choice: &'a Choice, time_left: Duration) -> Self {
        Self {
            entry,
            choice,
            deadline: entry.parts.clock.now() + time_left,
            ended: false,
        }
    }

    fn answered(mut self, response: Response<Body>, load: Option<Load>) -> Response<Body> {
        self.ended = true;
        self.report(load);
        let parts = &self.entry.parts;
        let (head, body) = response.into_parts();
        let tracked = Tracked::new(
            body,
            std::sync::Arc::clone(&parts.router),
            std::sync::Arc::clone(&parts.observer),
            parts.clock,
            self.choice.backend,
            self.deadline,
        );
        Response::from_parts(head, tracked.boxed_unsync())
    }

    fn refused(mut self, refused: NotRun, load: Option<Load>) {
        self.end(&routing::Event::Refused(refused.reason()));
        self.report(load);
    }

    fn failed(mut self, load: Option<Load>) {
        self.end(&routing::Event::Failed);
        self.report(load);
    }

    fn report(&self, load: Option<Load>) {
        if let Some(load) = load {
            self.observe(&routing::Event::Report(load));
        }
    }

    fn end(&mut self, event: &routing::Event) {
        self.ended = true;
        self.observe(event);
    }

    fn observe(&self, event: &routing::Event) {
        let now = self.entry.parts.clock.now();
        let mut router = self.entry.router();
        router.observe(now, self.choice.backend, event);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(&routing::Event::Abandoned);
        }
    }
}
