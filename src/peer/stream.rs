//! The gate's side of one stream: frames in, a call to the executor, frames out.

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

use crate::backend::{Executor, Job, Outcome};
use crate::call::claim::{Digest, Question};
use crate::call::{Body, Context, Cut, Event, Loss, MAX_HOPS, Reason, Trace};

use super::calls::Calls;
use super::inbound::Inbound;
use super::outbound::{Broken, Outbound};
use super::receiver::Receiver;
use super::wire::{
    self, Claim, Claimed, Encoder, Failed, Head, Open, Raw, Recall, Refused, Trailers, kind,
};
use super::{Settings, bulletin, follow};

/// Room for the head of an answer and a short body.
const ANSWER_BYTES: usize = 4 * 1024;

type Part = Result<Frame<Bytes>, Cut>;

/// Serves one call.
pub(super) async fn serve(
    executor: Arc<Executor>,
    calls: Arc<Calls>,
    settings: Settings,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let mut inbound = Inbound::new(request.into_body());
    let opened = timeout(settings.open_timeout, first(&mut inbound)).await;
    let open = match opened {
        Ok(Some(First::Open(open))) => open,
        Ok(Some(First::Claim(claim))) => return answer_claim(&executor, &claim, respond),
        Ok(Some(First::Bulletin(bulletin))) => {
            return answer_bulletin(&executor, &bulletin, respond);
        }
        Ok(Some(First::Follow)) => {
            // An error means that the entry is gone.
            let _ = follow::tell(&executor, respond).await;
            return;
        }
        Ok(Some(First::Recall(recall))) => {
            calls.recall(recall.call);
            // The entry waits for the word on the call itself.
            let _ = respond.send_response(Response::new(()), true);
            return;
        }
        Ok(None) | Err(_) => {
            executor.observer.event(Event::LinkRejected);
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
            return;
        }
    };
    let call = open.call;
    let mut reply = Reply {
        call,
        executor: &executor,
        calls: &calls,
        outbound: Outbound::responding(respond),
    };
    let mut upload = Receiver::new(open.bodiless, inbound, &executor);
    // An error means that the entry is gone; dropping the call cancels it.
    let _ = reply.run(*open, &mut upload).await;
}

/// What a stream may begin with.
enum First {
    Open(Box<Open>),
    Claim(Claim),
    Recall(Recall),
    Bulletin(wire::Bulletin),
    Follow,
}

async fn first(inbound: &mut Inbound) -> Option<First> {
    let Ok(Raw::Message(kind, payload)) = inbound.next().await else {
        return None;
    };
    match kind {
        kind::OPEN => wire::read(kind, &payload).ok().map(First::Open),
        kind::CLAIM => wire::read(kind, &payload).ok().map(First::Claim),
        kind::RECALL => wire::read(kind, &payload).ok().map(First::Recall),
        kind::FOLLOW => Some(First::Follow),
        kind::BULLETIN => wire::read(kind, &payload).ok().map(First::Bulletin),
        _ => None,
    }
}

fn answer_claim(executor: &Executor, claim: &Claim, respond: SendResponse<Bytes>) {
    let question = Question {
        digest: Digest(u128::from(claim.digest_high) << 64 | u128::from(claim.digest_low)),
        call: claim.call,
        regions: &claim.regions,
        intent: claim.intent,
        keep: claim.keep,
    };
    let claimed = Claimed {
        call: claim.call,
        verdict: executor.answer_claim(&question),
    };
    let mut frames = Encoder::default();
    let sent = frames.message(kind::CLAIMED, &claimed);
    // An entry that hears nothing refuses the call as unknown.
    if sent.is_ok() {
        let _ = Outbound::responding(respond).flush(&mut frames, true);
    }
}

fn answer_bulletin(executor: &Executor, bulletin: &wire::Bulletin, respond: SendResponse<Bytes>) {
    let Some(theirs) = bulletin::read(bulletin) else {
        executor.observer.event(Event::LinkRejected);
        return;
    };
    let own = executor.snapshot_source.exchange_plan_records(theirs);
    let mut frames = Encoder::default();
    let sent = frames.message(kind::BULLETIN, &bulletin::write(&own));
    // A node that hears nothing asks another one.
    if sent.is_ok() {
        let _ = Outbound::responding(respond).flush(&mut frames, true);
    }
}

/// Sends what becomes of the call.
struct Reply<'a> {
    call: u64,
    executor: &'a Executor,
    calls: &'a Calls,
    outbound: Outbound,
}

