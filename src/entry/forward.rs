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

use super::attempt::AttemptResult;
use super::claim::{self, Claim, ClaimError};
use super::progress::{CallProgress, CallResult};
use super::request::{Rejection, Routable};
use super::response_buffer::{Buffered, buffer_response};
use super::{Entry, RetryAdvice};

use http_body_util::BodyExt;

impl Entry {
    /// Serves one request of a caller.
    pub(super) async fn handle(
        self: &Arc<Self>,
        request: http::Request<Incoming>,
    ) -> Response<Body> {
        let parts = &self.parts;
        let started = parts.clock.now();
        parts.observer.event(Event::Received);
        let (head, body) = request.into_parts();
        let call = Call::<Received>::receive(Time::from_micros(u64::MAX));
        let request_id = parts.dialect.request_id(&head.headers);
        let mut routable = match Routable::check(self, head) {
            Ok(routable) => routable,
            Err(rejection) => return self.reject(call, request_id.as_ref(), &rejection),
        };
        let call = call.route(routable.worth(), started + routable.time_left);
        let body = body.map_err(|_| Cut::Caller).boxed_unsync();
        let upload = Upload::new(body, routable.expects_continue);
        let recording = Recording::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            routable.trace,
            Duty::Entry,
        );
        match self.forward_with_claim(call, &mut routable, upload).await {
            CallResult::Answered(response) => {
                recording.end(End::Answered(response.status()));
                response
            }
            CallResult::NotRun(refused) => {
                recording.end(End::NotRun(refused.reason()));
                let retry_after = self.retry_after(refused.reason(), &routable);
                self.refusal_response(refused, retry_after, "")
            }
            CallResult::Unknown(unknown) => {
                recording.end(End::Unknown(unknown.loss()));
                parts.dialect.unknown_outcome_response(unknown)
            }
        }
    }

    /// Runs a call, under its idempotency key if it has one.
    async fn forward_with_claim(
        self: &Arc<Self>,
        call: Call<Routed>,
        routable: &mut Routable,
        upload: Upload,
    ) -> CallResult {
        let key = match claim::idempotency_key(routable) {
            Ok(Some(key)) => key,
            Ok(None) => return self.forward(call, routable, upload).await,
            Err(reason) => return CallResult::NotRun(call.refuse(reason)),
        };
        let claim = match Claim::acquire(self, routable, key).await {
            Ok(claim) => claim,
            Err(ClaimError::Refused(reason)) => return CallResult::NotRun(call.refuse(reason)),
            Err(ClaimError::Unknown(loss)) => return CallResult::Unknown(Unknown::by(loss)),
        };
        let outcome = self.forward(call, routable, upload).await;
        if matches!(outcome, CallResult::NotRun(_)) {
            claim.release_in_background(self);
        }
        outcome
    }

    fn reject(
        &self,
        call: Call<Received>,
        request_id: Option<&HeaderValue>,
        rejection: &Rejection,
    ) -> Response<Body> {
        let refused = call.refuse(rejection.reason);
        self.parts.observer.decision(&Decision {
            duty: Duty::Entry,
            request: request_id
                .and_then(|request_id| request_id.to_str().ok())
                .unwrap_or_default(),
            service: "",
            route: "",
            plan: self.parts.snapshot_source.snapshot().plan.version,
            tries: &[],
            load: None,
            elapsed: Duration::ZERO,
            end: End::NotRun(refused.reason()),
        });
        self.parts.observer.event(Event::Refused(refused.reason()));
        let retry_after = self.parts.settings.retry_after;
        self.refusal_response(refused, retry_after, &rejection.addresses)
    }

    fn refusal_response(
        &self,
        refused: NotRun,
        retry_after: Duration,
        addresses: &str,
    ) -> Response<Body> {
        self.parts.dialect.not_run_response(&Refusal {
            reason: refused.reason(),
            retry_after,
            addresses,
        })
    }

    /// When the caller of a call that was refused may come back.
    fn retry_after(&self, reason: Reason, routable: &Routable) -> Duration {
        let now = self.parts.clock.now();
        let mut router = self.router();
        let advice = RetryAdvice {
            reason,
            time_until_capacity: router.room(now, routable.service, routable.allowed_regions),
            jitter: router.draw(),
        };
        drop(router);
        advice.retry_after(&self.parts.settings)
    }

    async fn forward(
        &self,
        call: Call<Routed>,
        routable: &mut Routable,
        upload: Upload,
    ) -> CallResult {
        let mut progress = CallProgress::new(call.deadline(), self.story(routable));
        let mut upload = upload;
        let now = self.parts.clock.now();
        self.router().call_made(now, routable.service);
        loop {
            let choice = match self.choose(routable, &upload, &progress) {
                Ok(choice) => choice,
                Err(reason) => return progress.finish(call.refuse(reason)),
            };
            let turn = progress.start_attempt(&choice);
            let mut replay = upload.try_clone().filter(|_| routable.idempotent);
            let outcome = self
                .attempt_with_hedge(routable, &choice, upload, &mut replay, &mut progress, turn)
                .await;
            let retry_upload = match outcome {
                AttemptResult::Answered(response) => {
                    match self
                        .accept_response(response, replay, routable, &mut progress)
                        .await
                    {
                        Ok(response) => {
                            let outcome = CallResult::Answered(response);
                            outcome.report(progress.story.take());
                            return outcome;
                        }
                        Err(retry_upload) => retry_upload,
                    }
                }
                AttemptResult::NotRun(refused, retry_upload) => {
                    progress.record_refusal(&choice, refused);
                    retry_upload.filter(|_| refused.reason().is_retryable_elsewhere())
                }
                AttemptResult::Unknown(unknown, retry_upload) => {
                    progress.record_unknown(unknown);
                    retry_upload.filter(|_| routable.idempotent)
                }
            };
            match self.upload_for_retry(retry_upload, routable, &progress) {
                Some(retry_upload) => upload = retry_upload,
                None => return progress.finish(call.refuse(Reason::NoBackendServer)),
            }
            if let Err(rejection) = routable.refresh(self) {
                return progress.finish(call.refuse(rejection.reason));
            }
        }
    }

    fn story(&self, routable: &Routable) -> Option<Story> {
        let parts = &self.parts;
        let request_id = parts.dialect.request_id(&routable.headers);
        Story::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            request_id.as_ref(),
            routable.trace,
        )
    }

    /// Takes an answer for the caller, or what is to be sent once more when
    /// another backend server may give a better one.
    async fn accept_response(
        &self,
        response: Response<Body>,
        replay: Option<Upload>,
        routable: &Routable,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, Option<Upload>> {
        let limit = self.parts.settings.buffered_response_bytes;
        if limit == 0 || !routable.idempotent {
            return Ok(response);
        }
        let failed = response.status().is_server_error();
        match buffer_response(response, limit).await {
            Buffered::Ready(response) if failed => {
                progress.backends_reached += 1;
                progress.error_response = Some(response);
                Err(replay)
            }
            Buffered::Ready(response) => Ok(response),
            Buffered::Aborted(cut) => {
                let loss = match cut {
                    Cut::Deadline => Loss::Deadline,
                    _ => Loss::BackendServer,
                };
                progress.record_unknown(Unknown::by(loss));
                Err(replay)
            }
        }
    }

    pub(super) fn choose(
        &self,
        routable: &Routable,
        upload: &Upload,
        progress: &CallProgress,
    ) -> Result<Choice, Reason> {
        let now = self.parts.clock.now();
        if now >= progress.deadline {
            return Err(Reason::Deadline);
        }
        let query = Ask {
            service: routable.service,
            regions: routable.allowed_regions,
            worth: routable.worth(),
            deadline: progress.deadline,
            objective: routable.objective_deadline,
            bytes: upload.buffered_bytes() as u64,
            avoid: progress.avoid,
        };
        let own_load = self.parts.executor.load();
        let mut router = self.router();
        router.told(now, &self.parts.place.instance, &own_load);
        let mut choice = router.choose(now, &query)?;
        drop(router);
        if progress.returned_by_gate {
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
    fn may_retry(&self, now: Time, routable: &Routable, progress: &CallProgress) -> bool {
        let refused = progress.last_refusal.map(NotRun::reason);
        if progress.backends_reached == 0 && self.skips_retry_budget(refused) {
            return true;
        }
        let has_token = self.router().may_retry(now, routable.service);
        has_token || refused == Some(Reason::Recalled)
    }

    fn skips_retry_budget(&self, refused: Option<Reason>) -> bool {
        self.parts.settings.refusals_skip_retry_budget
            || refused.is_some_and(Reason::is_gate_closed)
    }

    /// What is to be sent, if the call may be tried once more.
    fn upload_for_retry(
        &self,
        upload: Option<Upload>,
        routable: &Routable,
        progress: &CallProgress,
    ) -> Option<Upload> {
        let upload = upload.filter(Upload::is_replayable)?;
        let now = self.parts.clock.now();
        let attempts_exhausted = progress.attempts >= self.parts.settings.max_attempts;
        let max_reached = routable.attempts();
        let reach_limit_met =
            max_reached.is_some_and(|max_reached| progress.backends_reached >= max_reached);
        if attempts_exhausted
            || reach_limit_met
            || now >= progress.deadline
            || !self.may_retry(now, routable, progress)
        {
            return None;
        }
        self.parts.observer.event(Event::Retried);
        Some(upload)
    }
}
