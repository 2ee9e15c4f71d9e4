//! Body of a response as the entry receives it.
//!
//! Reads frames from the stream of a call and yields them as an HTTP body. While the body is
//! polled, the rest of the request body continues to be uploaded.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::call::{BodyError, Event, Observer};

use super::inbound::{End, Inbound};
use super::links::{CallGuard, ResponseFrames};
use super::upload::UploadFuture;
use super::wire::{self, RawFrame, Trailers, kind};

/// Upload of the request body after the response head has arrived.
pub(super) enum RemainingUpload {
    /// Nothing is left to send.
    Closed,
    /// The request body is still being sent.
    Sending(UploadFuture),
}

/// Response body. Ends without error only after the gate's [`kind::END`] frame, so that a cut body
/// is never taken for a complete one.
pub struct ResponseBody {
    inbound: Option<Inbound>,
    remaining_upload: RemainingUpload,
    _call_guard: CallGuard,
    observer: Arc<dyn Observer>,
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer").finish_non_exhaustive()
    }
}

impl ResponseBody {
    pub(super) fn new(
        response_frames: ResponseFrames,
        remaining_upload: RemainingUpload,
        observer: Arc<dyn Observer>,
    ) -> Self {
        let (inbound, call_guard) = match response_frames {
            ResponseFrames::Reading(inbound, call_guard) => (Some(inbound), call_guard),
            ResponseFrames::Waiting(_, call_guard) => (None, call_guard),
        };
        Self {
            inbound,
            _call_guard: call_guard,
            remaining_upload,
            observer,
        }
    }

    /// Continues the upload. Its result is ignored: the response may be complete without the rest
    /// of the request body, and otherwise the failure shows in the response.
    fn poll_upload(&mut self, context: &mut Context<'_>) {
        if let RemainingUpload::Sending(uploading) = &mut self.remaining_upload
            && uploading.as_mut().poll(context).is_ready()
        {
            self.remaining_upload = RemainingUpload::Closed;
        }
    }

    /// Converts a frame from the gate; frames that do not belong to a body are counted and skipped.
    fn interpret(&mut self, raw: RawFrame) -> BodyEvent {
        match raw {
            RawFrame::Body(part) if part.is_empty() => BodyEvent::Skip,
            RawFrame::Body(part) => BodyEvent::Frame(Frame::data(part)),
            RawFrame::Message(kind::TRAILERS, payload) => {
                match wire::decode_message::<Trailers>(kind::TRAILERS, &payload) {
                    Ok(trailers) => BodyEvent::Frame(Frame::trailers(trailers.headers)),
                    Err(_) => BodyEvent::Cut(BodyError::Malformed),
                }
            }
            RawFrame::Message(kind::END, _) => BodyEvent::End,
            RawFrame::Message(..) => {
                self.observer.event(Event::FrameDropped);
                BodyEvent::Skip
            }
        }
    }
}

/// Effect of one received frame on the body.
enum BodyEvent {
    Skip,
    Frame(Frame<Bytes>),
    End,
    Cut(BodyError),
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.poll_upload(context);
        loop {
            let Some(inbound) = &mut self.inbound else {
                return Poll::Ready(None);
            };
            let event = match std::task::ready!(inbound.poll_next(context)) {
                Ok(raw) => self.interpret(raw),
                Err(End::Malformed) => BodyEvent::Cut(BodyError::Malformed),
                Err(End::Closed | End::Unprocessed | End::Broken) => {
                    BodyEvent::Cut(BodyError::Link)
                }
            };
            match event {
                BodyEvent::Skip => {}
                BodyEvent::Frame(frame) => return Poll::Ready(Some(Ok(frame))),
                BodyEvent::End => {
                    self.inbound = None;
                    self.remaining_upload = RemainingUpload::Closed;
                    return Poll::Ready(None);
                }
                BodyEvent::Cut(cut) => {
                    self.inbound = None;
                    return Poll::Ready(Some(Err(cut)));
                }
            }
        }
    }
}
