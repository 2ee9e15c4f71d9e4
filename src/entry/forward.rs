//! Forwards a call: makes attempts at backend servers until one responds or no retry is allowed.
//!
//! Input is the request of a caller; the result is the response to that caller. A retry needs a
//! request body that can be replayed, time before the deadline, a plan that still allows the call,
//! and a token of the retry budget unless the refusal is exempt. A call that may have run is
//! retried only if it is idempotent. [`CallProgress`] holds the state between attempts.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts as Head;
use http::{HeaderValue, Response};

use crate::call::{
    Body, BodyError, Call, CallOutcome, Decision, DecisionRecorder, Event, Loss, NotRun, Reason,
    Received, Role, Routed, SpanRecorder, UnknownOutcome,
};
use crate::clock::Time;
use crate::dialect::Refusal;
use crate::peer::Upload;
use crate::routing::{self, Choice, SelectionRequest};

use super::attempt::AttemptResult;
use super::claim::{self, Claim, ClaimError};
use super::progress::{CallProgress, CallResult};
use super::request::{Rejection, Routable};
use super::request_body::RequestBody;
use super::response_buffer::{Buffered, buffer_response};
use super::{Entry, RetryAdvice};

use http_body_util::BodyExt;

impl Entry {
    /// Handles one request of a caller and returns the response or refusal.
    pub(super) async fn handle(self: &Arc<Self>, head: Head, body: RequestBody) -> Response<Body> {
        let parts = &self.parts;
        let started = parts.clock.now();
        parts.observer.event(Event::Received);
        let request_id = parts.dialect.request_id(&head.headers);
        match Routable::check(self, head) {
            Ok(routable) => match self.serve(started, routable, body).await {
                Ok(response) => response,
                Err(refused) => self.refuse(&refused),
            },
            Err(rejection) => self.reject(received(), request_id.as_ref(), &rejection),
        }
    }

    /// Handles a pipelined request without a body before its turn.
    ///
    /// Returns `None` if it has to wait: its call may run only once, or no backend server has room.
    /// There may be room in its turn, and on a full service calls ahead of theirs come last.
    pub(super) async fn handle_ahead(self: &Arc<Self>, head: Head) -> Option<Response<Body>> {
        let started = self.parts.clock.now();
        let routable = Routable::check(self, head).ok()?;
        if !routable.idempotent {
            return None;
        }
        let response = match self.serve(started, routable, RequestBody::empty()).await {
            Ok(response) => response,
            Err(refused) if refused.not_run.reason() == Reason::RateLimited => {
                self.refuse(&refused)
            }
            Err(_) => return None,
        };
        self.parts.observer.event(Event::Received);
        Some(response)
    }

