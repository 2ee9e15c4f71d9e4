//! Frames from one stream.

use std::task::{Context, Poll};

use h2::RecvStream;

use super::wire::{Decoder, Raw};

/// Why no frame comes any more.
#[derive(Debug)]
pub(super) enum Ended {
    /// The other side closed the stream in order.
    Closed,
    /// The other side never looked at the stream (RFC 9113, 6.8 and 8.7).
    Unprocessed,
    /// The stream or its link broke.
    Broken,
    /// What came is no frame.
    Malformed,
}

impl From<&h2::Error> for Ended {
    fn from(error: &h2::Error) -> Self {
        let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
        // h2 reports an orderly GOAWAY only to streams above its last id.
        let passed_over = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
        if error.is_remote() && (refused || passed_over) {
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

    pub(super) async fn next(&mut self) -> Result<Raw, Ended> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    pub(super) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Result<Raw, Ended>> {
        loop {
            match self.decoder.pull() {
                Ok(Some(raw)) => return Poll::Ready(Ok(raw)),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Err(Ended::Malformed)),
            }
            match std::task::ready!(self.stream.poll_data(context)) {
                Some(Ok(chunk)) => {
                    let _ = self.stream.flow_control().release_capacity(chunk.len());
                    self.decoder.push(chunk);
                }
                Some(Err(error)) => return Poll::Ready(Err(Ended::from(&error))),
                None if self.decoder.is_midway() => {
                    return Poll::Ready(Err(Ended::Broken));
                }
                None => return Poll::Ready(Err(Ended::Closed)),
            }
        }
    }
}
