//! Gate side of one stream.
//!
//! The first message decides what the stream is for: a call, a claim request, a recall, an
//! exchange of plan records or of departures, a report to a coordinator, or a subscription to loads or to the progress of a
//! relay. A call is run by the executor, and its response, refusal or failure is sent back as
//! frames.

use bytes::Bytes;
use futures::FutureExt;
use h2::RecvStream;
use h2::server::SendResponse;
use http::uri::PathAndQuery;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::BodyExt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::backend::{Executor, Job, Outcome};
use crate::call::claim::{ClaimRequest, Digest};
use crate::call::{Body, BodyError, Context, Event, Loss, MAX_HOPS, Reason, Trace};

use crate::plan::KeyDigest;

use super::calls::ActiveCalls;
use super::inbound::Inbound;
use super::outbound::{Outbound, StreamBroken};
use super::receiver::BodyReceiver;
use super::wire::{
    self, ClaimRequestMessage, ClaimResponseMessage, CoordinationMessage, DeparturesMessage,
    Encoder, Failed, RawFrame, Recall, Refused, RequestHead, ResponseHead, Trailers, kind,
};
use super::{Settings, coordination, departures, load_subscription, plan_records};

/// Buffer for a response head and a short body, which leave together.
const RESPONSE_BUFFER_BYTES: usize = 4 * 1024;

type BodyItem = Result<Frame<Bytes>, BodyError>;

/// Serves one stream. Subscriptions end on `shutdown`, calls do not.
pub(super) async fn serve(
    executor: Arc<Executor>,
    calls: Arc<ActiveCalls>,
    settings: Settings,
    shutdown: CancellationToken,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let mut inbound = Inbound::new(request.into_body());
    let first_message = timeout(settings.open_timeout, read_first_message(&mut inbound)).await;
    let request_head = match first_message {
        Ok(Some(FirstMessage::RequestHead(request_head))) => request_head,
        Ok(Some(FirstMessage::Claim(claim))) => return reply_to_claim(&executor, &claim, respond),
        Ok(Some(FirstMessage::PlanRecords(plan_records))) => {
            return reply_to_plan_records(&executor, &plan_records, respond);
        }
        Ok(Some(FirstMessage::Departures(message))) => {
            return departures::reply(&executor, message, respond);
        }
        Ok(Some(FirstMessage::Report(message))) => {
            return coordination::reply(&executor, &message, respond);
        }
        Ok(Some(FirstMessage::LoadSubscribe)) => {
            // An error means that the entry has closed the stream.
            let sending = load_subscription::send_load_reports(&executor, respond);
            let _ = shutdown.run_until_cancelled(sending).await;
            return;
        }
        Ok(Some(FirstMessage::ProgressSubscribe)) => {
            // An error means that the other node has closed the stream.
            let sending = plan_records::send_progress(&executor, respond);
            let _ = shutdown.run_until_cancelled(sending).await;
            return;
        }
        Ok(Some(FirstMessage::Recall(recall))) => {
            calls.recall(recall.call);
            // The entry gets the outcome of the recall on the stream of the call itself.
            let _ = respond.send_response(Response::new(()), true);
            return;
        }
        Ok(None) | Err(_) => {
            executor.observer.event(Event::LinkRejected);
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
            return;
        }
    };
    let call = request_head.call;
    let mut responder = Responder {
        call,
        executor: &executor,
        calls: &calls,
        outbound: Outbound::for_response(respond),
    };
    let mut request_body = BodyReceiver::new(request_head.bodiless, inbound, &executor);
    // An error means that the entry has closed the stream; dropping the call cancels it.
    let _ = responder.run(*request_head, &mut request_body).await;
}

/// First message of a stream.
enum FirstMessage {
    RequestHead(Box<RequestHead>),
    Claim(ClaimRequestMessage),
    Recall(Recall),
    PlanRecords(wire::PlanRecords),
    Departures(DeparturesMessage),
    Report(CoordinationMessage),
    LoadSubscribe,
    ProgressSubscribe,
}

/// Reads the first message; `None` if it is malformed or may not start a stream.
async fn read_first_message(inbound: &mut Inbound) -> Option<FirstMessage> {
    let Ok(RawFrame::Message(kind, payload)) = inbound.next().await else {
        return None;
    };
    match kind {
        kind::REQUEST_HEAD => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::RequestHead),
        kind::CLAIM_REQUEST => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::Claim),
        kind::RECALL => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::Recall),
        kind::LOAD_SUBSCRIBE => Some(FirstMessage::LoadSubscribe),
        kind::PROGRESS_SUBSCRIBE => Some(FirstMessage::ProgressSubscribe),
        kind::PLAN_RECORDS => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::PlanRecords),
        kind::DEPARTURES => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::Departures),
        kind::REPORT => wire::decode_message(kind, &payload)
            .ok()
            .map(FirstMessage::Report),
        _ => None,
    }
}

