//! Client side of links: one HTTP/2 connection per peer, opened on first use and kept open.
//!
//! A link is checked by a ping when it is opened, and by regular pings (keep-alive) while calls
//! are on it. A link that closes or stops answering is dropped and the next call opens a new one.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use displaydoc::Display;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{Ping, PingPong};
use http::{Method, Request, Uri};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::call::{Event, Observer};

use super::Settings;
use super::inbound::{End, Inbound};
use super::outbound::Outbound;
use super::wire::RawFrame;

/// Request URI of every stream; its last segment is the version of the framing.
const STREAM_URI: &str = "http://peer/call/1";

/// no link to the node at {address} ({cause}); check that it runs and that its peer port is open
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub struct LinkDown {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Error of the connection attempt.
    pub cause: String,
}

impl std::error::Error for LinkDown {}

/// Links to all peers, shared by all calls of a node.
pub struct Links {
    settings: Settings,
    observer: Arc<dyn Observer>,
    peers: Mutex<BTreeMap<SocketAddr, Arc<Peer>>>,
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").finish_non_exhaustive()
    }
}

/// One stream on a link.
pub(super) struct Stream {
    /// Writer of frames to the peer.
    pub(super) request_frames: Outbound,
    /// Reader of frames from the peer.
    pub(super) response_frames: ResponseFrames,
}

impl Links {
    /// Creates an empty set of links; each link is opened on first use.
    #[must_use]
    pub fn new(settings: Settings, observer: Arc<dyn Observer>) -> Self {
        Self {
            settings,
            observer,
            peers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Opens a stream and sends `first_frames`; with `end_stream` nothing follows them.
    ///
    /// # Errors
    ///
    /// Returns an error only if none of `first_frames` was sent, so that the call did not run.
    pub(super) async fn open(
        &self,
        address: SocketAddr,
        first_frames: Bytes,
        end_stream: bool,
    ) -> Result<Stream, LinkDown> {
        let peer = self.peer(address);
        let mut sender = self.ready_sender(&peer).await?;
        let link_down = |error: &dyn fmt::Display| LinkDown {
            address,
            cause: error.to_string(),
        };
        let call_guard = peer.call_guard();
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(STREAM_URI);
        let sent = sender.send_request(request, false);
        let (response, stream) = sent.map_err(|error| link_down(&error))?;
        let mut request_frames = Outbound::new(stream);
        request_frames
            .send_ignoring_window(first_frames, end_stream)
            .map_err(|_| link_down(&"stream closed before the request was sent"))?;
        Ok(Stream {
            request_frames,
            response_frames: ResponseFrames::Waiting(response, call_guard),
        })
    }

    pub(super) const fn observer(&self) -> &Arc<dyn Observer> {
        &self.observer
    }

    /// Removes the links to peers for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.peers).retain(|&address, _| keep(address));
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = lock(&self.peers);
        Arc::clone(
            peers
                .entry(address)
                .or_insert_with(|| Arc::new(Peer::new(address))),
        )
    }

    /// Returns a sender with room for one more stream, connecting first if there is no live link.
    async fn ready_sender(&self, peer: &Arc<Peer>) -> Result<SendRequest<Bytes>, LinkDown> {
        if let Some(link) = peer.current_link() {
            match link.sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => peer.remove_link(link.number),
            }
        }
        let failures = peer.failures.load(Ordering::Relaxed);
        let _connecting = peer.connect_lock.lock().await;
        let link = match peer.current_link() {
            Some(link) => link,
            // The attempt that this call waited for is as good as one of its own.
            None if peer.failures.load(Ordering::Relaxed) != failures => {
                return Err(peer.link_down(&"the attempt before failed"));
            }
            None => self.connect(peer).await.inspect_err(|_| {
                peer.failures.fetch_add(1, Ordering::Relaxed);
            })?,
        };
        link.sender.ready().await.map_err(|error| {
            peer.remove_link(link.number);
            peer.link_down(&error)
        })
    }

    /// Opens a link and spawns the task that drives its connection and pings.
    async fn connect(&self, peer: &Arc<Peer>) -> Result<Link, LinkDown> {
        let established =
            timeout(self.settings.connect_timeout, self.handshake(peer.address)).await;
        let established = match established {
            Ok(Ok(established)) => established,
            Ok(Err(error)) => return Err(peer.link_down(&error)),
            Err(elapsed) => return Err(peer.link_down(&elapsed)),
        };
        self.observer.event(Event::LinkOpened);
        let link = peer.store_link(established.sender);
        let settings = self.settings;
        let peer = Arc::clone(peer);
        let number = link.number;
        tokio::spawn(async move {
            run_link(established.connection, established.pings, settings, &peer).await;
            peer.remove_link(number);
        });
        Ok(link)
    }

