//! The entry's side of one stream: a call out, what became of it back.

use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::time::{Instant, sleep_until};

use crate::call::{Cut, Event, Loss, NotRun, Reason, Unknown};
use crate::gate::LoadReport;
use crate::plan::Version;

use super::answer::{Answer, Uplink};
use super::inbound::Ended;
use super::links::{Down, Links, Stream};
use super::outbound::Outbound;
use super::upload::{Control, Upload, Uploading};
use super::wire::{self, Encoder, Failed, Head, Open, Raw, Recall, Refused, kind};

/// Time after the deadline in which the gate's own word may still come.
const GATE_GRACE: Duration = Duration::from_millis(50);

/// Room for the head of a request.
const OPEN_BYTES: usize = 1024;

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time after which a queued call is recalled.
    pub recall_after: Option<Duration>,
    /// Time left for the call.
    pub time_left: Duration,
}

/// What became of an attempt.
pub enum Reply {
    /// The backend server answered.
    Answered {
        /// Head of the answer.
        head: Box<Head>,
        /// Body of the answer.
        body: Answer,
    },
    /// It certainly did not run.
    NotRun {
        /// Why.
        refused: NotRun,
        /// Load report of the backend server, when its gate said so.
        load: Option<LoadReport>,
        /// Plan of the gate, when it said so.
        plan: Version,
        /// What was to be sent.
        upload: Upload,
    },
    /// It may have run.
    Unknown {
        /// How the outcome was lost.
        unknown: Unknown,
        /// Load report of the backend server, when its gate said so.
        load: Option<LoadReport>,
        /// What was to be sent.
        upload: Upload,
    },
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Answered { .. } => "Answered",
            Self::NotRun { .. } => "NotRun",
            Self::Unknown { .. } => "Unknown",
        };
        f.write_str(name)
    }
}

impl Links {
    /// Sends a call to the gate at `address` and waits for the head of its
    /// answer. Dropping the future or the answer's body cancels the call.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        open: &Open,
        upload: Upload,
        terms: Terms,
    ) -> Reply {
        let mut frames = Encoder::with_capacity(OPEN_BYTES + upload.known_bytes());
        if frames.message(kind::OPEN, open).is_err() {
            return not_run(Reason::Malformed, upload);
        }
        upload.start(&mut frames);
        let end = upload.is_whole();
        let Ok(stream) = self.open(address, frames.take(), end).await else {
            return not_run(Reason::Unreachable, upload);
        };
        let Stream { up, down } = stream;
        let uplink = Link::new(upload, up);
        Exchange {
            call: open.call,
            links: self,
            address,
            down,
            uplink,
            recalling: None,
        }
        .run(terms)
        .await
    }
}

impl Links {
    /// Asks a gate to withdraw a call if it is still queued. The gate's word on
    /// the call itself tells what came of it.
    async fn recall(&self, address: SocketAddr, call: u64) -> Option<Stream> {
        let mut frames = Encoder::default();
        frames.message(kind::RECALL, &Recall { call }).ok()?;
        // A broken link shows when the answer is awaited.
        self.open(address, frames.take(), true).await.ok()
    }
}

fn not_run(reason: Reason, upload: Upload) -> Reply {
    Reply::NotRun {
        refused: NotRun::told_by_gate(reason),
        load: None,
        plan: Version::default(),
        upload,
    }
}

/// The way up, while the call is not answered.
enum Link {
    Whole(Upload),
    Sending {
        uploading: Uploading,
        control: Arc<Control>,
    },
}

impl Link {
    fn new(upload: Upload, outbound: Outbound) -> Self {
        if upload.is_whole() {
            return Self::Whole(upload);
        }
        let control = Arc::new(Control::default());
        Self::Sending {
            uploading: upload.send(outbound, Arc::clone(&control)).boxed(),
            control,
        }
    }

    fn admitted(&self) {
        if let Self::Sending { control, .. } = self {
            control.admitted.notify_one();
        }
    }

    /// Ends only when the upload fails.
    async fn failed(&mut self) -> Cut {
        let Self::Sending { uploading, .. } = self else {
            return std::future::pending().await;
        };
        let uploaded = uploading.await;
        *self = Self::Whole(uploaded.upload);
        match uploaded.result {
            Ok(()) => std::future::pending().await,
            Err(cut) => cut,
        }
    }

