//! Frames from one stream.

use std::task::{Context, Poll};

use h2::RecvStream;

use super::wire::{Decoder, Raw};

/// Why no frame comes any more.
#[derive(Debug)]
pub(super) enum Ended {
    /// The other side closed the stream in order.
    Closed,
    /// The stream or its link broke.
    Broken(Option<h2::Reason>),
    /// What came is no frame.
    Malformed,
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
                Some(Err(error)) => return Poll::Ready(Err(Ended::Broken(error.reason()))),
                None if self.decoder.is_midway() => {
                    return Poll::Ready(Err(Ended::Broken(None)));
                }
                None => return Poll::Ready(Err(Ended::Closed)),
            }
        }
    }
}
