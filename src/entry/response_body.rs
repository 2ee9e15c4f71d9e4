//! Response body on its way to the caller.
//!
//! Wraps the body of an attempt, enforces the deadline while the body is streamed, and reports to
//! the router how the attempt ended: with its duration and size, as failed or as abandoned.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

use crate::call::{Body, BodyError, Event, Observer};
use crate::clock::{Clock, Time};
use crate::routing::{self, Router, key};

/// Streams a body until the deadline and reports its end to the router exactly once.
pub(super) struct TrackedBody {
    body: Body,
    deadline: Pin<Box<Sleep>>,
    router: Arc<Mutex<Router>>,
    observer: Arc<dyn Observer>,
    clock: Clock,
    backend: key::Backend,
    started_at: Time,
    bytes: u64,
    is_finished: bool,
}

impl TrackedBody {
    pub(super) fn new(
        body: Body,
        router: Arc<Mutex<Router>>,
        observer: Arc<dyn Observer>,
        clock: Clock,
        backend: key::Backend,
        deadline: Time,
    ) -> Self {
        let started_at = clock.now();
        let mut tracked = Self {
            body,
            deadline: Box::pin(sleep(deadline.since(started_at))),
            router,
            observer,
            clock,
            backend,
            started_at,
            bytes: 0,
            is_finished: false,
        };
        if tracked.body.is_end_stream() {
            tracked.on_complete();
        }
        tracked
    }

    fn on_complete(&mut self) {
        let elapsed = self.clock.now().since(self.started_at);
        let bytes = self.bytes;
        self.finish(&routing::Event::Answered { elapsed, bytes });
    }

    fn on_error(&mut self) {
        self.observer.event(Event::ResponseCut);
        self.finish(&routing::Event::Failed);
    }

    fn finish(&mut self, event: &routing::Event) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.clock.now();
        let router = self.router.lock();
        let mut router = router.unwrap_or_else(PoisonError::into_inner);
        router.observe(now, self.backend, event);
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                std::task::ready!(self.deadline.as_mut().poll(context));
                Some(Err(BodyError::Deadline))
            }
        };
        match &frame {
            Some(Ok(frame)) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                if self.body.is_end_stream() {
                    self.on_complete();
                }
            }
            Some(Err(_)) => self.on_error(),
            None => self.on_complete(),
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

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if !self.is_finished {
            self.observer.event(Event::Cancelled);
            self.finish(&routing::Event::Cancelled);
        }
    }
}