    /// Forwards a checked request.
    async fn serve(
        self: &Arc<Self>,
        started: Time,
        mut routable: Routable,
        body: RequestBody,
    ) -> Result<Response<Body>, RefusedCall> {
        let parts = &self.parts;
        let call = received();
        let call = call.route(routable.worth(), started + routable.time_left);
        let upload = Upload::new(body.boxed_unsync(), routable.expects_continue);
        let recording = SpanRecorder::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            routable.trace,
            Role::Entry,
        );
        let call_result = match self.admit_tenant(&routable) {
            Ok(admission) => {
                let call_result = self.forward_with_claim(call, &mut routable, upload).await;
                if matches!(call_result, CallResult::NotRun(_)) {
                    admission.refund(self);
                }
                call_result
            }
            Err(retry_after) => {
                let reason = Reason::RateLimited;
                recording.end(CallOutcome::NotRun(reason));
                self.report_refusal(&routable, reason);
                return Err(RefusedCall {
                    not_run: call.refuse(reason),
                    retry_after,
                });
            }
        };
        match call_result {
            CallResult::Answered(response) => {
                recording.end(CallOutcome::Answered(response.status()));
                Ok(response)
            }
            CallResult::NotRun(not_run) => {
                recording.end(CallOutcome::NotRun(not_run.reason()));
                Err(RefusedCall {
                    not_run,
                    retry_after: self.retry_after(not_run.reason(), &routable),
                })
            }
            CallResult::Unknown(unknown) => {
                recording.end(CallOutcome::Unknown(unknown.loss()));
                Ok(parts.dialect.unknown_outcome_response(unknown))
            }
        }
    }

    /// Counts the call against the rate limit of its tenant.
    ///
    /// `Err` holds the time after which the caller may try again, different for each caller.
    fn admit_tenant(&self, routable: &Routable) -> Result<TenantAdmission, Duration> {
        let plan = &routable.snapshot.plan;
        let tenant = routable.tenant.map(|key| plan.tenant(key));
        let limited = tenant.and_then(|tenant| Some((&tenant.name, tenant.rate_limit?)));
        let Some((name, limit)) = limited else {
            return Ok(TenantAdmission { tenant: None });
        };
        let now = self.parts.clock.now();
        let nodes = routable.snapshot.view.len();
        let admitted = self.parts.local.admit(now, name, limit, nodes);
        admitted.map_err(|wait| wait.mul_f64(1.0 + self.router().random_fraction()))?;
        Ok(TenantAdmission {
            tenant: Some(name.clone()),
        })
    }

    /// Writes the decision line of a call that was refused before any attempt.
    fn report_refusal(&self, routable: &Routable, reason: Reason) {
        self.parts.observer.event(Event::Refused(reason));
        if let Some(recorder) = self.decision_recorder(routable) {
            recorder.end(CallOutcome::NotRun(reason));
        }
    }

    /// Forwards a call, after claiming its idempotency key if it has one.
    ///
    /// The claim is released if the call did not run.
    async fn forward_with_claim(
        self: &Arc<Self>,
        call: Call<Routed>,
        routable: &mut Routable,
        upload: Upload,
    ) -> CallResult {
        let Some(delay) = self.parts.settings.idempotency_key_delay else {
            return self.forward(call, routable, upload).await;
        };
        let key = match claim::idempotency_key(routable) {
            Ok(Some(key)) => key,
            Ok(None) => return self.forward(call, routable, upload).await,
            Err(reason) => return CallResult::NotRun(call.refuse(reason)),
        };
        let claim = match Claim::acquire(self, routable, key, delay).await {
            Ok(claim) => claim,
            Err(ClaimError::Refused(reason)) => return CallResult::NotRun(call.refuse(reason)),
            Err(ClaimError::Unknown(loss)) => return CallResult::Unknown(UnknownOutcome::of(loss)),
        };
        let call_result = self.forward(call, routable, upload).await;
        if matches!(call_result, CallResult::NotRun(_)) {
            claim.release_in_background(self);
        }
        call_result
    }

    /// Refuses a request that failed the checks before routing.
    fn reject(
        &self,
        call: Call<Received>,
        request_id: Option<&HeaderValue>,
        rejection: &Rejection,
    ) -> Response<Body> {
        let refused = call.refuse(rejection.reason);
        self.parts.observer.decision(&Decision {
            role: Role::Entry,
            request: request_id
                .and_then(|request_id| request_id.to_str().ok())
                .unwrap_or_default(),
            service: "",
            route: "",
            plan: self.parts.snapshot_source.snapshot().plan.version,
            attempts: &[],
            load: None,
            elapsed: Duration::ZERO,
            outcome: CallOutcome::NotRun(refused.reason()),
        });
        self.parts.observer.event(Event::Refused(refused.reason()));
        let retry_after = self.parts.settings.retry_after;
        self.refusal_response(refused, retry_after, &rejection.addresses)
    }

    fn refuse(&self, refused: &RefusedCall) -> Response<Body> {
        self.refusal_response(refused.not_run, refused.retry_after, "")
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

    /// Retry-After delay of a refused call.
    fn retry_after(&self, reason: Reason, routable: &Routable) -> Duration {
        let now = self.parts.clock.now();
        let mut router = self.router();
        let advice = RetryAdvice {
            reason,
            time_until_capacity: router.time_until_capacity(
                now,
                routable.service,
                routable.allowed_regions,
            ),
            jitter: router.random_fraction(),
        };
        drop(router);
        advice.retry_after(&self.parts.settings)
    }

    /// Makes attempts until one gives a response for the caller or no retry is allowed.
    async fn forward(
        &self,
        call: Call<Routed>,
        routable: &mut Routable,
        upload: Upload,
    ) -> CallResult {
        let mut progress = CallProgress::new(call.deadline(), self.decision_recorder(routable));
        let mut upload = upload;
        let now = self.parts.clock.now();
        self.router().on_call(now, routable.service);
        loop {
            let choice = match self.choose(routable, &upload, &progress) {
                Ok(choice) => choice,
                Err(reason) => return progress.finish(call.refuse(reason)),
            };
            let attempt_index = progress.start_attempt(&choice);
            // Copy of the body for a hedged attempt or for a retry after a failed response.
            let mut replay = upload.try_clone().filter(|_| routable.idempotent);
            let attempt_result = self
                .attempt_with_hedge(
                    routable,
                    &choice,
                    upload,
                    &mut replay,
                    &mut progress,
                    attempt_index,
                )
                .await;
            let retry_upload = match attempt_result {
                AttemptResult::Answered(response) => {
                    match self
                        .accept_response(response, replay, routable, &mut progress)
                        .await
                    {
                        Ok(response) => {
                            let call_result = CallResult::Answered(response);
                            call_result.report(progress.recorder.take());
                            return call_result;
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

    fn decision_recorder(&self, routable: &Routable) -> Option<DecisionRecorder> {
        let parts = &self.parts;
        let request_id = parts.dialect.request_id(&routable.headers);
        DecisionRecorder::begin(
            &parts.observer,
            parts.clock,
            &routable.snapshot,
            routable.route,
            request_id.as_ref(),
            routable.trace,
        )
    }

    /// Buffers the response of an idempotent call and checks whether it failed.
    ///
    /// `Ok` is the response for the caller. It is not buffered if the call is not idempotent or
    /// `buffered_response_bytes` is 0. `Err` means that the response broke off or is a server
    /// error, which is kept in `progress`; it holds the request body for a retry, if there is one.
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
            Buffered::Aborted(error) => {
                let loss = match error {
                    BodyError::Deadline => Loss::Deadline,
                    _ => Loss::BackendServer,
                };
                progress.record_unknown(UnknownOutcome::of(loss));
                Err(replay)
            }
        }
    }

    /// Chooses a backend server and counts the call as in flight there.
    ///
    /// The servers in `progress.avoid` are passed to the router as tried. If it chooses one of them
    /// all the same, the choice is cancelled and the result is [`Reason::NoBackendServer`].
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
        let query = SelectionRequest {
            service: routable.service,
            regions: routable.allowed_regions,
            worth: routable.worth(),
            deadline: progress.deadline,
            objective: routable.objective_deadline,
            bytes: upload.buffered_bytes() as u64,
            tried: progress.avoid,
            idempotent: routable.idempotent,
        };
        // The load of the local backend server is reported to the router at each choice.
        let own_load = self.parts.executor.load();
        let mut router = self.router();
        router.on_load_report(now, &self.parts.location.instance, &own_load);
        let mut choice = router.choose(now, &query)?;
        drop(router);
        if progress.returned_by_gate {
            // A gate has already returned the call because it would start too late there. If calls have
            // to queue at every gate, another move only loses the place in a queue.
            choice.queue_timeout = None;
        }
        if progress.avoid.contains(choice.backend) {
            let cancelled = routing::Event::Cancelled;
            self.router().observe(now, choice.backend, &cancelled);
            return Err(Reason::NoBackendServer);
        }
        let local = choice.local;
        self.parts.observer.event(Event::Routed { local });
        Ok(choice)
    }

    /// Whether the retry budget allows another attempt; takes a token if one is needed.
    ///
    /// As long as no backend server was reached, a refusal by a closed gate needs no token: the
    /// router does not choose such a gate for a while, so there are few of these retries. With the
    /// setting `refusals_skip_retry_budget` no refusal needs one.
    ///
    /// A recalled call is retried even without a token. A recall is planned only while the budget
    /// has tokens. If they are spent meanwhile, the call is retried all the same: without the
    /// recall it would still be queued.
    fn may_retry(&self, now: Time, routable: &Routable, progress: &CallProgress) -> bool {
        let refused = progress.last_refusal.map(NotRun::reason);
        if progress.backends_reached == 0 && self.skips_retry_budget(refused) {
            return true;
        }
        let has_token = self.router().take_retry_token(now, routable.service);
        has_token || refused == Some(Reason::Recalled)
    }

    /// Whether a retry after this refusal needs no token of the retry budget.
    fn skips_retry_budget(&self, refused: Option<Reason>) -> bool {
        self.parts.settings.refusals_skip_retry_budget
            || refused.is_some_and(Reason::is_gate_closed)
    }

    /// Request body for another attempt, if the call may be retried.
    fn upload_for_retry(
        &self,
        upload: Option<Upload>,
        routable: &Routable,
        progress: &CallProgress,
    ) -> Option<Upload> {
        let upload = upload.filter(Upload::is_replayable)?;
        let now = self.parts.clock.now();
        let attempts_exhausted = progress.attempts >= self.parts.settings.max_attempts;
        // `max_attempts` limits all attempts, `routable.attempts()` the backend servers reached.
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

/// A call that certainly did not run, and when its caller may try again.
struct RefusedCall {
    not_run: NotRun,
    retry_after: Duration,
}

/// Count of a call against the rate limit of its tenant, if that has one.
struct TenantAdmission {
    tenant: Option<String>,
}

impl TenantAdmission {
    fn refund(&self, entry: &Entry) {
        if let Some(tenant) = &self.tenant {
            entry.parts.local.refund(tenant);
        }
    }
}

/// A call whose deadline is not known before the checks; `Call::route` sets it.
const fn received() -> Call<Received> {
    Call::<Received>::receive(Time::from_micros(u64::MAX))
}
