//! Body of a request as the gate receives it.
//!
//! Frames are read ahead up to a limit and passed to the backend server as an HTTP body. A body
//! that has already arrived whole is passed as one buffer, any other through a bounded channel.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::FutureExt;
use http_body::{Body as HttpBody, Frame};
use http_body_util::{BodyExt, Empty, Full};
use tokio::sync::mpsc;

use crate::backend::Executor;
use crate::call::{Body, BodyError, Event};

use super::inbound::{End, Inbound};
use super::outbound::StreamBroken;
use super::wire::{self, RawFrame, Trailers, kind};

/// Read-ahead limit: bytes buffered before the backend server takes any.
const READ_AHEAD_BYTES: usize = 256 * 1024;

/// Capacity of the channel to the backend server, in body parts.
const CHANNEL_CAPACITY_PARTS: usize = 2;

/// One item of a body. A channel that closes without [`BodyStep::End`] means a cut body.
enum BodyStep {
    Frame(Frame<Bytes>),
    End,
}

/// Reads the frames that follow a request head.
pub(super) struct BodyReceiver<'a> {
    inbound: Inbound,
    executor: &'a Executor,
    sender: Option<mpsc::Sender<BodyStep>>,
    read_ahead: VecDeque<BodyStep>,
    read_ahead_bytes: usize,
    complete: bool,
    stream_closed: bool,
    body: Option<Body>,
}

impl<'a> BodyReceiver<'a> {
    /// Creates a receiver and reads the frames that have already arrived.
    pub(super) fn new(bodiless: bool, inbound: Inbound, executor: &'a Executor) -> Self {
        let mut receiver = Self {
            inbound,
            executor,
            sender: None,
            read_ahead: VecDeque::new(),
            read_ahead_bytes: 0,
            complete: bodiless,
            stream_closed: false,
            body: None,
        };
        receiver.read_available();
        receiver
    }

    /// Returns the body on the first call, an empty one afterwards.
    pub(super) fn take_body(&mut self) -> Body {
        self.body.take().unwrap_or_else(empty_body)
    }

    /// Whether the end of the body has arrived.
    pub(super) const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Reads frames and forwards them to the backend server. Runs until the stream fails or the
    /// entry resets it; it does not return on its own.
    pub(super) async fn pump(&mut self) -> Result<(), StreamBroken> {
        loop {
            let has_room = !self.stream_closed && self.read_ahead_bytes < READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                reserved = reserve_slot(self.sender.as_ref(), !self.read_ahead.is_empty()) => match reserved {
                    Some(permit) => self.forward(permit),
                    None => self.discard_body(),
                },
                received = self.inbound.next(), if has_room => self.handle_received(received)?,
            }
        }
    }

    /// Reads the frames that are available without waiting, then builds the body.
    fn read_available(&mut self) {
        while !self.complete && self.read_ahead_bytes < READ_AHEAD_BYTES {
            let Some(received) = self.inbound.next().now_or_never() else {
                break;
            };
            if self.handle_received(received).is_err() {
                break;
            }
        }
        self.body = Some(self.build_body());
    }

    /// Builds an empty, single-part or streaming body, depending on what has arrived.
    fn build_body(&mut self) -> Body {
        if self.complete && self.read_ahead.is_empty() {
            return empty_body();
        }
        if self.complete
            && let Some(single_part) = self.take_single_part()
        {
            return Full::new(single_part)
                .map_err(|never| match never {})
                .boxed_unsync();
        }
        let (sender, steps) = mpsc::channel(CHANNEL_CAPACITY_PARTS);
        self.sender = Some(sender);
        ChannelBody {
            steps,
            ended: false,
        }
        .boxed_unsync()
    }

    /// Takes the data of a body that consists of one part followed by its end.
    fn take_single_part(&mut self) -> Option<Bytes> {
        if self.read_ahead.len() != 2 {
            return None;
        }
        let BodyStep::Frame(frame) = self.read_ahead.front()? else {
            return None;
        };
        let part = frame.data_ref()?.clone();
        self.read_ahead.clear();
        Some(part)
    }

    /// Sends the next step to the backend server; closes the channel after the last one.
    fn forward(&mut self, permit: Permit) {
        let Some(step) = self.read_ahead.pop_front() else {
            return;
        };
        if let BodyStep::Frame(frame) = &step {
            self.read_ahead_bytes -= frame.data_ref().map_or(0, Bytes::len);
        }
        let last = matches!(step, BodyStep::End);
        permit.send(step);
        if last {
            self.sender = None;
        }
    }

    /// Discards the rest, as the backend server takes no more of the body.
    fn discard_body(&mut self) {
        self.sender = None;
        self.read_ahead.clear();
        self.read_ahead_bytes = 0;
    }

    /// Buffers a received frame. Unexpected frames are counted and dropped.
    fn handle_received(&mut self, received: Result<RawFrame, End>) -> Result<(), StreamBroken> {
        match received {
            Ok(RawFrame::Body(part)) if !self.complete => self.buffer_frame(Frame::data(part)),
            Ok(RawFrame::Message(kind::TRAILERS, payload)) if !self.complete => {
                let trailers = wire::decode_message::<Trailers>(kind::TRAILERS, &payload);
                let trailers = trailers.map_err(|_| self.reject_link())?;
                self.buffer_frame(Frame::trailers(trailers.headers));
            }
            Ok(RawFrame::Message(kind::END, _)) if !self.complete => {
                self.complete = true;
                self.read_ahead.push_back(BodyStep::End);
            }
            Ok(_) => self.executor.observer.event(Event::FrameDropped),
            Err(End::Closed) if self.complete => self.stream_closed = true,
            Err(End::Malformed) => return Err(self.reject_link()),
            Err(_) => return Err(StreamBroken),
        }
        Ok(())
    }

    /// Counts a protocol violation and returns the error that ends the stream.
    fn reject_link(&self) -> StreamBroken {
        self.executor.observer.event(Event::LinkRejected);
        StreamBroken
    }

    fn buffer_frame(&mut self, frame: Frame<Bytes>) {
        self.read_ahead_bytes += frame.data_ref().map_or(0, Bytes::len);
        self.read_ahead.push_back(BodyStep::Frame(frame));
    }
}

type Permit = mpsc::OwnedPermit<BodyStep>;

/// Waits for a free slot in the channel, forever if nothing is pending. Returns `None` if the
/// backend server has dropped the body.
async fn reserve_slot(
    sender: Option<&mpsc::Sender<BodyStep>>,
    has_pending: bool,
) -> Option<Permit> {
    match sender {
        Some(sender) if has_pending => sender.clone().reserve_owned().await.ok(),
        _ => std::future::pending().await,
    }
}

fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Body whose parts arrive through a channel.
struct ChannelBody {
    steps: mpsc::Receiver<BodyStep>,
    ended: bool,
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let step = std::task::ready!(self.steps.poll_recv(context));
        Poll::Ready(match step {
            Some(BodyStep::Frame(frame)) => Some(Ok(frame)),
            Some(BodyStep::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(BodyError::Link))
            }
        })
    }
}
