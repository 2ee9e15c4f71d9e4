//! A TCP forwarder that can cut, hold and delay what passes.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const BUFFER_BYTES: usize = 16 * 1024;

/// What the forwarder does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on after a delay.
    Delay(Duration),
    /// Keeps them until the mode changes.
    Hold,
    /// Passes on what comes from the caller and keeps what comes back.
    HoldAnswers,
    /// Closes connections, also new ones.
    Cut,
}

/// Bytes that are looked for in what passes.
#[derive(Debug, Default)]
struct Search {
    needle: Mutex<Vec<u8>>,
    found: AtomicU64,
}

/// A running forwarder; ends with the value.
#[derive(Debug)]
pub struct Wire {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    target: watch::Sender<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
    search: Arc<Search>,
    shutdown: CancellationToken,
}

impl Wire {
    /// A forwarder on a port of its own, which holds connections until
    /// [`Wire::connect`] tells where they lead.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let wire = Self {
            address: listener.local_addr()?,
            mode: watch::Sender::new(Mode::Pass),
            target: watch::Sender::new(None),
            bytes: Arc::default(),
            search: Arc::default(),
            shutdown: CancellationToken::new(),
        };
        let line = Line {
            mode: wire.mode.subscribe(),
            target: wire.target.subscribe(),
            bytes: Arc::clone(&wire.bytes),
            search: Arc::clone(&wire.search),
        };
        let accepting = accept(listener, line);
        tokio::spawn(wire.shutdown.clone().run_until_cancelled_owned(accepting));
        Ok(wire)
    }

    /// Leads connections to `target`.
    pub fn connect(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Address to call in place of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed on so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Looks for `needle` in all that passes from now on.
    pub fn search(&self, needle: &[u8]) {
        *self.search.needle() = needle.to_vec();
    }

    /// Number of times that it was found.
    #[must_use]
    pub fn found(&self) -> u64 {
        self.search.found.load(Ordering::Relaxed)
    }

    /// Changes what happens to bytes, also on open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.shutdown.cancel();
        self.mode.send_replace(Mode::Cut);
    }
}

#[derive(Clone)]
struct Line {
    mode: watch::Receiver<Mode>,
    target: watch::Receiver<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
    search: Arc<Search>,
}

impl Search {
    fn needle(&self) -> MutexGuard<'_, Vec<u8>> {
        self.needle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Searches `bytes`, which follow `tail`; leaves the tail of both.
    fn feed(&self, tail: &mut Vec<u8>, bytes: &[u8]) {
        let needle = self.needle();
        if needle.is_empty() {
            return;
        }
        tail.extend_from_slice(bytes);
        let found = tail
            .windows(needle.len())
            .filter(|window| *window == needle.as_slice());
        self.found
            .fetch_add(found.count() as u64, Ordering::Relaxed);
        let kept = tail.len().min(needle.len() - 1);
        tail.drain(..tail.len() - kept);
    }
}

impl Line {
    async fn dial(&mut self) -> Option<TcpStream> {
        let target = *self.target.wait_for(Option::is_some).await.ok()?;
        TcpStream::connect(target?).await.ok()
    }
}

async fn accept(listener: TcpListener, line: Line) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(forward(near, line.clone()));
    }
}

async fn forward(near: TcpStream, mut line: Line) {
    let mut mode = line.mode.clone();
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Some(far) = line.dial().await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, line.clone(), Way::There);
    let back = pump(far_read, near_write, line, Way::Back);
    tokio::select! {
        _ = futures::future::join(there, back) => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Way {
    fn is_held(self, mode: Mode) -> bool {
        mode == Mode::Hold || (mode == Mode::HoldAnswers && self == Self::Back)
    }
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut line: Line,
    way: Way,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut tail = Vec::new();
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        // The sender lives as long as the wire; without it nothing is held.
        let mode = line.mode.wait_for(|mode| !way.is_held(*mode)).await;
        let delay = mode.map_or(Duration::ZERO, |mode| match *mode {
            Mode::Delay(time) => time,
            _ => Duration::ZERO,
        });
        tokio::time::sleep(delay).await;
        line.search.feed(&mut tail, &buffer[..read]);
        to.write_all(&buffer[..read]).await?;
        line.bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
