//! Body of an answer as it arrives at the entry.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::call::{Cut, Event, Observer};

use super::inbound::{End, Inbound};
use super::links::{CallGuard, ResponseFrames};
use super::upload::UploadFuture;
use super::wire::{self, RawFrame, Trailers, kind};

/// The way up, once the head of the answer is here.
pub(super) enum RemainingUpload {
    /// Nothing more goes up.
    Closed,
    /// The request body is still being sent.
    Sending(UploadFuture),
}

/// An answer's body. Ends without error only when the gate said that it is whole.
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

    /// Keeps the request body going. A failure of it shows in the answer, which
    /// may be whole without it.
    fn poll_upload(&mut self, context: &mut Context<'_>) {
        if let RemainingUpload::Sending(uploading) = &mut self.remaining_upload
            && uploading.as_mut().poll(context).is_ready()
        {
            self.remaining_upload = RemainingUpload::Closed;
        }
    }

    fn interpret(&mut self, raw: RawFrame) -> BodyEvent {
        match raw {
            RawFrame::Body(part) if part.is_empty() => BodyEvent::Skip,
            RawFrame::Body(part) => BodyEvent::Frame(Frame::data(part)),
            RawFrame::Message(kind::TRAILERS, payload) => {
                match wire::decode_message::<Trailers>(kind::TRAILERS, &payload) {
                    Ok(trailers) => BodyEvent::Frame(Frame::trailers(trailers.headers)),
                    Err(_) => BodyEvent::Cut(Cut::Malformed),
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

enum BodyEvent {
    Skip,
    Frame(Frame<Bytes>),
    End,
    Cut(Cut),
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.poll_upload(context);
        loop {
            let Some(inbound) = &mut self.inbound else {
                return Poll::Ready(None);
            };
            let event = match std::task::ready!(inbound.poll_next(context)) {
                Ok(raw) => self.interpret(raw),
                Err(End::Malformed) => BodyEvent::Cut(Cut::Malformed),
                Err(End::Closed | End::Unprocessed | End::Broken) => BodyEvent::Cut(Cut::Link),
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
