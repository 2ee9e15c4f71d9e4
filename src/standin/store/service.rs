//! HTTP side of the stand-in.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::limit::Limit;
use super::state::State;
use super::{Counters, Faults, Settings};
use crate::clock::Time;
use crate::store::{Watched, Write, protocol};

/// Largest request that is read, in bytes; a value may have a megabyte.
const REQUEST_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Largest value that is kept, in bytes.
const VALUE_LIMIT_BYTES: usize = 1_000_000;
/// How often lapsed leases are looked for.
const LAPSE_INTERVAL: Duration = Duration::from_millis(50);

/// Ends a connection without an answer.
#[derive(Debug)]
#[derive(Display)]
pub(super) enum Abort {
    /// the stand-in is down; clear the fault
    Down,
}

impl std::error::Error for Abort {}

/// Shared by all connections.
#[derive(Debug)]
pub(super) struct Store {
    origin: Instant,
    inner: Mutex<Inner>,
    moved: watch::Sender<()>,
}

#[derive(Debug)]
struct Inner {
    state: State,
    frozen: Option<State>,
    faults: Faults,
    counters: Counters,
    reads: Limit,
    writes: Limit,
}

impl Inner {
    fn readable(&self) -> &State {
        self.frozen.as_ref().unwrap_or(&self.state)
    }
}

