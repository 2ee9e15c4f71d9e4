//! Callers with a stopwatch of their own.
//!
//! Arrivals are drawn in advance from a seeded generator and don't wait for
//! answers (open loop). Each stopwatch starts when the call was due, so time
//! spent waiting to be sent counts as well: that corrects the figures for
//! coordinated omission.

mod books;
mod client;
mod schedule;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub use books::{Books, Entry, Row};
pub use client::{Client, Ending, Protocol};
pub use schedule::Schedule;

/// A kind of request, as one route of a service serves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name of the route.
    pub route: String,
    /// Service asked for.
    pub service: String,
    /// Tenant it is for.
    pub tenant: Option<String>,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its id is sent as the idempotency key.
    pub keyed: bool,
    /// Regions it must stay in; empty for all.
    pub home: Vec<String>,
    /// Length of its body.
    pub request_bytes: usize,
    /// Length of the answer it asks for.
    pub answer_bytes: usize,
    /// Longest wait for the answer.
    pub patience: Duration,
}

/// A node that takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address for callers.
    pub address: SocketAddr,
    /// Region it runs in, when known.
    pub region: Option<String>,
}

/// What callers do.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Nodes to call.
    pub targets: Vec<Target>,
    /// Kinds of requests, drawn evenly.
    pub kinds: Vec<Kind>,
    /// Mean number of calls a second.
    pub rate: f64,
    /// Time during which calls are made.
    pub duration: Duration,
    /// Protocol towards the nodes.
    pub protocol: Protocol,
    /// Seed of arrivals, kinds and targets.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            kinds: Vec::new(),
            rate: 100.0,
            duration: Duration::from_secs(10),
            protocol: Protocol::Http2,
            seed: 1,
        }
    }
}

/// Makes all calls, the first ones at `origin`, and waits for the last ending.
/// `started` is told the time of each call that is due.
pub async fn run(settings: Settings, origin: Instant, started: impl FnMut(Duration)) -> Books {
    let never = CancellationToken::new();
    run_until(settings, origin, &never, started).await
}

/// The same, but makes no more calls once `stop` is cancelled.
pub async fn run_until(
    settings: Settings,
    origin: Instant,
    stop: &CancellationToken,
    mut started: impl FnMut(Duration),
) -> Books {
    let client = Client::new(settings.protocol);
    let settings = Arc::new(settings);
    let (sender, mut endings) = mpsc::unbounded_channel();
    for (number, arrival) in Schedule::new(&settings).enumerate() {
        let due = tokio::time::sleep_until((origin + arrival.due).into());
        if stop.run_until_cancelled(due).await.is_none() {
            break;
        }
        started(arrival.due);
        let (client, settings, sender) = (client.clone(), Arc::clone(&settings), sender.clone());
        tokio::spawn(async move {
            let kind = &settings.kinds[arrival.kind];
            let id = format!("{:x}-{number:x}", settings.seed);
            let ending = client.call(&arrival.targets, kind, &id).await;
            let entry = Entry {
                id,
                kind: arrival.kind,
                target: arrival.targets.first().copied(),
                due: arrival.due,
                elapsed: origin.elapsed().saturating_sub(arrival.due),
                ending,
            };
            // The receiver outlives all senders.
            let _ = sender.send(entry);
        });
    }
    drop(sender);
    let mut books = Books::new(settings.kinds.clone());
    while let Some(entry) = endings.recv().await {
        books.add(entry);
    }
    books
}
