//! Entry side of a call: sends a request to a gate and waits for its response head or refusal.
//!
//! [`Links::send_call`] opens a stream, uploads the request body while it waits, recalls the call
//! if it is still queued after a delay, and reports one of three outcomes: answered, certainly
//! not run (safe to retry), or unknown.

use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::time::{Instant, sleep_until, timeout};

use crate::call::{BodyError, Event, Loss, NotRun, Reason, UnknownOutcome};
use crate::gate::LoadReport;
use crate::plan::Version;

use super::inbound::End;
use super::links::{Links, ResponseFrames, Stream};
use super::outbound::Outbound;
use super::response_body::{RemainingUpload, ResponseBody};
use super::upload::{Upload, UploadControl, UploadFuture};
use super::wire::{
    self, Encoder, Failed, RawFrame, Recall, Refused, RequestHead, ResponseHead, kind,
};

/// How long after the deadline the entry still waits for the gate's own reply.
const GATE_REPLY_GRACE: Duration = Duration::from_millis(50);

/// Initial capacity of the buffer for a request head.
const REQUEST_HEAD_CAPACITY_BYTES: usize = 1024;

/// Timeouts of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimeouts {
    /// Time after which a queued call is recalled; `None` to leave it queued.
    pub recall_after: Option<Duration>,
    /// Time until the deadline of the call.
    pub time_left: Duration,
}

/// Result of one attempt.
pub enum AttemptOutcome {
    /// The backend server responded.
    Answered {
        /// Response head.
        head: Box<ResponseHead>,
        /// Response body, which may still be arriving.
        body: ResponseBody,
    },
    /// The call certainly did not run.
    NotRun {
        /// Reason of the refusal.
        not_run: NotRun,
        /// Load of the backend server, if the gate reported it.
        load: Option<LoadReport>,
        /// Plan version of the gate; zero if the gate sent no refusal.
        plan: Version,
        /// The request body, for another attempt.
        upload: Upload,
    },
    /// The call may have run.
    Unknown {
        /// Why the outcome is unknown.
        unknown: UnknownOutcome,
        /// Load of the backend server, if the gate reported it.
        load: Option<LoadReport>,
        /// The request body, for another attempt if the call is idempotent.
        upload: Upload,
    },
}

impl fmt::Debug for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Answered { .. } => "Answered",
            Self::NotRun { .. } => "NotRun",
            Self::Unknown { .. } => "Unknown",
        };
        f.write_str(name)
    }
}

impl Links {
    /// Sends a call to the gate at `address` and waits for its response head.
    ///
    /// Dropping the future or the response body cancels the call.
    pub async fn send_call(
        &self,
        address: SocketAddr,
        request_head: &RequestHead,
        upload: Upload,
        timeouts: AttemptTimeouts,
    ) -> AttemptOutcome {
        let mut frames =
            Encoder::with_capacity(REQUEST_HEAD_CAPACITY_BYTES + upload.buffered_bytes());
        if frames
            .push_message(kind::REQUEST_HEAD, request_head)
            .is_err()
        {
            return not_run(Reason::Malformed, upload);
        }
        upload.push_buffered(&mut frames);
        // Whether these frames are the last of the request.
        let end = upload.is_fully_buffered();
        let opening = self.open(address, frames.take(), end);
        let stream = match timeout(timeouts.time_left, opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return not_run(Reason::Unreachable, upload),
            Err(_) => return not_run(Reason::Deadline, upload),
        };
        let Stream {
            request_frames,
            response_frames,
        } = stream;
        let upload_state = UploadState::new(upload, request_frames);
        Exchange {
            call: request_head.call,
            links: self,
            address,
            response_frames,
            upload_state,
            recall_stream: None,
        }
        .run(timeouts)
        .await
    }
}

impl Links {
    /// Asks the gate to withdraw a call if it is still queued. Whether it was withdrawn shows in
    /// the gate's reply on the stream of the call itself.
    async fn recall(&self, address: SocketAddr, call: u64) -> Option<Stream> {
        let mut frames = Encoder::default();
        frames.push_message(kind::RECALL, &Recall { call }).ok()?;
        // An error is ignored here: a broken link also fails the stream of the call.
        self.open(address, frames.take(), true).await.ok()
    }
}

/// Outcome of a call that did not run and for which the gate sent no refusal.
///
/// The entry determines `reason` itself, although the constructor is named `reported_by_gate`.
fn not_run(reason: Reason, upload: Upload) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        not_run: NotRun::reported_by_gate(reason),
        load: None,
        plan: Version::default(),
        upload,
    }
}

/// State of the upload until the response head arrives.
enum UploadState {
    /// Nothing is being sent: the whole body is buffered, or sending it has ended or failed.
    Buffered(Upload),
    /// The body is being sent by `upload_future`.
    Sending {
        upload_future: UploadFuture,
        upload_control: Arc<UploadControl>,
    },
}

impl UploadState {
    fn new(upload: Upload, outbound: Outbound) -> Self {
        if upload.is_fully_buffered() {
            return Self::Buffered(upload);
        }
        let upload_control = Arc::new(UploadControl::default());
        Self::Sending {
            upload_future: upload.send(outbound, Arc::clone(&upload_control)).boxed(),
            upload_control,
        }
    }

    /// Lets the upload read beyond its replay buffer. If the body is longer than the buffer, it
    /// is not replayable afterwards.
    fn on_admitted(&self) {
        if let Self::Sending { upload_control, .. } = self {
            upload_control.admitted.notify_one();
        }
    }

    /// Drives the upload; returns only when it fails.
    async fn upload_failure(&mut self) -> BodyError {
        let Self::Sending { upload_future, .. } = self else {
            return std::future::pending().await;
        };
        let finished = upload_future.await;
        *self = Self::Buffered(finished.upload);
        match finished.result {
            Ok(()) => std::future::pending().await,
            Err(error) => error,
        }
    }

