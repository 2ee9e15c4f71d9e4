//! One connection from an entry to the gate of a stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::oneshot;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::message::{self, Answer, Outcome, Request};

type Pending = Arc<Mutex<BTreeMap<u64, Waiting>>>;

struct Waiting {
    admitted: bool,
    sender: oneshot::Sender<Answer>,
}

/// Sends requests and hands each its own answer.
pub(super) struct Link {
    requests: UnboundedSender<Request>,
    pending: Pending,
    next: AtomicU64,
}

impl Link {
    pub(super) async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
        let (mut sink, mut source) = framed.split();
        let (requests, mut queue) = mpsc::unbounded_channel::<Request>();
        let pending = Pending::default();
        let answered = Arc::clone(&pending);
        tokio::spawn(async move {
            while let Some(request) = queue.recv().await {
                if sink.send(message::encode(&request)).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Some(Ok(frame)) = source.next().await {
                deliver(&answered, &frame);
            }
        });
        Ok(Self {
            requests,
            pending,
            next: AtomicU64::new(0),
        })
    }

    /// A key for one request.
    pub(super) fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a request that is answered under `id`.
    pub(super) fn ask(&self, id: u64, request: Request) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(
                id,
                Waiting {
                    admitted: false,
                    sender,
                },
            );
        self.send(request);
        receiver
    }

    /// Whether the gate let the request through, as far as is known.
    pub(super) fn is_admitted(&self, id: u64) -> bool {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.get(&id).is_none_or(|waiting| waiting.admitted)
    }

    /// Sends a request without an answer of its own.
    pub(super) fn send(&self, request: Request) {
        // A closed link shows as an answer that never comes.
        let _ = self.requests.send(request);
    }
}

fn deliver(pending: &Pending, frame: &[u8]) {
    let Some(answer) = message::decode::<Answer>(frame) else {
        return;
    };
    let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
    if answer.result == Outcome::Admitted {
        if let Some(waiting) = pending.get_mut(&answer.id) {
            waiting.admitted = true;
        }
        return;
    }
    if let Some(waiting) = pending.remove(&answer.id) {
        // The call may have ended meanwhile.
        let _ = waiting.sender.send(answer);
    }
}