impl Reply<'_> {
    async fn run(&mut self, open: Open, upload: &mut Receiver<'_>) -> Result<(), Broken> {
        let running = self.calls.enter(self.call);
        let progress = &running.progress;
        let body = upload.body();
        let executor = self.executor;
        let outcome = match job(open, executor) {
            Ok(job) => {
                let executing = executor.execute(job, progress, move || body);
                let mut executing = pin!(executing);
                loop {
                    tokio::select! {
                        biased;
                        outcome = &mut executing => break outcome,
                        () = progress.admitted.notified() => self.admitted(upload)?,
                        received = upload.pump() => received?,
                        () = self.outbound.reset() => return Err(Broken),
                    }
                }
            }
            Err(reason) => return self.refused(reason),
        };
        match outcome {
            Outcome::Answered(response) => self.answer(response, upload).await,
            Outcome::NotRun(refused) => self.refused(refused.reason()),
            Outcome::Unknown(unknown) => self.failed(unknown.loss()),
        }
    }

    /// Only an entry that still holds back a part of the body needs to know.
    fn admitted(&mut self, upload: &Receiver<'_>) -> Result<(), Broken> {
        if upload.is_whole() {
            return Ok(());
        }
        let mut frames = Encoder::with_capacity(wire::HEADER_BYTES);
        frames.bare(kind::ADMITTED);
        self.outbound.flush(&mut frames, false)
    }

    fn refused(&mut self, reason: Reason) -> Result<(), Broken> {
        let refused = Refused {
            call: self.call,
            reason: Some(reason),
            load: self.executor.load(),
            plan: self.executor.plan(),
        };
        let mut frames = Encoder::default();
        frames
            .message(kind::REFUSED, &refused)
            .map_err(|_| Broken)?;
        self.outbound.flush(&mut frames, true)
    }

    fn failed(&mut self, loss: Loss) -> Result<(), Broken> {
        let failed = Failed {
            call: self.call,
            loss: Some(loss),
            load: self.executor.load(),
        };
        let mut frames = Encoder::default();
        frames.message(kind::FAILED, &failed).map_err(|_| Broken)?;
        self.outbound.flush(&mut frames, true)
    }

    async fn answer(
        &mut self,
        response: Response<Body>,
        upload: &mut Receiver<'_>,
    ) -> Result<(), Broken> {
        let (parts, body) = response.into_parts();
        let head = Head {
            call: self.call,
            status: parts.status,
            headers: parts.headers,
            load: self.executor.load(),
            plan: self.executor.plan(),
        };
        let mut frames = Encoder::with_capacity(ANSWER_BYTES);
        if frames.message(kind::HEAD, &head).is_err() {
            return self.failed(Loss::BackendServer);
        }
        let mut sending = pin!(send_body(&mut self.outbound, frames, body));
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return sent,
                received = upload.pump() => received?,
            }
        }
    }
}

/// Sends the head in `frames` and the body, together while both are short.
async fn send_body(
    outbound: &mut Outbound,
    mut frames: Encoder,
    mut body: Body,
) -> Result<(), Broken> {
    loop {
        match next_frame(outbound, &mut frames, &mut body).await? {
            None => {
                frames.bare(kind::END);
                return outbound.flush(&mut frames, true);
            }
            Some(Ok(frame)) => send_frame(outbound, &mut frames, frame).await?,
            Some(Err(_)) => {
                outbound.abort(h2::Reason::INTERNAL_ERROR);
                return Err(Broken);
            }
        }
    }
}

/// Flushes `frames` only when the body makes them wait.
async fn next_frame(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    body: &mut Body,
) -> Result<Option<Part>, Broken> {
    if let Some(ready) = body.frame().now_or_never() {
        return Ok(ready);
    }
    if !frames.is_empty() {
        outbound.flush(frames, false)?;
    }
    tokio::select! {
        biased;
        frame = body.frame() => Ok(frame),
        () = outbound.reset() => Err(Broken),
    }
}

async fn send_frame(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    frame: Frame<Bytes>,
) -> Result<(), Broken> {
    let frame = match frame.into_data() {
        Ok(part) => return send_part(outbound, frames, part).await,
        Err(frame) => frame,
    };
    if let Ok(headers) = frame.into_trailers() {
        let trailers = Trailers { headers };
        frames
            .message(kind::TRAILERS, &trailers)
            .map_err(|_| Broken)?;
    }
    Ok(())
}

async fn send_part(
    outbound: &mut Outbound,
    frames: &mut Encoder,
    part: Bytes,
) -> Result<(), Broken> {
    if frames.is_empty() || part.len() > ANSWER_BYTES {
        if !frames.is_empty() {
            outbound.flush(frames, false)?;
        }
        return outbound.body(part).await;
    }
    frames.body(&part);
    Ok(())
}

fn job(open: Open, executor: &Executor) -> Result<Job, Reason> {
    if open.hops > MAX_HOPS {
        return Err(Reason::TooManyHops);
    }
    let path = PathAndQuery::try_from(open.path).map_err(|_| Reason::Malformed)?;
    let trace = Trace::receive(&open.headers, &executor.ids);
    Ok(Job {
        service: open.service,
        method: open.method,
        path,
        headers: open.headers,
        context: Context {
            hops: open.hops,
            time_left: Some(open.time_left),
            regions: (!open.regions.is_empty()).then_some(open.regions),
            tenant: (!open.tenant.is_empty()).then_some(open.tenant),
        },
        deadline: executor.clock.now() + open.time_left,
        objective: (open.objective_left > Duration::ZERO)
            .then(|| executor.clock.now() + open.objective_left),
        begin_by: (open.patience > Duration::ZERO).then(|| executor.clock.now() + open.patience),
        plan: open.plan,
        trace,
    })
}
