//! Attempts at backend servers until one answers.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Response};
use hyper::body::Incoming;

use crate::call::{
    Body, Call, Cut, Decision, Duty, End, Event, Loss, NotRun, Reason, Received, Recording, Routed,
    Story, Unknown,
};
use crate::clock::Time;
use crate::dialect::Refusal;
use crate::peer::Upload;
use crate::routing::{self, Ask, Choice};

use super::attempt::Attempted;
use super::claim::{self, Claim, Obstacle};
use super::hold::{Held, hold};
use super::progress::{Ended, Progress};
use super::request::{Refusable, Routable};
use super::{Comeback, Entry};

use http_body_util::BodyExt;

impl Entry {
    /// Serves one request of a caller.
    pub(super) async fn serve(
        self: &Arc<Self>,
        request: http::Request<Incoming>,
    ) -> Response<Body> {
        let parts = &self.parts;
        let started = parts.clock.now();
        parts.observer.event(Event::Received);
        let (head, body) = request.into_parts();
        let call = Call::<Received>::receive(Time::from_micros(u64::MAX));
        let id = parts.dialect.request_id(&head.headers);
        let mut routable = match Routable::check(self, head) {
            Ok(routable) => routable,
            Err(refusable) => return self.refuse(call, id.as_ref(), &refusable),
        };
        let call = call.route(routable.worth(), started + routable.time_left);
        let body = body.map_err(|_| Cut::Caller).boxed_unsync();
        let upload = Upload::new(body, routable.waits_for_continue);
        let recording = Recording::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            routable.trace,
            Duty::Entry,
        );
        match self.run_once(call, &mut routable, upload).await {
            Ended::Answered(response) => {
                recording.end(End::Answered(response.status()));
                response
            }
            Ended::NotRun(refused) => {
                recording.end(End::NotRun(refused.reason()));
                let after = self.comeback(refused.reason(), &routable);
                self.not_run(refused, after, "")
            }
            Ended::Unknown(unknown) => {
                recording.end(End::Unknown(unknown.loss()));
                parts.dialect.unknown(unknown)
            }
        }
    }

    /// Runs a call, under its idempotency key if it has one.
    async fn run_once(
        self: &Arc<Self>,
        call: Call<Routed>,
        routable: &mut Routable,
        upload: Upload,
    ) -> Ended {
        let key = match claim::key(routable) {
            Ok(Some(key)) => key,
            Ok(None) => return self.forward(call, routable, upload).await,
            Err(reason) => return Ended::NotRun(call.refuse(reason)),
        };
        let claim = match Claim::take(self, routable, key).await {
            Ok(claim) => claim,
            Err(Obstacle::Refused(reason)) => return Ended::NotRun(call.refuse(reason)),
            Err(Obstacle::Unknown(loss)) => return Ended::Unknown(Unknown::by(loss)),
        };
        let ended = self.forward(call, routable, upload).await;
        if matches!(ended, Ended::NotRun(_)) {
            claim.release_later(self);
        }
        ended
    }

    fn refuse(
        &self,
        call: Call<Received>,
        id: Option<&HeaderValue>,
        refusable: &Refusable,
    ) -> Response<Body> {
        let refused = call.refuse(refusable.reason);
        self.parts.observer.decision(&Decision {
            duty: Duty::Entry,
            request: id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
            service: "",
            route: "",
            plan: self.parts.snapshot_source.snapshot().plan.version,
            tries: &[],
            load: None,
            elapsed: Duration::ZERO,
            end: End::NotRun(refused.reason()),
        });
        self.parts.observer.event(Event::Refused(refused.reason()));
        let after = self.parts.settings.retry_after;
        self.not_run(refused, after, &refusable.addresses)
    }

    fn not_run(&self, refused: NotRun, retry_after: Duration, addresses: &str) -> Response<Body> {
        self.parts.dialect.not_run(&Refusal {
            reason: refused.reason(),
            retry_after,
            addresses,
        })
    }

    /// When the caller of a call that was refused may come back.
    fn comeback(&self, reason: Reason, routable: &Routable) -> Duration {
        let now = self.parts.clock.now();
        let mut router = self.router();
        let comeback = Comeback {
            reason,
            room: router.room(now, routable.service, routable.allowed),
            draw: router.draw(),
        };
        drop(router);
        comeback.after(&self.parts.settings)
    }

    async fn forward(&self, call: Call<Routed>, routable: &mut Routable, upload: Upload) -> Ended {
        let mut progress = Progress::new(call.deadline(), self.story(routable));
        let mut upload = upload;
        let now = self.parts.clock.now();
        self.router().call_made(now, routable.service);
        loop {
            let choice = match self.choose(routable, &upload, &progress) {
                Ok(choice) => choice,
                Err(reason) => return progress.end(call.refuse(reason)),
            };
            let turn = progress.begin(&choice);
            let mut again = upload.again().filter(|_| routable.idempotent);
            let attempted = self
                .attempt_twice(routable, &choice, upload, &mut again, &mut progress, turn)
                .await;
            let left = match attempted {
                Attempted::Answered(response) => {
                    match self.take(response, again, routable, &mut progress).await {
                        Ok(response) => {
                            let ended = Ended::Answered(response);
                            ended.tell(progress.story.take());
                            return ended;
                        }
                        Err(left) => left,
                    }
                }
                Attempted::NotRun(refused, left) => {
                    progress.refuse(&choice, refused);
                    left.filter(|_| refused.reason().is_local())
                }
                Attempted::Unknown(unknown, left) => {
                    progress.lose(unknown);
                    left.filter(|_| routable.idempotent)
                }
            };
            match self.next_attempt(left, routable, &progress) {
                Some(left) => upload = left,
                None => return progress.end(call.refuse(Reason::NoBackendServer)),
            }
            if let Err(refusable) = routable.refresh(self) {
                return progress.end(call.refuse(refusable.reason));
            }
        }
    }

    fn story(&self, routable: &Routable) -> Option<Story> {
        let parts = &self.parts;
        let id = parts.dialect.request_id(&routable.headers);
        Story::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            id.as_ref(),
            routable.trace,
        )
    }

    /// Takes an answer for the caller, or what is to be sent once more when
    /// another backend server may give a better one.
    async fn take(
        &self,
        response: Response<Body>,
        again: Option<Upload>,
        routable: &Routable,
        progress: &mut Progress,
    ) -> Result<Response<Body>, Option<Upload>> {
        let limit = self.parts.settings.held_answer_bytes;
        if limit == 0 || !routable.idempotent {
            return Ok(response);
        }
        let failed = response.status().is_server_error();
        match hold(response, limit).await {
            Held::Ready(response) if failed => {
                progress.reached += 1;
                progress.failure = Some(response);
                Err(again)
            }
            Held::Ready(response) => Ok(response),
            Held::Broken(cut) => {
                let loss = match cut {
                    Cut::Deadline => Loss::Deadline,
                    _ => Loss::BackendServer,
                };
                progress.lose(Unknown::by(loss));
                Err(again)
            }
        }
    }

    pub(super) fn choose(
        &self,
        routable: &Routable,
        upload: &Upload,
        progress: &Progress,
    ) -> Result<Choice, Reason> {
        let now = self.parts.clock.now();
        if now >= progress.deadline {
            return Err(Reason::Deadline);
        }
        let ask = Ask {
            service: routable.service,
            regions: routable.allowed,
            worth: routable.worth(),
            deadline: progress.deadline,
            objective: routable.objective,
            bytes: upload.known_bytes() as u64,
            avoid: progress.avoid,
        };
        let own = self.parts.executor.load();
        let mut router = self.router();
        router.told(now, &self.parts.place.instance, &own);
        let mut choice = router.choose(now, &ask)?;
        drop(router);
        if progress.given_back {
            // Where all have to wait, going round only loses the turn.
            choice.patience = None;
        }
        if progress.avoid.contains(choice.backend) {
            let abandoned = routing::Event::Abandoned;
            self.router().observe(now, choice.backend, &abandoned);
            return Err(Reason::NoBackendServer);
        }
        let local = choice.local;
        self.parts.observer.event(Event::Routed { local });
        Ok(choice)
    }

    /// A gate that closed is kept out of the choice for a while, so such retries
    /// cannot add up. A recall was planned because the budget had tokens saved,
    /// and must not leave the caller with less than it had in the queue.
    fn may_retry(&self, now: Time, routable: &Routable, progress: &Progress) -> bool {
        let refused = progress.refused.map(NotRun::reason);
        if progress.reached == 0 && self.is_free(refused) {
            return true;
        }
        let has_token = self.router().may_retry(now, routable.service);
        has_token || refused == Some(Reason::Recalled)
    }

    fn is_free(&self, refused: Option<Reason>) -> bool {
        self.parts.settings.free_refusals || refused.is_some_and(Reason::is_closing)
    }

    /// What is to be sent, if the call may be tried once more.
    fn next_attempt(
        &self,
        upload: Option<Upload>,
        routable: &Routable,
        progress: &Progress,
    ) -> Option<Upload> {
        let upload = upload.filter(Upload::is_replayable)?;
        let now = self.parts.clock.now();
        let spent = progress.attempts >= self.parts.settings.max_attempts;
        let allowed = routable.attempts();
        let reached = allowed.is_some_and(|allowed| progress.reached >= allowed);
        if spent || reached || now >= progress.deadline || !self.may_retry(now, routable, progress)
        {
            return None;
        }
        self.parts.observer.event(Event::Retried);
        Some(upload)
    }
}