    /// Connects and waits for the answer to a first ping. A TCP connection alone proves nothing:
    /// the kernel also accepts connections that a terminating peer never serves.
    async fn handshake(&self, address: SocketAddr) -> io::Result<EstablishedLink> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(self.settings.stream_window_bytes)
            .initial_connection_window_size(self.settings.link_window_bytes)
            .max_frame_size(self.settings.max_frame_bytes)
            .enable_push(false)
            .handshake(socket)
            .await
            .map_err(io::Error::other)?;
        let Some(mut pings) = connection.ping_pong() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        tokio::select! {
            pong = pings.ping(Ping::opaque()) => {
                pong.map_err(io::Error::other)?;
            }
            _ = &mut connection => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        Ok(EstablishedLink {
            sender,
            connection,
            pings,
        })
    }
}

/// A new connection on which the peer has answered a ping.
struct EstablishedLink {
    sender: SendRequest<Bytes>,
    connection: Connection<TcpStream, Bytes>,
    pings: PingPong,
}

/// Drives a connection until it closes or a ping is not answered.
async fn run_link(
    connection: Connection<TcpStream, Bytes>,
    pings: PingPong,
    settings: Settings,
    peer: &Peer,
) {
    tokio::select! {
        _ = connection => {}
        () = wait_for_ping_timeout(pings, settings, peer) => {}
    }
}

/// Returns when a ping is not answered within the timeout. Links without calls are not pinged.
async fn wait_for_ping_timeout(mut pings: PingPong, settings: Settings, peer: &Peer) {
    loop {
        sleep(settings.ping_interval).await;
        if Arc::strong_count(&peer.call_count) == 1 {
            continue;
        }
        let pong = timeout(settings.ping_timeout, pings.ping(Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return;
        }
    }
}

/// A peer and its current link, if any.
struct Peer {
    address: SocketAddr,
    link: Mutex<Option<Link>>,
    connect_lock: tokio::sync::Mutex<()>,
    next_link_number: AtomicU64,
    /// Number of attempts to connect that failed.
    failures: AtomicU64,
    /// Counts the calls on the link by its strong references, of which one is this field.
    call_count: Arc<()>,
}

/// Guard that a call holds while it is on the link.
pub(super) type CallGuard = Arc<()>;

/// A live link. The number distinguishes it from a later link to the same peer.
#[derive(Clone)]
struct Link {
    number: u64,
    sender: SendRequest<Bytes>,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: Mutex::new(None),
            connect_lock: tokio::sync::Mutex::new(()),
            next_link_number: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            call_count: Arc::new(()),
        }
    }

    fn call_guard(&self) -> CallGuard {
        Arc::clone(&self.call_count)
    }

    fn current_link(&self) -> Option<Link> {
        lock(&self.link).clone()
    }

    /// Makes a new connection the current link.
    fn store_link(&self, sender: SendRequest<Bytes>) -> Link {
        let number = self.next_link_number.fetch_add(1, Ordering::Relaxed);
        let link = Link { number, sender };
        *lock(&self.link) = Some(link.clone());
        link
    }

    /// Removes the link with this number, unless a newer one has replaced it.
    fn remove_link(&self, number: u64) {
        let mut link = lock(&self.link);
        if link.as_ref().is_some_and(|link| link.number == number) {
            *link = None;
        }
    }

    fn link_down(&self, cause: &dyn fmt::Display) -> LinkDown {
        LinkDown {
            address: self.address,
            cause: cause.to_string(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Frames of the response on one stream.
pub(super) enum ResponseFrames {
    /// The HTTP/2 response headers have not arrived yet.
    Waiting(ResponseFuture, CallGuard),
    /// Frames can be read.
    Reading(Inbound, CallGuard),
}

impl ResponseFrames {
    /// Returns the next frame, or why there is none.
    pub(super) async fn next(&mut self) -> Result<RawFrame, End> {
        if let Self::Waiting(response, call_guard) = self {
            match response.await {
                Ok(response) => {
                    let inbound = Inbound::new(response.into_body());
                    *self = Self::Reading(inbound, Arc::clone(call_guard));
                }
                Err(error) => return Err(End::from(&error)),
            }
        }
        match self {
            Self::Reading(inbound, _) => inbound.next().await,
            Self::Waiting(..) => Err(End::Broken),
        }
    }
}
