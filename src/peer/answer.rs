//! Body of an answer as it arrives at the entry.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::call::{BodyError, Event, Observer};

use super::inbound::{Ended, Inbound};
use super::links::{Active, Down};
use super::upload::Uploading;
use super::wire::{self, Raw, Trailers, kind};

/// The way up, once the head of the answer is here.
pub(super) enum Uplink {
    /// Nothing more goes up.
    Closed,
    /// The request body is still being sent.
    Sending(Uploading),
}

/// An answer's body. Ends without error only when the gate said that it is whole.
pub struct Answer {
    inbound: Option<Inbound>,
    uplink: Uplink,
    _active: Active,
    observer: Arc<dyn Observer>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer").finish_non_exhaustive()
    }
}

impl Answer {
    pub(super) fn new(down: Down, uplink: Uplink, observer: Arc<dyn Observer>) -> Self {
        let (inbound, active) = match down {
            Down::Reading(inbound, active) => (Some(inbound), active),
            Down::Waiting(_, active) => (None, active),
        };
        Self {
            inbound,
            _active: active,
            uplink,
            observer,
        }
    }

    /// Keeps the request body going. A failure of it shows in the answer, which
    /// may be whole without it.
    fn poll_uplink(&mut self, context: &mut Context<'_>) {
        if let Uplink::Sending(uploading) = &mut self.uplink
            && uploading.as_mut().poll(context).is_ready()
        {
            self.uplink = Uplink::Closed;
        }
    }

    fn take(&mut self, raw: Raw) -> Taken {
        match raw {
            Raw::Body(part) if part.is_empty() => Taken::Nothing,
            Raw::Body(part) => Taken::Frame(Frame::data(part)),
            Raw::Message(kind::TRAILERS, payload) => {
                match wire::read::<Trailers>(kind::TRAILERS, &payload) {
                    Ok(trailers) => Taken::Frame(Frame::trailers(trailers.headers)),
                    Err(_) => Taken::Cut(BodyError::Malformed),
                }
            }
            Raw::Message(kind::END, _) => Taken::End,
            Raw::Message(..) => {
                self.observer.event(Event::FrameDropped);
                Taken::Nothing
            }
        }
    }
}

enum Taken {
    Nothing,
    Frame(Frame<Bytes>),
    End,
    Cut(BodyError),
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.poll_uplink(context);
        loop {
            let Some(inbound) = &mut self.inbound else {
                return Poll::Ready(None);
            };
            let taken = match std::task::ready!(inbound.poll_next(context)) {
                Ok(raw) => self.take(raw),
                Err(Ended::Malformed) => Taken::Cut(BodyError::Malformed),
                Err(Ended::Closed | Ended::Unprocessed | Ended::Broken) => {
                    Taken::Cut(BodyError::Link)
                }
            };
            match taken {
                Taken::Nothing => {}
                Taken::Frame(frame) => return Poll::Ready(Some(Ok(frame))),
                Taken::End => {
                    self.inbound = None;
                    self.uplink = Uplink::Closed;
                    return Poll::Ready(None);
                }
                Taken::Cut(cut) => {
                    self.inbound = None;
                    return Poll::Ready(Some(Err(cut)));
                }
            }
        }
    }
}
