//! Connections to the control services of other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::{InspectReader, InspectWriter};

use super::control::{Control, ControlClient, Traffic};
use super::core::Failure;

/// Longest time a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that nobody has used for so long are closed.
const IDLE_LIMIT: Duration = Duration::from_mins(2);

/// Counts what the control service sends and receives.
#[derive(Debug, Default)]
pub(super) struct TrafficMeter {
    messages: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

impl TrafficMeter {
    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            messages: self.messages.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
        }
    }

    pub(super) fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Open connections by address.
#[derive(Debug)]
pub(super) struct Links {
    open: Mutex<BTreeMap<SocketAddr, Connection>>,
    meter: Arc<TrafficMeter>,
}

#[derive(Clone, Debug)]
struct Connection {
    client: ControlClient,
    serial: u64,
    last_used_at: Instant,
}

impl Links {
    pub(super) fn new(meter: Arc<TrafficMeter>) -> Self {
        Self {
            open: Mutex::default(),
            meter,
        }
    }

    /// Makes one call. A connection that turns out to be broken is opened again
    /// once.
    pub(super) async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl Fn(ControlClient, Context) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let (connection, is_new) = self.connection_to(address).await?;
        match self.attempt(address, &connection, deadline, &call).await {
            Err(Failure::Refused) if !is_new => {
                let (connection, _) = self.connection_to(address).await?;
                self.attempt(address, &connection, deadline, &call).await
            }
            result => result,
        }
    }

    /// Closes connections that nobody uses.
    pub(super) fn close_idle(&self) {
        self.lock()
            .retain(|_, connection| connection.last_used_at.elapsed() < IDLE_LIMIT);
    }

    async fn attempt<T, F>(
        &self,
        address: SocketAddr,
        connection: &Connection,
        deadline: Instant,
        call: impl Fn(ControlClient, Context) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.meter.count_message();
        let mut context = Context::current();
        context.deadline = deadline;
        let result = call(connection.client.clone(), context).await;
        result.map_err(|error| {
            self.close(address, connection.serial);
            match error {
                RpcError::DeadlineExceeded => Failure::TimedOut,
                _ => Failure::Refused,
            }
        })
    }

    async fn connection_to(&self, address: SocketAddr) -> Result<(Connection, bool), Failure> {
        if let Some(connection) = self.lock().get_mut(&address) {
            connection.last_used_at = Instant::now();
            return Ok((connection.clone(), false));
        }
        let client = open(address, &self.meter).await?;
        let mut open = self.lock();
        let serial = open
            .get(&address)
            .map_or(0, |connection| connection.serial + 1);
        let connection = Connection {
            client,
            serial,
            last_used_at: Instant::now(),
        };
        open.insert(address, connection.clone());
        Ok((connection, true))
    }

    fn close(&self, address: SocketAddr, serial: u64) {
        let mut open = self.lock();
        if open
            .get(&address)
            .is_some_and(|connection| connection.serial == serial)
        {
            open.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr, meter: &Arc<TrafficMeter>) -> Result<ControlClient, Failure> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(Failure::TimedOut),
    };
    let transport = serde_transport::new(frames(stream, meter), Bincode::default());
    Ok(ControlClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Opens a connection to the control service at `address`.
///
/// # Errors
///
/// Fails when the node cannot be reached.
pub async fn connect(address: SocketAddr) -> std::io::Result<ControlClient> {
    let stream = TcpStream::connect(address).await?;
    let transport = serde_transport::new(frames(stream, &Arc::default()), Bincode::default());
    Ok(ControlClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Answers the calls of one connection.
pub(super) async fn answer<S>(stream: TcpStream, service: S, meter: Arc<TrafficMeter>)
where
    S: Control + Clone + Send + 'static,
{
    let transport = serde_transport::new(frames(stream, &meter), Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(service.serve())
        .for_each_concurrent(None, |response| response)
        .await;
}

type Frames = tokio_util::codec::Framed<Metered, LengthDelimitedCodec>;
type Inspect = Box<dyn FnMut(&[u8]) + Send>;
type Metered = tokio::io::Join<
    InspectReader<tokio::net::tcp::OwnedReadHalf, Inspect>,
    InspectWriter<tokio::net::tcp::OwnedWriteHalf, Inspect>,
>;

/// Frames of a connection whose bytes are counted.
fn frames(stream: TcpStream, meter: &Arc<TrafficMeter>) -> Frames {
    // Without it answers only wait longer.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (received, sent) = (Arc::clone(meter), Arc::clone(meter));
    let count_in: Inspect = Box::new(move |bytes| {
        received
            .bytes_in
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let count_out: Inspect = Box::new(move |bytes| {
        sent.bytes_out
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let joined = tokio::io::join(
        InspectReader::new(reader, count_in),
        InspectWriter::new(writer, count_out),
    );
    LengthDelimitedCodec::builder().new_framed(joined)
}
