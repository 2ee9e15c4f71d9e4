//! Sending side of one stream: writes encoded frames as HTTP/2 data.

use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use http::Response;

use super::wire::Encoder;

/// Body parts up to this size are copied behind their frame header and sent in one piece.
const MAX_COPIED_BODY_BYTES: usize = 8 * 1024;

/// Error: the stream or its connection has failed.
#[derive(Debug)]
pub(super) struct StreamBroken;

/// Writes frames, body parts within the flow-control window of the stream.
pub(super) struct Outbound {
    state: State,
}

enum State {
    /// The HTTP/2 response headers are not sent yet; they leave with the first frames in one
    /// packet.
    HeadPending(SendResponse<Bytes>),
    Open(SendStream<Bytes>),
}

impl Outbound {
    /// Writer for a request.
    pub(super) fn new(stream: SendStream<Bytes>) -> Self {
        Self {
            state: State::Open(stream),
        }
    }

    /// Writer for a response.
    pub(super) fn for_response(respond: SendResponse<Bytes>) -> Self {
        Self {
            state: State::HeadPending(respond),
        }
    }

    /// Returns the open stream, after sending the response headers if needed.
    fn stream(&mut self) -> Result<&mut SendStream<Bytes>, StreamBroken> {
        if let State::HeadPending(respond) = &mut self.state {
            let head = respond.send_response(Response::new(()), false);
            self.state = State::Open(head.map_err(|_| StreamBroken)?);
        }
        match &mut self.state {
            State::Open(stream) => Ok(stream),
            State::HeadPending(_) => Err(StreamBroken),
        }
    }

    /// Queues bytes regardless of the flow-control window; only for data that is small and bounded
    /// per call.
    pub(super) fn send_ignoring_window(
        &mut self,
        bytes: Bytes,
        end: bool,
    ) -> Result<(), StreamBroken> {
        let sent = self.stream()?.send_data(bytes, end);
        sent.map_err(|_| StreamBroken)
    }

    /// Queues all frames collected in `frames`, regardless of the flow-control window.
    pub(super) fn flush(&mut self, frames: &mut Encoder, end: bool) -> Result<(), StreamBroken> {
        self.send_ignoring_window(frames.take(), end)
    }

    /// Writes a part of a body as the flow-control window of the peer allows.
    pub(super) async fn send_body_part(&mut self, mut part: Bytes) -> Result<(), StreamBroken> {
        let mut frames = Encoder::with_capacity(super::wire::HEADER_BYTES + MAX_COPIED_BODY_BYTES);
        if part.len() <= MAX_COPIED_BODY_BYTES {
            frames.push_body(&part);
            return self.send_within_window(frames.take()).await;
        }
        while !part.is_empty() {
            let piece = part.split_to(part.len().min(super::wire::MAX_BODY_BYTES));
            frames.push_body_header(piece.len());
            self.send_within_window(frames.take()).await?;
            self.send_within_window(piece).await?;
        }
        Ok(())
    }

    /// Writes bytes in pieces that fit the flow-control window.
    async fn send_within_window(&mut self, mut bytes: Bytes) -> Result<(), StreamBroken> {
        while !bytes.is_empty() {
            self.stream()?.reserve_capacity(bytes.len());
            let granted_bytes = self.wait_for_capacity().await?;
            let piece = bytes.split_to(granted_bytes.min(bytes.len()));
            self.send_ignoring_window(piece, false)?;
        }
        Ok(())
    }

    /// Waits until the window allows at least one byte; returns the capacity in bytes.
    async fn wait_for_capacity(&mut self) -> Result<usize, StreamBroken> {
        let stream = self.stream()?;
        loop {
            let available = stream.capacity();
            if available > 0 {
                return Ok(available);
            }
            let granted_bytes = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            match granted_bytes {
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return Err(StreamBroken),
            }
        }
    }

    /// Waits until the peer resets the stream.
    pub(super) async fn wait_for_reset(&mut self) {
        // An error means that the connection failed, which has the same effect on a call.
        let _ = std::future::poll_fn(|context| match &mut self.state {
            State::HeadPending(respond) => respond.poll_reset(context),
            State::Open(stream) => stream.poll_reset(context),
        })
        .await;
    }

    /// Resets the stream.
    pub(super) fn abort(&mut self, reason: h2::Reason) {
        match &mut self.state {
            State::HeadPending(respond) => respond.send_reset(reason),
            State::Open(stream) => stream.send_reset(reason),
        }
    }
}
