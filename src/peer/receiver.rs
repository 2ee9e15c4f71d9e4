//! Body of a request as it arrives at the gate.

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

use super::inbound::{Ended, Inbound};
use super::outbound::Broken;
use super::wire::{self, Raw, Trailers, kind};

/// Bytes of a body that are read before the backend server takes any.
const AHEAD_BYTES: usize = 256 * 1024;

/// Parts that wait in the channel to the backend server.
const CHANNEL_PARTS: usize = 2;

/// One step of a body. A channel that closes without [`Step::End`] is a cut.
enum Step {
    Frame(Frame<Bytes>),
    End,
}

/// Reads the frames that follow the head of a request.
pub(super) struct Receiver<'a> {
    inbound: Inbound,
    executor: &'a Executor,
    sender: Option<mpsc::Sender<Step>>,
    ahead: VecDeque<Step>,
    ahead_bytes: usize,
    whole: bool,
    closed: bool,
    body: Option<Body>,
}

impl<'a> Receiver<'a> {
    /// Takes in what has already arrived.
    pub(super) fn new(bodiless: bool, inbound: Inbound, executor: &'a Executor) -> Self {
        let mut receiver = Self {
            inbound,
            executor,
            sender: None,
            ahead: VecDeque::new(),
            ahead_bytes: 0,
            whole: bodiless,
            closed: false,
            body: None,
        };
        receiver.gather();
        receiver
    }

    /// The body, once.
    pub(super) fn body(&mut self) -> Body {
        self.body.take().unwrap_or_else(empty)
    }

    /// Whether the body has arrived to its end.
    pub(super) const fn is_whole(&self) -> bool {
        self.whole
    }

    /// Reads on until the entry gives up the stream.
    pub(super) async fn pump(&mut self) -> Result<(), Broken> {
        loop {
            let room = !self.closed && self.ahead_bytes < AHEAD_BYTES;
            tokio::select! {
                biased;
                passed = pass_on(self.sender.as_ref(), !self.ahead.is_empty()) => match passed {
                    Some(permit) => self.pass(permit),
                    None => self.discard(),
                },
                received = self.inbound.next(), if room => self.take(received)?,
            }
        }
    }

    fn gather(&mut self) {
        while !self.whole && self.ahead_bytes < AHEAD_BYTES {
            let Some(received) = self.inbound.next().now_or_never() else {
                break;
            };
            if self.take(received).is_err() {
                break;
            }
        }
        self.body = Some(self.assemble());
    }

    fn assemble(&mut self) -> Body {
        if self.whole && self.ahead.is_empty() {
            return empty();
        }
        if self.whole
            && let Some(only) = self.only_part()
        {
            return Full::new(only)
                .map_err(|never| match never {})
                .boxed_unsync();
        }
        let (sender, steps) = mpsc::channel(CHANNEL_PARTS);
        self.sender = Some(sender);
        Channel {
            steps,
            ended: false,
        }
        .boxed_unsync()
    }

    fn only_part(&mut self) -> Option<Bytes> {
        if self.ahead.len() != 2 {
            return None;
        }
        let Step::Frame(frame) = self.ahead.front()? else {
            return None;
        };
        let part = frame.data_ref()?.clone();
        self.ahead.clear();
        Some(part)
    }

    fn pass(&mut self, permit: Permit) {
        let Some(step) = self.ahead.pop_front() else {
            return;
        };
        if let Step::Frame(frame) = &step {
            self.ahead_bytes -= frame.data_ref().map_or(0, Bytes::len);
        }
        let last = matches!(step, Step::End);
        permit.send(step);
        if last {
            self.sender = None;
        }
    }

    /// The backend server takes no more of the body.
    fn discard(&mut self) {
        self.sender = None;
        self.ahead.clear();
        self.ahead_bytes = 0;
    }

    fn take(&mut self, received: Result<Raw, Ended>) -> Result<(), Broken> {
        match received {
            Ok(Raw::Body(part)) if !self.whole => self.keep(Frame::data(part)),
            Ok(Raw::Message(kind::TRAILERS, payload)) if !self.whole => {
                let trailers = wire::read::<Trailers>(kind::TRAILERS, &payload);
                let trailers = trailers.map_err(|_| self.rejected())?;
                self.keep(Frame::trailers(trailers.headers));
            }
            Ok(Raw::Message(kind::END, _)) if !self.whole => {
                self.whole = true;
                self.ahead.push_back(Step::End);
            }
            Ok(_) => self.executor.observer.event(Event::FrameDropped),
            Err(Ended::Closed) if self.whole => self.closed = true,
            Err(Ended::Malformed) => return Err(self.rejected()),
            Err(_) => return Err(Broken),
        }
        Ok(())
    }

    fn rejected(&self) -> Broken {
        self.executor.observer.event(Event::LinkRejected);
        Broken
    }

    fn keep(&mut self, frame: Frame<Bytes>) {
        self.ahead_bytes += frame.data_ref().map_or(0, Bytes::len);
        self.ahead.push_back(Step::Frame(frame));
    }
}

type Permit = mpsc::OwnedPermit<Step>;

/// Waits for room in the channel; for ever when there is nothing to pass on.
async fn pass_on(sender: Option<&mpsc::Sender<Step>>, waiting: bool) -> Option<Permit> {
    match sender {
        Some(sender) if waiting => sender.clone().reserve_owned().await.ok(),
        _ => std::future::pending().await,
    }
}

fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

struct Channel {
    steps: mpsc::Receiver<Step>,
    ended: bool,
}

impl HttpBody for Channel {
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
            Some(Step::Frame(frame)) => Some(Ok(frame)),
            Some(Step::End) => {
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
