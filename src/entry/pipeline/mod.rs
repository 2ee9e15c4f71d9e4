//! Pipelined requests of one HTTP/1.1 connection, served side by side.
//!
//! hyper serves a connection one request after the other. While a request is in progress, this
//! module reads ahead and starts the safe calls of the requests behind it (prefetch), as long as
//! all requests before them are safe too. hyper still reads, parses and answers every request in
//! its turn; a prefetched call only saves it the wait. See docs/design/pipelining.md.

mod io;
mod prefetch;
mod scanner;
#[cfg(test)]
mod tests;

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;

use bytes::BytesMut;
use displaydoc::Display;
use http::{Request, Response, Version};
use http_body::Body as HttpBody;
use hyper::body::Incoming;
use tokio::net::TcpStream;

use crate::call::Body;

use super::Entry;
use super::request_body::RequestBody;
use prefetch::Prefetches;
use scanner::Scanner;

pub(super) use io::Io;

/// Largest number of bytes read ahead of hyper on one connection.
const READ_AHEAD_BYTES: usize = 32 * 1024;

/// the caller has closed its connection, though bytes of it are left to read
#[derive(Debug)]
#[derive(Display)]
pub(super) struct CallerGone;

impl std::error::Error for CallerGone {}

/// State of one connection, shared by its socket and its service.
pub(super) struct Pipeline {
    entry: Arc<Entry>,
    inner: Mutex<Inner>,
}

struct Inner {
    socket: TcpStream,
    /// Bytes that hyper has not read yet.
    read_ahead: BytesMut,
    /// Whether the caller has closed the connection, or it broke.
    is_ended: bool,
    /// Whether hyper waits for bytes.
    is_reader_waiting: bool,
    scanner: Scanner,
    prefetches: Prefetches,
    /// Requests that hyper has passed to the service.
    started: u64,
    /// Requests whose response has been passed to hyper.
    answered: u64,
    /// Whether the end of the connection tells the caller that a response is complete.
    ends_response: bool,
}

impl Pipeline {
    pub(super) fn new(entry: Arc<Entry>, socket: TcpStream) -> Arc<Self> {
        let settings = entry.parts.settings;
        Arc::new(Self {
            entry,
            inner: Mutex::new(Inner {
                socket,
                read_ahead: BytesMut::new(),
                is_ended: false,
                is_reader_waiting: false,
                scanner: Scanner::new(settings.max_head_bytes),
                prefetches: Prefetches::new(settings.max_prefetched_calls),
                started: 0,
                answered: 0,
                ends_response: false,
            }),
        })
    }

    /// Whether calls were started ahead whose turn has not come.
    pub(super) fn has_prefetched(&self) -> bool {
        !self.lock().prefetches.is_empty()
    }

    /// Whether the node stops.
    pub(super) fn is_stopping(&self) -> bool {
        self.entry.parts.stopping.is_cancelled()
    }

    /// Answers one request, with the call that was started ahead if there is one.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, CallerGone> {
        let (head, body) = request.into_parts();
        let version = head.version;
        let is_http2 = version >= Version::HTTP_2;
        let is_bodiless = body.is_end_stream();
        let body = RequestBody::new(body, &head.headers);
        if is_http2 {
            return Ok(self.entry.handle(head, body).await);
        }
        let prefetched = self.start(&head);
        let work = async {
            if let Some(prefetched) = prefetched
                && let Some(response) = prefetched.response().await
            {
                return response;
            }
            self.entry.handle(head, body).await
        };
        let response = if is_bodiless {
            self.read_ahead_while(work).await
        } else {
            Ok(work.await)
        };
        let mut inner = self.lock();
        inner.answered += 1;
        if let Ok(response) = &response {
            let is_framed =
                version >= Version::HTTP_11 || response.body().size_hint().exact().is_some();
            inner.ends_response |= !is_framed;
        }
        drop(inner);
        response
    }

    /// Prepares a connection that failed for its end. A caller of HTTP/1.0 would take an orderly
    /// one for the end of its response, so the connection is reset.
    pub(super) fn on_failure(&self) {
        let inner = self.lock();
        if inner.ends_response {
            // Without it the connection ends all the same.
            let _ = inner.socket.set_zero_linger();
        }
    }

    /// Counts a request that hyper has read, and takes its prefetched call.
    fn start(&self, head: &http::request::Parts) -> Option<prefetch::Prefetched> {
        let mut inner = self.lock();
        let index = inner.started;
        inner.started += 1;
        inner.prefetches.set_in_turn(&self.entry, index, head);
        inner.prefetches.take(index, head)
    }

    /// Reads ahead until `work` is done.
    async fn read_ahead_while<T>(&self, work: impl Future<Output = T>) -> Result<T, CallerGone> {
        let mut work = pin!(work);
        poll_fn(|context| {
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(Ok(done));
            }
            let mut inner = self.lock();
            inner.poll_read_ahead(context, &self.entry);
            if inner.is_ended && !inner.is_reader_waiting {
                // hyper looks for the end of the stream only if it has nothing left to read.
                return Poll::Ready(Err(CallerGone));
            }
            Poll::Pending
        })
        .await
    }

    /// A panic elsewhere leaves the state valid.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