impl Store {
    pub(super) fn new(settings: Settings) -> Self {
        let inner = Inner {
            state: State::default(),
            frozen: None,
            faults: Faults::default(),
            counters: Counters::default(),
            reads: Limit::new(settings.reads_per_second),
            writes: Limit::new(settings.writes_per_second),
        };
        Self {
            origin: Instant::now(),
            inner: Mutex::new(inner),
            moved: watch::Sender::new(()),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `change` and wakes the watches.
    fn change<T>(&self, change: impl FnOnce(&mut State, Time) -> T) -> T {
        let now = self.now();
        let mut inner = self.lock();
        inner.state.lapse(now);
        let result = change(&mut inner.state, now);
        drop(inner);
        self.moved.send_replace(());
        result
    }

    fn set_faults(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.frozen = match (faults.older, inner.frozen.take()) {
            (false, _) => None,
            (true, Some(frozen)) => Some(frozen),
            (true, None) => Some(inner.state.clone()),
        };
        inner.faults = faults;
        drop(inner);
        self.moved.send_replace(());
    }

    /// Takes one of the answers that are to be lost.
    fn loses_answer(&self) -> bool {
        let mut inner = self.lock();
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Waits as long as the faults say, or fails.
    async fn suffer_faults(&self) -> Result<(), Abort> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let mut moved = self.moved.subscribe();
        while self.lock().faults.hang {
            // The sender lives as long as the store.
            let _ = moved.changed().await;
        }
        if self.lock().faults.down {
            return Err(Abort::Down);
        }
        Ok(())
    }

    async fn watch(&self, watch: protocol::Watch) -> Result<Watched, Abort> {
        let deadline = Instant::now() + Duration::from_millis(watch.wait_ms);
        let mut moved = self.moved.subscribe();
        loop {
            moved.mark_unchanged();
            let faults = self.lock().faults;
            if faults.down {
                return Err(Abort::Down);
            }
            if faults.hang {
                pending::<()>().await;
            }
            let found = self.lock().readable().changes(&watch.prefix, watch.after);
            if let Some(watched) = found {
                return Ok(watched);
            }
            if timeout_at(deadline, moved.changed()).await.is_err() {
                return Ok(Watched::Changes {
                    revision: self.lock().readable().revision(),
                    changes: Vec::new(),
                });
            }
        }
    }
}

/// Counts a waiting watch for as long as it is held.
struct Waiting<'a>(&'a Store);

impl<'a> Waiting<'a> {
    fn new(store: &'a Store) -> Self {
        store.lock().counters.waiting += 1;
        Self(store)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().counters.waiting -= 1;
    }
}

/// Ends leases as their time passes.
pub(super) async fn lapse_leases(store: Arc<Store>) {
    loop {
        sleep_until(Instant::now() + LAPSE_INTERVAL).await;
        let now = store.now();
        let mut inner = store.lock();
        let before = inner.state.revision();
        inner.state.lapse(now);
        let moved = inner.state.revision() != before;
        drop(inner);
        if moved {
            store.moved.send_replace(());
        }
    }
}

type Answer = Result<Response<Full<Bytes>>, Abort>;

/// Answers one request.
pub(super) async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, REQUEST_LIMIT_BYTES).collect().await else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let body = body.to_bytes();
    match (parts.method, parts.uri.path()) {
        (Method::GET, "/-/counters") => {
            let counters = store.lock().counters;
            Ok(json(&counters))
        }
        (Method::GET, "/-/faults") => {
            let faults = store.lock().faults;
            Ok(json(&faults))
        }
        (Method::POST, "/-/faults") => Ok(set_faults(&store, &body)),
        (Method::POST, path) => call(&store, path, &body).await,
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn set_faults(store: &Store, body: &[u8]) -> Response<Full<Bytes>> {
    let Ok(faults) = serde_json::from_slice(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    store.set_faults(faults);
    json(&faults)
}

async fn call(store: &Store, path: &str, body: &Bytes) -> Answer {
    if !count(store, path, body.len()) {
        return Ok(status(StatusCode::TOO_MANY_REQUESTS));
    }
    store.suffer_faults().await?;
    let answer = answer_call(store, path, body).await?;
    let bytes = answer.body().size_hint().lower();
    store.lock().counters.bytes_out += bytes;
    Ok(answer)
}

async fn answer_call(store: &Store, path: &str, body: &Bytes) -> Answer {
    match path {
        protocol::GET | protocol::LIST => Ok(read(store, path, body)),
        protocol::WATCH => match parse::<protocol::Watch>(body) {
            Ok(watch) => {
                let _waiting = Waiting::new(store);
                Ok(json(&store.watch(watch).await?))
            }
            Err(code) => Ok(status(code)),
        },
        _ => write(store, path, body),
    }
}

/// Counts a call; tells whether the rate limit lets it pass.
fn count(store: &Store, path: &str, bytes: usize) -> bool {
    let now = store.now();
    let mut inner = store.lock();
    let is_read = matches!(path, protocol::GET | protocol::LIST | protocol::WATCH);
    let counters = &mut inner.counters;
    counters.bytes_in += bytes as u64;
    match path {
        protocol::GET => counters.gets += 1,
        protocol::LIST => counters.lists += 1,
        protocol::WATCH => counters.watches += 1,
        protocol::WRITE => counters.writes += 1,
        protocol::GRANT => counters.grants += 1,
        protocol::RENEW => counters.renewals += 1,
        protocol::REVOKE => counters.revocations += 1,
        _ => {}
    }
    let passes = if is_read {
        inner.reads.take(now)
    } else {
        inner.writes.take(now)
    };
    inner.counters.limited += u64::from(!passes);
    passes
}

fn read(store: &Store, path: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let result = if path == protocol::GET {
        parse(body).map(|get: protocol::Get| {
            let record = store.lock().readable().get(&get.key);
            json(&protocol::Got { record })
        })
    } else {
        parse(body).map(|list: protocol::List| {
            let listing = store.lock().readable().list(&list.prefix);
            json(&listing)
        })
    };
    result.unwrap_or_else(status)
}

fn write(store: &Store, path: &str, body: &[u8]) -> Answer {
    let response = match path {
        protocol::WRITE => parse(body).map(|write: Write| {
            let bytes = write.value.as_ref().map_or(0, String::len);
            if bytes > VALUE_LIMIT_BYTES {
                return status(StatusCode::PAYLOAD_TOO_LARGE);
            }
            json(&store.change(|state, _| state.write(write)))
        }),
        protocol::GRANT => parse(body).map(|grant: protocol::Grant| {
            let ttl = Duration::from_millis(grant.ttl_ms);
            json(&store.change(|state, now| state.grant(now, ttl)))
        }),
        protocol::RENEW => parse(body).map(|renew: protocol::Renew| {
            let alive = store.change(|state, now| state.renew(now, renew.lease));
            json(&protocol::Renewed { alive })
        }),
        protocol::REVOKE => parse(body).map(|revoke: protocol::Revoke| {
            store.change(|state, _| state.revoke(revoke.lease));
            json(&())
        }),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    };
    if store.loses_answer() {
        return Err(Abort::Down);
    }
    let response = response.unwrap_or_else(status);
    Ok(response)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    serde_json::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
