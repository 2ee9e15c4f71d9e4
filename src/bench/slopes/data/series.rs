//! The measurements, one function a series.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::pair::{Both, Pair, SETTLE, kind};
use super::{
    Name, Point, Series, Settings, TARGET_CALLS_PER_NODE, TARGET_CLAIMS, TARGET_IN_HAND,
    TARGET_NODES, TARGET_ROWS,
};
use crate::headers;
use crate::membership::{Epoch, INSTANCE_PREFIX, Instance, State};
use crate::standin::caller;
use crate::store::http::{self as store, Http};
use crate::store::{Client as _, Expect, Write, WriteId};

/// Time a call in hand stays in the backend server.
const HELD: Duration = Duration::from_secs(8);
/// Time during which processor time is measured at each rate.
const CPU_TIME: Duration = Duration::from_secs(5);
/// Calls of a warm-up, before memory is read for the first time.
const WARM_UP_CALLS: u32 = 2_000;
/// Calls that a burst keeps in flight.
const IN_FLIGHT: usize = 32;
/// Bytes of a kilobyte.
const KB: f64 = 1_000.0;

/// Memory of a node for each instance it knows of.
pub(super) async fn instances(settings: &Settings) -> io::Result<Vec<Series>> {
    let mut points = Vec::new();
    for size in [100, 200, 400, 800, 1_600_u32] {
        let pair = Pair::start(settings, Duration::ZERO, 0).await?;
        announce(pair.fleet.store(), size).await?;
        sleep(SETTLE * 2).await;
        points.push(memory(size, pair.usage()?.gate.resident_bytes));
    }
    let name = Name {
        what: "memory of a node by known instances",
        unit: "KB",
        per: "instances",
        target: TARGET_NODES,
    };
    Ok(vec![Series::new(name, points)])
}

/// Memory of a node for each row of the plan.
pub(super) async fn rows(settings: &Settings) -> io::Result<Vec<Series>> {
    let mut points = Vec::new();
    for size in [100, 200, 400, 800, 1_600] {
        let pair = Pair::start(settings, Duration::ZERO, size).await?;
        sleep(SETTLE).await;
        points.push(memory(size, pair.usage()?.gate.resident_bytes));
    }
    let name = Name {
        what: "memory of a node by rows of the sheet",
        unit: "KB",
        per: "rows",
        target: TARGET_ROWS,
    };
    Ok(vec![Series::new(name, points)])
}

/// Memory of a gate for each idle link.
pub(super) async fn links(settings: &Settings) -> io::Result<Vec<Series>> {
    let pair = Pair::start(settings, Duration::ZERO, 0).await?;
    let peer = pair.gate_peer()?;
    let mut points = Vec::new();
    let mut open = Vec::new();
    let mut connections = JoinSet::new();
    for size in [50, 100, 200, 400, 800_u32] {
        while open.len() < size as usize {
            let socket = TcpStream::connect(peer).await?;
            let (sender, connection) = h2::client::handshake(socket)
                .await
                .map_err(io::Error::other)?;
            connections.spawn(async move {
                // The link ends with the measurement.
                let _ = connection.await;
            });
            open.push(sender);
        }
        sleep(SETTLE).await;
        points.push(memory(size, pair.usage()?.gate.resident_bytes));
    }
    let name = Name {
        what: "memory of a gate by idle links",
        unit: "KB",
        per: "links",
        target: TARGET_NODES,
    };
    Ok(vec![Series::new(name, points)])
}

/// Memory of entry and gate for each call in hand.
pub(super) async fn in_hand(settings: &Settings) -> io::Result<Vec<Series>> {
    let pair = Pair::start(settings, HELD, 0).await?;
    let entry = pair.entry()?;
    let mut at_entry = Vec::new();
    let mut at_gate = Vec::new();
    let mut calls = JoinSet::new();
    for size in [10, 20, 40, 80, 160_usize] {
        while calls.len() < size {
            calls.spawn(call(entry, Method::GET, "/read", None));
        }
        sleep(SETTLE).await;
        let usage = pair.usage()?;
        let size = u32::try_from(size).unwrap_or(u32::MAX);
        at_entry.push(memory(size, usage.entry.resident_bytes));
        at_gate.push(memory(size, usage.gate.resident_bytes));
    }
    let name = |what| Name {
        what,
        unit: "KB",
        per: "calls in hand",
        target: TARGET_IN_HAND,
    };
    Ok(vec![
        Series::new(name("memory of an entry by calls in hand"), at_entry),
        Series::new(name("memory of a gate by calls in hand"), at_gate),
    ])
}