    /// Stops the upload and returns the request body.
    async fn reclaim(self) -> Upload {
        match self {
            Self::Buffered(upload) => upload,
            Self::Sending {
                upload_future,
                upload_control,
            } => {
                upload_control.stop.notify_one();
                upload_future.await.upload
            }
        }
    }

    fn into_remaining_upload(self) -> RemainingUpload {
        match self {
            Self::Buffered(..) => RemainingUpload::Closed,
            Self::Sending { upload_future, .. } => RemainingUpload::Sending(upload_future),
        }
    }
}

/// A call that was sent to a gate and has no reply yet.
struct Exchange<'a> {
    call: u64,
    links: &'a Links,
    address: SocketAddr,
    response_frames: ResponseFrames,
    upload_state: UploadState,
    /// Kept open because dropping the stream could cancel the recall.
    recall_stream: Option<Stream>,
}

/// How the wait for the gate's reply ended.
enum GateReply {
    Head(Box<ResponseHead>),
    Refused(Refused),
    /// The stream ended before the gate processed the call, so the call did not run.
    Unprocessed,
    /// The outcome is unknown; the load is present if the gate reported it.
    Lost(Loss, Option<LoadReport>),
}

impl Exchange<'_> {
    async fn run(mut self, timeouts: AttemptTimeouts) -> AttemptOutcome {
        match self.wait_for_reply(timeouts).await {
            GateReply::Head(head) => AttemptOutcome::Answered {
                head,
                body: ResponseBody::new(
                    self.response_frames,
                    self.upload_state.into_remaining_upload(),
                    Arc::clone(self.links.observer()),
                ),
            },
            GateReply::Refused(refused) => AttemptOutcome::NotRun {
                // A refusal without a reason counts as overload.
                not_run: NotRun::reported_by_gate(refused.reason.unwrap_or(Reason::Overloaded)),
                load: Some(refused.load),
                plan: refused.plan,
                upload: self.upload_state.reclaim().await,
            },
            GateReply::Unprocessed => not_run(Reason::Draining, self.upload_state.reclaim().await),
            GateReply::Lost(loss, load) => AttemptOutcome::Unknown {
                unknown: UnknownOutcome::of(loss),
                load,
                upload: self.upload_state.reclaim().await,
            },
        }
    }

    /// Waits for the gate's reply, recalls the call after `recall_after`, and gives up
    /// [`GATE_REPLY_GRACE`] after the deadline.
    async fn wait_for_reply(&mut self, timeouts: AttemptTimeouts) -> GateReply {
        let started = Instant::now();
        let mut reply_deadline = pin!(sleep_until(started + timeouts.time_left + GATE_REPLY_GRACE));
        // Without a recall the timer is not polled (`may_recall` is false); any duration will do.
        let recall_after = timeouts.recall_after.unwrap_or(timeouts.time_left);
        let mut recall = pin!(sleep_until(started + recall_after));
        let mut may_recall = timeouts.recall_after.is_some();
        loop {
            tokio::select! {
                biased;
                received = self.response_frames.next() => {
                    if let Some(reply) = self.handle_received(received) {
                        return reply;
                    }
                }
                error = self.upload_state.upload_failure() => {
                    // After a link error the response stream decides the outcome.
                    if error != BodyError::Link {
                        return GateReply::Lost(Loss::Request, None);
                    }
                }
                () = &mut recall, if may_recall => {
                    may_recall = false;
                    self.recall_stream = self.links.recall(self.address, self.call).await;
                }
                () = &mut reply_deadline => return GateReply::Lost(Loss::Deadline, None),
            }
        }
    }

    /// Converts a received frame or the end of the stream to a reply; `None` to keep waiting.
    fn handle_received(&mut self, received: Result<RawFrame, End>) -> Option<GateReply> {
        match received {
            Ok(RawFrame::Message(kind, payload)) => self.handle_message(kind, &payload),
            Ok(RawFrame::Body(_)) => self.drop_frame(),
            Err(End::Unprocessed) => Some(GateReply::Unprocessed),
            Err(End::Malformed) => {
                self.links.observer().event(Event::LinkRejected);
                Some(GateReply::Lost(Loss::Link, None))
            }
            Err(End::Closed | End::Broken) => Some(GateReply::Lost(Loss::Link, None)),
        }
    }

    fn handle_message(&mut self, kind: u8, payload: &[u8]) -> Option<GateReply> {
        let reply = match kind {
            kind::ADMITTED => {
                self.upload_state.on_admitted();
                return None;
            }
            kind::RESPONSE_HEAD => wire::decode_message::<ResponseHead>(kind, payload)
                .map(|head| (head.call, GateReply::Head(Box::new(head)))),
            kind::REFUSED => wire::decode_message::<Refused>(kind, payload)
                .map(|refused| (refused.call, GateReply::Refused(refused))),
            kind::FAILED => wire::decode_message::<Failed>(kind, payload).map(|failed| {
                // A failure without a cause counts as a lost link.
                let loss = failed.loss.unwrap_or(Loss::Link);
                (failed.call, GateReply::Lost(loss, Some(failed.load)))
            }),
            _ => return self.drop_frame(),
        };
        match reply {
            Ok((call, reply)) if call == self.call => Some(reply),
            Ok(_) => self.drop_frame(),
            Err(_) => {
                self.links.observer().event(Event::LinkRejected);
                Some(GateReply::Lost(Loss::Link, None))
            }
        }
    }

    /// Counts a frame that is not expected here, for example from a later version, and ignores it.
    fn drop_frame(&self) -> Option<GateReply> {
        self.links.observer().event(Event::FrameDropped);
        None
    }
}
