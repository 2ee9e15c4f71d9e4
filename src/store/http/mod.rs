//! The store over HTTP/1.1. Its [`Protocol`] may be [`Json`], as docs/STORE.md
//! describes it, or that of a platform.
//!
//! A call is tried again only when it certainly had no effect, or when it has
//! none by its kind. A write whose answer is lost is reported as unknown.

mod backoff;
mod budget;
mod era;
mod json;
pub mod protocol;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::uri::{Authority, Scheme};
use http::{HeaderMap, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::time::{sleep, timeout};

use super::{Client, Error, Lease, Listing, Outcome, Record, Result, Revision, Watched, Write};

use backoff::Backoff;
use budget::Budget;
use era::{KnownEra, WentBack};
use protocol::{Answer, Call, Failure, Page, Protocol, refused};

pub use json::Json;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Time a watch may take beyond its wait.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// How the client behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest time one attempt may take.
    pub attempt_timeout: Duration,
    /// Longest time a connection may take to open.
    pub connect_timeout: Duration,
    /// Attempts a call may take.
    pub attempts: u32,
    /// Upper bound of the wait before the second attempt; it doubles.
    pub backoff_base: Duration,
    /// Upper bound of any wait between attempts.
    pub backoff_limit: Duration,
    /// Calls a second that the node may make over time.
    pub calls_per_second: f64,
    /// Calls the node may make at once after a quiet time.
    pub burst_calls: f64,
    /// Time without a sign of life after which a connection is given up.
    pub silence_limit: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempt_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            attempts: 3,
            backoff_base: Duration::from_millis(50),
            backoff_limit: Duration::from_secs(1),
            calls_per_second: 12.0,
            burst_calls: 24.0,
            silence_limit: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Client of one store.
#[derive(Debug)]
pub struct Http<P = Json> {
    address: SocketAddr,
    settings: Settings,
    protocol: P,
    pool: Pool<HttpConnector, Full<Bytes>>,
    pace: Mutex<Pace>,
    era: KnownEra,
}

#[derive(Debug)]
struct Pace {
    budget: Budget,
    rng: ChaCha8Rng,
}

impl Http {
    /// A client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self::with_protocol(address, settings, Json)
    }
}

impl<P: Protocol> Http<P> {
    /// A client of a store that speaks `protocol`.
    #[must_use]
    pub fn with_protocol(address: SocketAddr, settings: Settings, protocol: P) -> Self {
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .retry_canceled_requests(false)
            .build(connector(&settings));
        let pace = Pace {
            budget: Budget::new(settings.calls_per_second, settings.burst_calls),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Self {
            address,
            settings,
            protocol,
            pool,
            pace: Mutex::new(pace),
            era: KnownEra::default(),
        }
    }

    /// Makes a call that changes nothing, or nothing but what it may change twice.
    async fn read(&self, call: &Call<'_>) -> Result<Answer> {
        let mut backoff = self.backoff();
        loop {
            match self.attempt(call).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::NoEffect(error) | Failure::Unknown(error)) => {
                    self.wait(&mut backoff).await.ok_or(error)?;
                }
            }
        }
    }

    async fn attempt(&self, call: &Call<'_>) -> std::result::Result<Answer, Failure> {
        if let Some(answer) = era::outdated_answer(call, self.era.get()) {
            return Ok(answer);
        }
        if !self.pace().budget.take() {
            return Err(Failure::Final(Error::Budget));
        }
        let limit = match call {
            Call::Watch { wait, .. } => *wait + WATCH_GRACE,
            _ => self.settings.attempt_timeout,
        };
        match timeout(limit, self.exchange(call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Failure::Unknown(self.unreachable("no answer in time"))),
        }
    }

    async fn exchange(&self, call: &Call<'_>) -> std::result::Result<Answer, Failure> {
        let (mut head, body) = self.request(call)?.into_parts();
        head.uri = self.target(&head.uri)?;
        let request = http::Request::from_parts(head, Full::new(body));
        let response = self.pool.request(request).await.map_err(|error| {
            let cause = self.unreachable(&error.to_string());
            if error.is_connect() {
                Failure::NoEffect(cause)
            } else {
                Failure::Unknown(cause)
            }
        })?;
        let status = response.status();
        let era = self.observe_era(response.headers())?;
        let answer = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| Failure::Unknown(self.unreachable(&error.to_string())))?
            .to_bytes();
        let answer = self.protocol.answer(call, status, &answer)?;
        Ok(era::lift(call, era, answer))
    }

    /// The request of a call, with revisions as the store counts.
    fn request(&self, call: &Call<'_>) -> std::result::Result<http::Request<Bytes>, Failure> {
        match *call {
            Call::Write(write) => self
                .protocol
                .request(&Call::Write(&era::lower_write(write))),
            Call::Watch {
                prefix,
                after,
                wait,
            } => self.protocol.request(&Call::Watch {
                prefix,
                after: Revision(after.within_era()),
                wait,
            }),
            _ => self.protocol.request(call),
        }
    }

    /// Era of an answer. One that goes back is a fault of the store, or comes late.
    fn observe_era(&self, headers: &HeaderMap) -> std::result::Result<u32, Failure> {
        let told = self.protocol.era(headers).unwrap_or_else(|cause| {
            log::warn!("the store's era cannot be read ({cause}); the newest one known stays");
            None
        });
        self.era.observe(told).map_err(|WentBack { known, told }| {
            log::warn!(
                "an answer of the store is from era {told}, before era {known}; it is not followed"
            );
            Failure::Unknown(refused(&"its era went back"))
        })
    }

    /// The whole target, as the pool finds connections by it.
    fn target(&self, target: &Uri) -> std::result::Result<Uri, Failure> {
        let mut parts = target.clone().into_parts();
        parts.scheme = Some(Scheme::HTTP);
        let authority = Authority::try_from(self.address.to_string());
        let broken = |error: &dyn std::fmt::Display| Failure::Final(refused(error));
        parts.authority = Some(authority.map_err(|error| broken(&error))?);
        Uri::from_parts(parts).map_err(|error| broken(&error))
    }

    /// Waits before the next attempt; nothing when none is left.
    async fn wait(&self, backoff: &mut Backoff) -> Option<()> {
        let pause = backoff.next(&mut self.pace().rng)?;
        sleep(pause).await;
        Some(())
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(
            self.settings.attempts,
            self.settings.backoff_base,
            self.settings.backoff_limit,
        )
    }

    fn pace(&self) -> std::sync::MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unreachable(&self, cause: &str) -> Error {
        Error::Unreachable {
            address: self.address.to_string(),
            cause: cause.to_owned(),
        }
    }

    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        match self.read(&Call::List { prefix, after }).await? {
            Answer::Page(page) => Ok(page),
            other => Err(unexpected(&other)),
        }
    }
}

