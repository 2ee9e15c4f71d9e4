//! HTTP/1.1 client of the backend server with reuse of connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::call::{Body, BodyError, UnsentProof};

use super::pool::Pool;
use super::{Client, Connection, Failure, Unreachable};

/// How the backend server is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time a new connection may take.
    pub connect_timeout: Duration,
    /// Idle connections kept.
    pub max_idle_connections: usize,
    /// Age at which an idle connection is no longer used.
    pub max_idle: Duration,
    /// The same for requests that must not run twice.
    pub max_idle_fresh: Duration,
    /// Longest head of an answer.
    pub max_head_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle_connections: 64,
            max_idle: Duration::from_secs(30),
            max_idle_fresh: Duration::from_secs(2),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// Client of the backend server at one address.
#[derive(Debug)]
pub struct Http {
    address: SocketAddr,
    settings: Settings,
    pool: Arc<Pool>,
}

impl Http {
    /// A client that connects when it is first used.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            settings,
            pool: Pool::new(settings.max_idle_connections),
        }
    }

    /// Gives up the idle connections, which lead to a process that is gone.
    pub fn forget(&self) {
        self.pool.clear();
    }

    async fn lease(&self, fresh: bool) -> Result<Box<dyn Connection>, Unreachable> {
        let max_idle = if fresh {
            self.settings.max_idle_fresh
        } else {
            self.settings.max_idle
        };
        let sender = match self.pool.take(max_idle) {
            Some(sender) => sender,
            None => open(self.address, self.settings).await?,
        };
        Ok(Box::new(Leased {
            sender,
            pool: Arc::clone(&self.pool),
            address: self.address,
            settings: self.settings,
        }))
    }
}

impl Client for Http {
    fn connect(&self, fresh: bool) -> BoxFuture<'_, Result<Box<dyn Connection>, Unreachable>> {
        self.lease(fresh).boxed()
    }
}

async fn open(address: SocketAddr, settings: Settings) -> Result<SendRequest<Body>, Unreachable> {
    let connected = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(elapsed) => return Err(unreachable(&elapsed)),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(&error))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(settings.max_head_bytes)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(&error))?;
    // Its errors reach the request that is on it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

fn unreachable(error: &dyn std::fmt::Display) -> Unreachable {
    Unreachable {
        cause: error.to_string(),
    }
}

/// Share of the time stated by the backend server in which a connection is used
/// again; the rest covers the way of a request.
const KEPT_SHARE: f64 = 0.8;

/// Time in `Keep-Alive: timeout=`, with a margin.
fn kept_alive(headers: &http::HeaderMap) -> Option<Duration> {
    let field = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = timeout.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()).mul_f64(KEPT_SHARE))
}

struct Leased {
    sender: SendRequest<Body>,
    pool: Arc<Pool>,
    address: SocketAddr,
    settings: Settings,
}

impl Leased {
    /// An idle connection may close under the request; hyper hands back what
    /// it has not begun to write, and only that is sent once more.
    async fn exchange(mut self, mut request: Request<Body>) -> Result<Response<Body>, Failure> {
        frame_body(&mut request);
        let error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(self.answer(response)),
            Err(error) => error,
        };
        let request = unsent(error)?;
        self.sender = open(self.address, self.settings)
            .await
            .map_err(|_| Failure::Unsent(UnsentProof::from_client()))?;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(response)),
            Err(error) => {
                unsent(error)?;
                Err(Failure::Unsent(UnsentProof::from_client()))
            }
        }
    }

    fn answer(self, response: Response<Incoming>) -> Response<Body> {
        let kept = kept_alive(response.headers());
        let suspicion = Suspicion::default();
        let mut response = response.map(|incoming| {
            Answer {
                incoming,
                reuse: Some((self.sender, self.pool)),
                kept,
                suspicion: suspicion.clone(),
            }
            .boxed_unsync()
        });
        response.extensions_mut().insert(suspicion);
        response
    }
}

/// Marks the connection of an answer that belongs to another request, in the extensions of that
/// answer. The right one may still come there.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion(Arc<AtomicBool>);

impl Suspicion {
    /// Keeps the connection from being used again.
    pub(super) fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_raised(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// States the framing of a body whose length is not known. hyper drops such a body for some methods
/// unless the head of the request announces it.
fn frame_body(request: &mut Request<Body>) {
    let may_be_dropped = matches!(*request.method(), Method::GET | Method::HEAD);
    let body = request.body();
    if may_be_dropped && !body.is_end_stream() && body.size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        let headers = request.headers_mut();
        headers.insert(header::TRANSFER_ENCODING, chunked);
    }
}

fn unsent(
    mut error: hyper::client::conn::TrySendError<Request<Body>>,
) -> Result<Request<Body>, Failure> {
    error.take_message().ok_or(Failure::Broken)
}

impl Connection for Leased {
    fn send(
        self: Box<Self>,
        request: Request<Body>,
    ) -> BoxFuture<'static, Result<Response<Body>, Failure>> {
        self.exchange(request).boxed()
    }
}

/// Body of an answer; returns its connection to the pool when it is whole. An empty one does so when
/// it is dropped, after its head has been looked at.
struct Answer {
    incoming: Incoming,
    reuse: Option<(SendRequest<Body>, Arc<Pool>)>,
    /// Time for which the backend server keeps the idle connection.
    kept: Option<Duration>,
    suspicion: Suspicion,
}

impl Answer {
    fn release(&mut self) {
        let reuse = self.reuse.take().filter(|_| !self.suspicion.is_raised());
        if let Some((sender, pool)) = reuse {
            pool.give_back(sender, self.kept);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.incoming.is_end_stream() {
            self.release();
        }
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        let whole = frame.is_none() || self.incoming.is_end_stream();
        if whole && !matches!(frame, Some(Err(_))) {
            self.release();
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|_| BodyError::BackendServer)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