/// Replies with the status of the idempotency key at this node.
fn reply_to_claim(executor: &Executor, claim: &ClaimRequestMessage, respond: SendResponse<Bytes>) {
    let question = ClaimRequest {
        digest: Digest(u128::from(claim.digest_high) << 64 | u128::from(claim.digest_low)),
        call: claim.call,
        regions: &claim.regions,
        intent: claim.intent,
        keep: claim.keep,
    };
    let claimed = ClaimResponseMessage {
        call: claim.call,
        verdict: executor.answer_claim(&question),
    };
    let mut frames = Encoder::default();
    let sent = frames.push_message(kind::CLAIM_RESPONSE, &claimed);
    // Without a reply the entry refuses the call, since the claim's status stays unknown.
    if sent.is_ok() {
        let _ = Outbound::for_response(respond).flush(&mut frames, true);
    }
}

/// Merges received plan records and replies with those of this node.
fn reply_to_plan_records(
    executor: &Executor,
    plan_records: &wire::PlanRecords,
    respond: SendResponse<Bytes>,
) {
    let Some(received_records) = plan_records::from_message(plan_records) else {
        executor.observer.event(Event::LinkRejected);
        return;
    };
    let reply_records = executor
        .snapshot_source
        .exchange_plan_records(received_records);
    let mut frames = Encoder::default();
    let sent = frames.push_message(
        kind::PLAN_RECORDS,
        &plan_records::to_message(&reply_records),
    );
    // Without a reply the other node asks another peer.
    if sent.is_ok() {
        let _ = Outbound::for_response(respond).flush(&mut frames, true);
    }
}

/// Runs one call and sends its outcome to the entry.
struct Responder<'a> {
    call: u64,
    executor: &'a Executor,
    calls: &'a ActiveCalls,
    outbound: Outbound,
}

impl Responder<'_> {
    async fn run(
        &mut self,
        request_head: RequestHead,
        request_body: &mut BodyReceiver<'_>,
    ) -> Result<(), StreamBroken> {
        let running = self.calls.register(self.call);
        let progress = &running.progress;
        let body = request_body.take_body();
        let executor = self.executor;
        let outcome = match build_job(request_head, executor) {
            Ok(job) => {
                let execution = executor.execute(job, progress, move || body);
                let mut execution = pin!(execution);
                loop {
                    tokio::select! {
                        biased;
                        outcome = &mut execution => break outcome,
                        () = progress.admitted.notified() => self.send_admitted(request_body)?,
                        received = request_body.pump() => received?,
                        () = self.outbound.wait_for_reset() => return Err(StreamBroken),
                    }
                }
            }
            Err(reason) => return self.send_refused(reason),
        };
        match outcome {
            Outcome::Answered(response) => self.send_response(response, request_body).await,
            Outcome::NotRun(refused) => self.send_refused(refused.reason()),
            Outcome::Unknown(unknown) => self.send_failed(unknown.loss()),
        }
    }

    /// Reports the admission, unless the whole body is here: only an entry that still holds back a
    /// part of it needs the message.
    fn send_admitted(&mut self, request_body: &BodyReceiver<'_>) -> Result<(), StreamBroken> {
        if request_body.is_complete() {
            return Ok(());
        }
        let mut frames = Encoder::with_capacity(wire::HEADER_BYTES);
        frames.push_empty(kind::ADMITTED);
        self.outbound.flush(&mut frames, false)
    }

    /// Reports that the call did not run.
    fn send_refused(&mut self, reason: Reason) -> Result<(), StreamBroken> {
        let refused = Refused {
            call: self.call,
            reason: Some(reason),
            load: self.executor.load(),
            plan: self.executor.plan(),
        };
        let mut frames = Encoder::default();
        frames
            .push_message(kind::REFUSED, &refused)
            .map_err(|_| StreamBroken)?;
        self.outbound.flush(&mut frames, true)
    }

    /// Reports that the outcome of the call is unknown.
    fn send_failed(&mut self, loss: Loss) -> Result<(), StreamBroken> {
        let failed = Failed {
            call: self.call,
            loss: Some(loss),
            load: self.executor.load(),
        };
        let mut frames = Encoder::default();
        frames
            .push_message(kind::FAILED, &failed)
            .map_err(|_| StreamBroken)?;
        self.outbound.flush(&mut frames, true)
    }

    /// Sends the response while the rest of the request body is still received.
    async fn send_response(
        &mut self,
        response: Response<Body>,
        request_body: &mut BodyReceiver<'_>,
    ) -> Result<(), StreamBroken> {
        let (parts, body) = response.into_parts();
        let head = ResponseHead {
            call: self.call,
            status: parts.status,
            headers: parts.headers,
            load: self.executor.load(),
            plan: self.executor.plan(),
        };
        let mut frames = Encoder::with_capacity(RESPONSE_BUFFER_BYTES);
        if frames.push_message(kind::RESPONSE_HEAD, &head).is_err() {
            return self.send_failed(Loss::BackendServer);
        }
        let mut sending = pin!(send_body(&mut self.outbound, frames, body));
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return sent,
                received = request_body.pump() => received?,
            }
        }
    }
}