/// A connection that falls silent shows only by probes of the system.
fn connector(settings: &Settings) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(settings.connect_timeout));
    connector.set_keepalive(Some(settings.silence_limit / 2));
    connector.set_keepalive_interval(Some(settings.silence_limit / 2));
    connector.set_keepalive_retries(Some(2));
    connector
}

/// An answer to another kind of call is a fault of the protocol.
fn unexpected(answer: &Answer) -> Error {
    refused(&format!("its answer does not fit the call: {answer:?}"))
}

impl<P: Protocol> Client for Http<P> {
    async fn get(&self, key: &str) -> Result<Option<Record>> {
        match self.read(&Call::Get { key }).await? {
            Answer::Record(record) => Ok(record),
            other => Err(unexpected(&other)),
        }
    }

    /// Pages are no snapshot; with the revision of the first, a watch that
    /// continues from it misses nothing.
    async fn list(&self, prefix: &str) -> Result<Listing> {
        let mut page = self.page(prefix, None).await?;
        let mut listing = page.listing;
        while let Some(after) = page.next {
            page = self.page(prefix, Some(&after)).await?;
            listing.records.append(&mut page.listing.records);
        }
        Ok(listing)
    }

    async fn write(&self, write: Write) -> Result<Outcome> {
        let mut backoff = self.backoff();
        loop {
            match self.attempt(&Call::Write(&write)).await {
                Ok(Answer::Written(outcome)) => return Ok(outcome),
                Ok(_) | Err(Failure::Unknown(_)) => return Ok(Outcome::Unknown),
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::NoEffect(error)) => {
                    self.wait(&mut backoff).await.ok_or(error)?;
                }
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease> {
        match self.attempt(&Call::Grant { ttl }).await? {
            Answer::Granted(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        match self.attempt(&Call::Renew { lease }).await? {
            Answer::Renewed(alive) => Ok(alive),
            other => Err(unexpected(&other)),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        match self.read(&Call::Revoke { lease }).await? {
            Answer::Revoked => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
        let call = Call::Watch {
            prefix,
            after,
            wait,
        };
        match self.attempt(&call).await? {
            Answer::Watched(watched) => Ok(watched),
            other => Err(unexpected(&other)),
        }
    }
}
