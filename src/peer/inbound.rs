//! Frames from one stream.

use std::task::{Context, Poll};

use h2::RecvStream;

use super::wire::{Decoder, RawFrame};

/// Why no frame comes any more.
#[derive(Debug)]
pub(super) enum End {
    /// The other side closed the stream in order.
    Closed,
    /// The other side never looked at the stream (RFC 9113, 6.8 and 8.7).
    Unprocessed,
    /// The stream or its link broke.
    Broken,
    /// What came is no frame.
    Malformed,
}

impl From<&h2::Error> for End {
    fn from(error: &h2::Error) -> Self {
        let stream_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
        // h2 reports an orderly GOAWAY only to streams above its last id.
        let above_last_stream_id =
            error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
        if error.is_remote() && (stream_refused || above_last_stream_id) {
            Self::Unprocessed
        } else {
            Self::Broken
        }
    }
}

/// Reads frames and returns flow control as they are taken.
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

    pub(super) async fn next(&mut self) -> Result<RawFrame, End> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

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
