//! Frames to one stream.

use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use http::Response;

use super::wire::Encoder;

/// Bodies up to this size are copied behind the frame header.
const COPY_BYTES: usize = 8 * 1024;

/// Stream or link has broken.
#[derive(Debug)]
pub(super) struct Broken;

/// Writes frames within the flow control of the stream.
pub(super) struct Outbound {
    way: Way,
}

enum Way {
    /// The head of the stream leaves with the first frames, in one packet.
    Unopened(SendResponse<Bytes>),
    Open(SendStream<Bytes>),
}

impl Outbound {
    /// The way up.
    pub(super) fn new(stream: SendStream<Bytes>) -> Self {
        Self {
            way: Way::Open(stream),
        }
    }

    /// The way down.
    pub(super) fn responding(respond: SendResponse<Bytes>) -> Self {
        Self {
            way: Way::Unopened(respond),
        }
    }

    fn stream(&mut self) -> Result<&mut SendStream<Bytes>, Broken> {
        if let Way::Unopened(respond) = &mut self.way {
            let head = respond.send_response(Response::new(()), false);
            self.way = Way::Open(head.map_err(|_| Broken)?);
        }
        match &mut self.way {
            Way::Open(stream) => Ok(stream),
            Way::Unopened(_) => Err(Broken),
        }
    }

    /// Queues bytes without regard to flow control; only for what is small and
    /// bounded per call.
    pub(super) fn send_now(&mut self, bytes: Bytes, end: bool) -> Result<(), Broken> {
        let sent = self.stream()?.send_data(bytes, end);
        sent.map_err(|_| Broken)
    }

    /// Queues what `frames` holds.
    pub(super) fn flush(&mut self, frames: &mut Encoder, end: bool) -> Result<(), Broken> {
        self.send_now(frames.take(), end)
    }

    /// Writes a part of a body as the other side makes room for it.
    pub(super) async fn body(&mut self, mut part: Bytes) -> Result<(), Broken> {
        let mut frames = Encoder::with_capacity(super::wire::HEADER_BYTES + COPY_BYTES);
        if part.len() <= COPY_BYTES {
            frames.body(&part);
            return self.within_window(frames.take()).await;
        }
        while !part.is_empty() {
            let piece = part.split_to(part.len().min(super::wire::MAX_BODY_BYTES));
            frames.body_header(piece.len());
            self.within_window(frames.take()).await?;
            self.within_window(piece).await?;
        }
        Ok(())
    }

    async fn within_window(&mut self, mut bytes: Bytes) -> Result<(), Broken> {
        while !bytes.is_empty() {
            self.stream()?.reserve_capacity(bytes.len());
            let granted = self.capacity().await?;
            let piece = bytes.split_to(granted.min(bytes.len()));
            self.send_now(piece, false)?;
        }
        Ok(())
    }

    async fn capacity(&mut self) -> Result<usize, Broken> {
        let stream = self.stream()?;
        loop {
            let available = stream.capacity();
            if available > 0 {
                return Ok(available);
            }
            let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            match granted {
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return Err(Broken),
            }
        }
    }

    /// Waits until the other side gives the stream up.
    pub(super) async fn reset(&mut self) {
        // An error means that the link is gone, which is the same to a call.
        let _ = std::future::poll_fn(|context| match &mut self.way {
            Way::Unopened(respond) => respond.poll_reset(context),
            Way::Open(stream) => stream.poll_reset(context),
        })
        .await;
    }

    /// Gives the stream up.
    pub(super) fn abort(&mut self, reason: h2::Reason) {
        match &mut self.way {
            Way::Unopened(respond) => respond.send_reset(reason),
            Way::Open(stream) => stream.send_reset(reason),
        }
    }
}