    /// Gives back what was to be sent.
    async fn reclaim(self) -> Upload {
        match self {
            Self::Whole(upload) => upload,
            Self::Sending { uploading, control } => {
                control.stop.notify_one();
                uploading.await.upload
            }
        }
    }

    fn into_uplink(self) -> Uplink {
        match self {
            Self::Whole(..) => Uplink::Closed,
            Self::Sending { uploading, .. } => Uplink::Sending(uploading),
        }
    }
}

struct Exchange<'a> {
    call: u64,
    links: &'a Links,
    address: SocketAddr,
    down: Down,
    uplink: Link,
    /// Held, as dropping it would take the recall back.
    recalling: Option<Stream>,
}

enum Verdict {
    Head(Box<Head>),
    Refused(Refused),
    Unprocessed,
    Lost(Loss, Option<LoadReport>),
}

impl Exchange<'_> {
    async fn run(mut self, terms: Terms) -> Reply {
        match self.verdict(terms).await {
            Verdict::Head(head) => Reply::Answered {
                head,
                body: Answer::new(
                    self.down,
                    self.uplink.into_uplink(),
                    Arc::clone(self.links.observer()),
                ),
            },
            Verdict::Refused(refused) => Reply::NotRun {
                refused: NotRun::told_by_gate(refused.reason.unwrap_or(Reason::Overloaded)),
                load: Some(refused.load),
                plan: refused.plan,
                upload: self.uplink.reclaim().await,
            },
            Verdict::Unprocessed => not_run(Reason::Draining, self.uplink.reclaim().await),
            Verdict::Lost(loss, load) => Reply::Unknown {
                unknown: Unknown::by(loss),
                load,
                upload: self.uplink.reclaim().await,
            },
        }
    }

    async fn verdict(&mut self, terms: Terms) -> Verdict {
        let started = Instant::now();
        let mut deadline = pin!(sleep_until(started + terms.time_left + GATE_GRACE));
        let recall_after = terms.recall_after.unwrap_or(terms.time_left);
        let mut recall = pin!(sleep_until(started + recall_after));
        let mut recallable = terms.recall_after.is_some();
        loop {
            tokio::select! {
                biased;
                received = self.down.next() => {
                    if let Some(verdict) = self.read(received) {
                        return verdict;
                    }
                }
                cut = self.uplink.failed() => {
                    if cut != Cut::Link {
                        return Verdict::Lost(Loss::Request, None);
                    }
                }
                () = &mut recall, if recallable => {
                    recallable = false;
                    self.recalling = self.links.recall(self.address, self.call).await;
                }
                () = &mut deadline => return Verdict::Lost(Loss::Deadline, None),
            }
        }
    }

    fn read(&mut self, received: Result<Raw, Ended>) -> Option<Verdict> {
        match received {
            Ok(Raw::Message(kind, payload)) => self.message(kind, &payload),
            Ok(Raw::Body(_)) => self.dropped(),
            Err(Ended::Unprocessed) => Some(Verdict::Unprocessed),
            Err(Ended::Malformed) => {
                self.links.observer().event(Event::LinkRejected);
                Some(Verdict::Lost(Loss::Link, None))
            }
            Err(Ended::Closed | Ended::Broken) => Some(Verdict::Lost(Loss::Link, None)),
        }
    }

    fn message(&mut self, kind: u8, payload: &[u8]) -> Option<Verdict> {
        let verdict = match kind {
            kind::ADMITTED => {
                self.uplink.admitted();
                return None;
            }
            kind::HEAD => wire::read::<Head>(kind, payload)
                .map(|head| (head.call, Verdict::Head(Box::new(head)))),
            kind::REFUSED => wire::read::<Refused>(kind, payload)
                .map(|refused| (refused.call, Verdict::Refused(refused))),
            kind::FAILED => wire::read::<Failed>(kind, payload).map(|failed| {
                let loss = failed.loss.unwrap_or(Loss::Link);
                (failed.call, Verdict::Lost(loss, Some(failed.load)))
            }),
            _ => return self.dropped(),
        };
        match verdict {
            Ok((call, verdict)) if call == self.call => Some(verdict),
            Ok(_) => self.dropped(),
            Err(_) => {
                self.links.observer().event(Event::LinkRejected);
                Some(Verdict::Lost(Loss::Link, None))
            }
        }
    }

    fn dropped(&self) -> Option<Verdict> {
        self.links.observer().event(Event::FrameDropped);
        None
    }
}
