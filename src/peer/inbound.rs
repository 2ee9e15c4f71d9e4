//! Receiving side of one stream: decodes frames from HTTP/2 data.

use std::task::{Context, Poll};

use h2::RecvStream;

use super::wire::{Decoder, RawFrame};

/// Reason why a stream has no more frames.
#[derive(Debug)]
pub(super) enum End {
    /// The peer closed the stream in order.
    Closed,
    /// The peer did not process the stream, so that the call can be retried (RFC 9113, sections 6.8
    /// and 8.7).
    Unprocessed,
    /// The stream or its connection failed.
    Broken,
    /// The received bytes are not a valid frame.
    Malformed,
}

impl From<&h2::Error> for End {
    fn from(error: &h2::Error) -> Self {
        let stream_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
        // h2 reports a GOAWAY with NO_ERROR only to streams above its last stream id.
        let above_last_stream_id =
            error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
        if error.is_remote() && (stream_refused || above_last_stream_id) {
            Self::Unprocessed
        } else {
            Self::Broken
        }
    }
}

/// Reads frames and releases flow-control capacity as chunks are consumed.
pub(super) struct Inbound {
    stream: RecvStream,
    decoder: Decoder,
}

impl Inbound {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            decoder: Decoder::default(),
        }
    }

    /// Returns the next frame, or why there is none.
    pub(super) async fn next(&mut self) -> Result<RawFrame, End> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the next frame.
    pub(super) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Result<RawFrame, End>> {
        loop {
            match self.decoder.next_frame() {
                Ok(Some(raw)) => return Poll::Ready(Ok(raw)),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Err(End::Malformed)),
            }
            match std::task::ready!(self.stream.poll_data(context)) {
                Some(Ok(chunk)) => {
                    let _ = self.stream.flow_control().release_capacity(chunk.len());
                    self.decoder.push(chunk);
                }
                Some(Err(error)) => return Poll::Ready(Err(End::from(&error))),
                None if self.decoder.has_partial_frame() => {
                    return Poll::Ready(Err(End::Broken));
                }
                None => return Poll::Ready(Err(End::Closed)),
            }
        }
    }
}