/// Memory of entry and gate for each claim.
pub(super) async fn claims(settings: &Settings) -> io::Result<Vec<Series>> {
    let pair = Pair::start(settings, Duration::ZERO, 0).await?;
    let entry = pair.entry()?;
    burst(0..WARM_UP_CALLS, |_| {
        call(entry, Method::GET, "/read", None)
    })
    .await;
    let mut at_entry = Vec::new();
    let mut at_gate = Vec::new();
    let mut made = 0;
    for size in [1_000, 2_000, 4_000, 8_000, 16_000_u32] {
        burst(made..size, |number| {
            let key = format!("claim-{number}");
            call(entry, Method::POST, "/write", Some(key))
        })
        .await;
        made = size;
        sleep(SETTLE).await;
        let usage = pair.usage()?;
        at_entry.push(memory(size, usage.entry.resident_bytes));
        at_gate.push(memory(size, usage.gate.resident_bytes));
    }
    let name = |what| Name {
        what,
        unit: "KB",
        per: "claims",
        target: TARGET_CLAIMS,
    };
    Ok(vec![
        Series::new(name("memory of an entry by claims"), at_entry),
        Series::new(name("memory of a gate by claims"), at_gate),
    ])
}

/// Processor time of entry and gate for each call.
pub(super) async fn calls(settings: &Settings) -> io::Result<Vec<Series>> {
    let pair = Pair::start(settings, Duration::ZERO, 0).await?;
    let mut at_entry = Vec::new();
    let mut at_gate = Vec::new();
    for rate in [100, 200, 400, 800, 1_600_u32] {
        let before = pair.usage()?;
        let started = Instant::now();
        let books = caller::run(load(settings, &pair, rate)?, started, |_| {}).await;
        let elapsed = started.elapsed().as_secs_f64();
        let after = pair.usage()?;
        let made = books.row(|_| true).answered;
        let rate = f64::from(u32::try_from(made).unwrap_or(u32::MAX)) / elapsed;
        let share = Both::share(&before, &after, elapsed);
        at_entry.push(Point {
            size: rate,
            value: share.entry,
        });
        at_gate.push(Point {
            size: rate,
            value: share.gate,
        });
    }
    let name = |what| Name {
        what,
        unit: "ms of processor time a second",
        per: "calls a second",
        target: TARGET_CALLS_PER_NODE,
    };
    Ok(vec![
        Series::new(name("processor time of an entry by calls"), at_entry),
        Series::new(name("processor time of a gate by calls"), at_gate),
    ])
}

/// Milliseconds of processor time a second.
struct Share {
    entry: f64,
    gate: f64,
}

impl Both {
    fn share(before: &Self, after: &Self, elapsed: f64) -> Share {
        let spent = |before: Duration, after: Duration| {
            after.saturating_sub(before).as_secs_f64() * 1_000.0 / elapsed
        };
        Share {
            entry: spent(before.entry.cpu, after.entry.cpu),
            gate: spent(before.gate.cpu, after.gate.cpu),
        }
    }
}

fn load(settings: &Settings, pair: &Pair, rate: u32) -> io::Result<caller::Settings> {
    Ok(caller::Settings {
        targets: vec![pair.target()?],
        kinds: vec![kind(Method::GET, "/read")],
        rate: rate.into(),
        duration: CPU_TIME,
        seed: settings.seed,
        ..caller::Settings::default()
    })
}

fn memory(size: u32, bytes: u64) -> Point {
    let kilobytes = u32::try_from(bytes / 1_000).unwrap_or(u32::MAX);
    Point {
        size: size.into(),
        value: f64::from(kilobytes),
    }
}

/// Writes instances into the store that nothing answers for.
async fn announce(address: SocketAddr, count: u32) -> io::Result<()> {
    let client = Http::new(
        address,
        store::Settings {
            calls_per_second: KB,
            burst_calls: KB,
            ..store::Settings::default()
        },
    );
    for number in 0..count {
        let name = format!("silent-{number}");
        let write = Write {
            key: format!("{INSTANCE_PREFIX}{name}"),
            value: Some(serde_json::to_string(&instance(name))?),
            expect: Expect::Anything,
            lease: None,
            id: WriteId(number.into()),
        };
        while client.write(write.clone()).await.is_err() {
            sleep(SETTLE).await;
        }
    }
    Ok(())
}

fn instance(name: String) -> Instance {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    Instance {
        name,
        epoch: Epoch(1),
        service: "work".into(),
        region: "north".into(),
        zone: "north-a".into(),
        caller: nowhere,
        peer: nowhere,
        control: nowhere,
        state: State::Present,
        version: String::new(),
    }
}

/// Makes one call for each number, a few at a time.
async fn burst<F: Future<Output = io::Result<()>>>(
    numbers: std::ops::Range<u32>,
    make: impl Fn(u32) -> F,
) {
    let mut running = FuturesUnordered::new();
    for number in numbers {
        if running.len() >= IN_FLIGHT {
            running.next().await;
        }
        running.push(make(number));
    }
    while running.next().await.is_some() {}
}

async fn call(
    entry: SocketAddr,
    method: Method,
    path: &'static str,
    key: Option<String>,
) -> io::Result<()> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header(headers::SERVICE, "work");
    if let Some(key) = key {
        request = request.header(headers::IDEMPOTENCY_KEY, key);
    }
    let request = request
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(request).await.map_err(io::Error::other)?;
    answer
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok(())
}
