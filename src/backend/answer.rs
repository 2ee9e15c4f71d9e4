//! Body of an answer that ends its call.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};

use crate::call::{Answered, Body, BodyError, Call};

/// Passes on a body and ends the call exactly once: whole, broken, or dropped.
pub(super) struct Tracked {
    body: Body,
    call: Option<Call<Answered>>,
}

impl Tracked {
    pub(super) fn new(body: Body, call: Call<Answered>) -> Self {
        let mut tracked = Self {
            body,
            call: Some(call),
        };
        if tracked.body.is_end_stream() {
            tracked.finish();
        }
        tracked
    }

    fn finish(&mut self) {
        if let Some(call) = self.call.take() {
            call.finish();
        }
    }

    fn cut(&mut self) {
        if let Some(call) = self.call.take() {
            call.fail();
        }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Err(_)) => self.cut(),
            None => self.finish(),
            Some(Ok(_)) if self.body.is_end_stream() => self.finish(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