/// Sends the response head in `frames` and the body; a short body leaves together with the head.
async fn send_body(
    outbound: &mut Outbound,
    mut frames: Encoder,
    mut body: Body,
) -> Result<(), StreamBroken> {
    loop {
        match next_frame(outbound, &mut frames, &mut body).await? {
            None => {
                frames.push_empty(kind::END);
                return outbound.flush(&mut frames, true);
            }
            Some(Ok(frame)) => send_frame(outbound, &mut frames, frame).await?,
            Some(Err(_)) => {
                outbound.abort(h2::Reason::INTERNAL_ERROR);
                return Err(StreamBroken);
            }
        }
    }
}

/// Returns the next frame of the body. Flushes `frames` only if it is not available at once.
async fn next_frame(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    body: &mut Body,
) -> Result<Option<BodyItem>, StreamBroken> {
    if let Some(ready) = body.frame().now_or_never() {
        return Ok(ready);
    }
    if !frames.is_empty() {
        outbound.flush(frames, false)?;
    }
    tokio::select! {
        biased;
        frame = body.frame() => Ok(frame),
        () = outbound.wait_for_reset() => Err(StreamBroken),
    }
}

/// Sends a data frame, or adds trailers to `frames`.
async fn send_frame(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    frame: Frame<Bytes>,
) -> Result<(), StreamBroken> {
    let frame = match frame.into_data() {
        Ok(part) => return send_part(outbound, frames, part).await,
        Err(frame) => frame,
    };
    if let Ok(headers) = frame.into_trailers() {
        let trailers = Trailers { headers };
        frames
            .push_message(kind::TRAILERS, &trailers)
            .map_err(|_| StreamBroken)?;
    }
    Ok(())
}

/// Adds a short part to `frames`; sends a long one separately.
async fn send_part(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    part: Bytes,
) -> Result<(), StreamBroken> {
    if frames.is_empty() || part.len() > RESPONSE_BUFFER_BYTES {
        if !frames.is_empty() {
            outbound.flush(frames, false)?;
        }
        return outbound.send_body_part(part).await;
    }
    frames.push_body(&part);
    Ok(())
}

/// Converts a request head into a job for the executor. Time spans become local instants, since
/// clocks of nodes are not synchronised.
fn build_job(request_head: RequestHead, executor: &Executor) -> Result<Job, Reason> {
    if request_head.hops > MAX_HOPS {
        return Err(Reason::TooManyHops);
    }
    let path = PathAndQuery::try_from(request_head.path).map_err(|_| Reason::Malformed)?;
    let trace = Trace::from_headers(&request_head.headers, &executor.ids);
    Ok(Job {
        service: request_head.service,
        method: request_head.method,
        path,
        headers: request_head.headers,
        context: Context {
            hops: request_head.hops,
            time_left: Some(request_head.time_left),
            regions: (!request_head.regions.is_empty()).then_some(request_head.regions),
            tenant: (!request_head.tenant.is_empty()).then_some(request_head.tenant),
            api_key: KeyDigest::from_bytes(&request_head.api_key),
        },
        deadline: executor.clock.now() + request_head.time_left,
        objective: (request_head.objective_left > Duration::ZERO)
            .then(|| executor.clock.now() + request_head.objective_left),
        begin_by: (request_head.queue_timeout > Duration::ZERO)
            .then(|| executor.clock.now() + request_head.queue_timeout),
        plan: request_head.plan,
        trace,
    })
}
