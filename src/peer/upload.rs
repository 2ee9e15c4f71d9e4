//! Request body at the entry, with a bounded replay buffer.
//!
//! The first part of the body is buffered, so that a call that did not run can be sent to another
//! gate. More than the buffer is read only after a gate has admitted the call.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, stream};
use http::HeaderMap;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::Notify;

use crate::call::{Body, BodyError};

use super::outbound::Outbound;
use super::wire::{Encoder, Trailers, kind};

/// Size of the replay buffer, in bytes.
///
/// Before admission no further frame is read once this many bytes are buffered; the last frame may
/// exceed it. After admission the buffer is dropped once it holds more.
const MAX_REPLAY_BYTES: usize = 64 * 1024;

/// Request body that can be sent again as long as it fits the replay buffer.
pub struct Upload {
    source: Option<Body>,
    buffered: VecDeque<Bytes>,
    buffered_bytes: usize,
    trailers: Option<HeaderMap>,
    replayable: bool,
    awaits_continue: bool,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload")
            .field("kept_bytes", &self.buffered_bytes)
            .field("replayable", &self.replayable)
            .finish_non_exhaustive()
    }
}

/// Signals to the future that sends a request body.
#[derive(Debug, Default)]
pub(super) struct UploadControl {
    /// The gate has admitted the call.
    pub(super) admitted: Notify,
    /// The attempt is over.
    pub(super) stop: Notify,
}

/// Result of sending a request body, with the body for another attempt.
pub(super) struct FinishedUpload {
    pub(super) upload: Upload,
    pub(super) result: Result<(), BodyError>,
}

/// Future that sends a request body.
pub(super) type UploadFuture = BoxFuture<'static, FinishedUpload>;

impl Upload {
    /// Buffers the part of the body that has already arrived, unless the caller waits for
    /// `100 Continue` before sending it.
    #[must_use]
    pub fn new(body: Body, expects_continue: bool) -> Self {
        let mut upload = Self {
            source: (!body.is_end_stream()).then_some(body),
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            trailers: None,
            replayable: true,
            awaits_continue: expects_continue,
        };
        if !expects_continue {
            upload.read_available();
        }
        upload
    }

    /// Whether the request has no body.
    #[must_use]
    pub fn is_bodiless(&self) -> bool {
        self.is_fully_buffered() && self.buffered.is_empty() && self.trailers.is_none()
    }

    /// Whether the whole body has been read and buffered.
    #[must_use]
    pub const fn is_fully_buffered(&self) -> bool {
        self.source.is_none() && self.replayable
    }

    /// Returns a copy if the whole body is buffered.
    #[must_use]
    pub fn try_clone(&self) -> Option<Self> {
        self.is_fully_buffered().then(|| Self {
            source: None,
            buffered: self.buffered.clone(),
            buffered_bytes: self.buffered_bytes,
            trailers: self.trailers.clone(),
            replayable: true,
            awaits_continue: self.awaits_continue,
        })
    }

    /// Whether another attempt can send the body from the start.
    #[must_use]
    pub const fn is_replayable(&self) -> bool {
        self.replayable
    }

    /// Number of body bytes read so far, including bytes of a replay buffer that was dropped.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns the body from its start, for the local backend server.
    ///
    /// The body is complete only if it is replayable. A body that is not fully buffered can be taken
    /// only once and is not replayable afterwards, as the rest of it is not buffered here.
    pub fn take_body(&mut self) -> Body {
        if !self.is_fully_buffered() {
            self.replayable = false;
        }
        ReplayBody {
            buffered: self.buffered.clone(),
            source: self.source.take(),
            trailers: self.trailers.clone(),
        }
        .boxed_unsync()
    }

    /// Adds the buffered part to the first frames of an attempt.
    pub(super) fn push_buffered(&self, wire_frames: &mut Encoder) {
        for part in &self.buffered {
            wire_frames.push_body(part);
        }
        if self.is_fully_buffered() && !self.is_bodiless() {
            self.push_end(wire_frames);
        }
    }

    /// Sends the rest of the body. Before admission it reads only until the replay buffer is full.
    ///
    /// Ends early when `control.stop` is signalled, which is not an error: the attempt is over.
    pub(super) async fn send(
        mut self,
        mut outbound: Outbound,
        control: Arc<UploadControl>,
    ) -> FinishedUpload {
        let result = tokio::select! {
            biased;
            () = control.stop.notified() => Ok(()),
            result = self.send_rest(&mut outbound, &control) => result,
        };
        FinishedUpload {
            upload: self,
            result,
        }
    }

