//! Small HTTP/1.1 endpoints for the platform and the backend server.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{Host, Reply, Word};
use crate::backend::registry::{Reaction, Registry};
use crate::membership::Handle;
use crate::plan::Version;

/// Largest body that is read, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024;
/// Longest time for a request, and for which an idle connection is kept.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the system refuses to accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers what is said to the node.
pub(super) struct Desk {
    pub(super) host: Arc<dyn Host>,
    pub(super) registry: Arc<Registry>,
    /// Whether the node takes callers.
    pub(super) open: Arc<AtomicBool>,
    pub(super) handle: Handle,
}

impl Desk {
    async fn reply(&self, word: Word) -> Reply {
        match word {
            Word::Ready => Reply::Ready(self.is_ready()),
            Word::Report(report) if report.leaving => {
                self.acknowledge_leaving(self.registry.report(&report))
                    .await
            }
            Word::Report(report) => {
                let reaction = self.registry.report(&report);
                if reaction == Reaction::Accepted {
                    self.registry.confirm(&report.process).await;
                }
                Reply::Taken(reaction)
            }
            Word::Leave { process, born_ms } => {
                let reaction = self.registry.leave(&process, born_ms);
                self.acknowledge_leaving(reaction).await
            }
            Word::Unreadable(cause) => {
                log::warn!("a report cannot be read: {cause}; it changes nothing");
                Reply::Unreadable(cause)
            }
            Word::Unknown => Reply::Unknown,
        }
    }

    /// The acknowledgement binds the next process too, so it waits until another one keeps it. A
    /// leaving that changed nothing is not acknowledged, since its server may be the one in use.
    async fn acknowledge_leaving(&self, reaction: Reaction) -> Reply {
        match reaction {
            Reaction::Accepted if self.registry.keep_departures().await => Reply::Taken(reaction),
            Reaction::Accepted => Reply::NotKept,
            Reaction::Outdated => {
                log::info!(
                    "a backend server process that seems to be gone says that it leaves; it is \
                     acknowledged if it says so again"
                );
                Reply::NotKept
            }
            Reaction::Foreign => Reply::Taken(reaction),
        }
    }

    /// Without a plan, every call would be refused.
    fn is_ready(&self) -> bool {
        let has_plan = self.handle.snapshot().plan.version > Version::default();
        has_plan && self.open.load(Ordering::Relaxed)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let reply = match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
            Ok(body) => {
                let request = Request::from_parts(head, body.to_bytes());
                self.reply(self.host.read(&request)).await
            }
            Err(error) => Reply::Unreadable(error.to_string()),
        };
        self.host.write(&reply)
    }
}

/// Serves until dropped.
pub(super) async fn serve(listener: TcpListener, desk: Arc<Desk>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_connection(socket, Arc::clone(&desk)));
            }
            Err(error) => {
                log::warn!("no connection can be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(socket: TcpStream, desk: Arc<Desk>) {
    let service = service_fn(move |request| {
        let desk = Arc::clone(&desk);
        async move { Ok::<_, Infallible>(desk.answer(request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    // The other side shows what it missed by asking again.
    let _ = serving.await;
}