    async fn send_rest(
        &mut self,
        outbound: &mut Outbound,
        control: &UploadControl,
    ) -> Result<(), BodyError> {
        let mut admitted = false;
        while self.source.is_some() {
            // Before admission nothing is read while the caller waits for `100 Continue`, nor once
            // the replay buffer is full.
            let may_read =
                admitted || !(self.awaits_continue || self.buffered_bytes >= MAX_REPLAY_BYTES);
            tokio::select! {
                biased;
                () = control.admitted.notified(), if !admitted => {
                    admitted = true;
                    self.awaits_continue = false;
                }
                frame = next_frame(&mut self.source), if may_read => match frame {
                    Some(Ok(frame)) => self.send_frame(frame, admitted, outbound).await?,
                    Some(Err(error)) => {
                        outbound.abort(h2::Reason::CANCEL);
                        self.replayable = false;
                        return Err(error);
                    }
                    None => {
                        self.source = None;
                        let mut wire_frames = Encoder::default();
                        self.push_end(&mut wire_frames);
                        // `true` ends the request stream.
                        outbound.flush(&mut wire_frames, true).map_err(|_| BodyError::Link)?;
                    }
                },
            }
        }
        Ok(())
    }

    /// Buffers a frame and sends its data. Drops the replay buffer if the call is admitted and the
    /// buffer holds more than [`MAX_REPLAY_BYTES`].
    async fn send_frame(
        &mut self,
        frame: Frame<Bytes>,
        admitted: bool,
        outbound: &mut Outbound,
    ) -> Result<(), BodyError> {
        let part = frame.data_ref().cloned();
        self.buffer_frame(frame);
        if admitted && self.buffered_bytes > MAX_REPLAY_BYTES {
            self.replayable = false;
            self.buffered.clear();
        }
        match part {
            Some(part) => outbound
                .send_body_part(part)
                .await
                .map_err(|_| BodyError::Link),
            None => Ok(()),
        }
    }

    /// Adds the trailers, if any, and the end of the body.
    fn push_end(&self, wire_frames: &mut Encoder) {
        if let Some(headers) = self.trailers.clone() {
            // This cannot fail: the limits for trailers on the caller's connection are lower than
            // those for a frame.
            let _ = wire_frames.push_message(kind::TRAILERS, &Trailers { headers });
        }
        wire_frames.push_empty(kind::END);
    }

    /// Buffers the frames that are available without waiting. An error is kept for the next read.
    fn read_available(&mut self) {
        while self.buffered_bytes < MAX_REPLAY_BYTES {
            let Some(source) = &mut self.source else {
                return;
            };
            match source.frame().now_or_never() {
                Some(Some(Ok(frame))) => {
                    if source.is_end_stream() {
                        self.source = None;
                    }
                    self.buffer_frame(frame);
                }
                Some(None) => self.source = None,
                Some(Some(Err(error))) => {
                    self.source = Some(failed_body(error));
                    return;
                }
                None => return,
            }
        }
    }

    fn buffer_frame(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(part) => {
                self.buffered_bytes += part.len();
                self.buffered.push_back(part);
            }
            Err(frame) => self.trailers = frame.into_trailers().ok(),
        }
    }
}

/// Reads the next frame of the source; `None` at its end.
async fn next_frame(source: &mut Option<Body>) -> Option<Result<Frame<Bytes>, BodyError>> {
    match source {
        Some(source) => source.frame().await,
        None => None,
    }
}

/// Body that yields only an error.
fn failed_body(error: BodyError) -> Body {
    StreamBody::new(stream::iter([Err(error)])).boxed_unsync()
}

/// Body made of the buffered part and the rest of the source.
struct ReplayBody {
    buffered: VecDeque<Bytes>,
    source: Option<Body>,
    trailers: Option<HeaderMap>,
}

impl HttpBody for ReplayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(part) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if let Some(source) = &mut self.source {
            return Pin::new(source).poll_frame(context);
        }
        Poll::Ready(
            self.trailers
                .take()
                .map(|headers| Ok(Frame::trailers(headers))),
        )
    }

    fn is_end_stream(&self) -> bool {
        let source_ended = self.source.as_ref().is_none_or(HttpBody::is_end_stream);
        self.buffered.is_empty() && source_ended && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.iter().map(|part| part.len() as u64).sum();
        let Some(source) = &self.source else {
            return SizeHint::with_exact(buffered);
        };
        let mut hint = source.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + buffered);
        }
        hint.set_lower(hint.lower() + buffered);
        hint
    }
}
