//! The store over HTTP/1.1 with JSON bodies, as docs/STORE.md describes it.
//!
//! A call is tried again only when it certainly had no effect, or when it has
//! none by its kind. A write whose answer is lost is reported as unknown.

mod backoff;
mod budget;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use super::{
    Client, Error, Lease, Listing, Outcome, Record, Result, Revision, Watched, Write, protocol,
};

use backoff::Backoff;
use budget::Budget;

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
            seed: 0,
        }
    }
}

/// Client of one store.
#[derive(Debug)]
pub struct Http {
    address: SocketAddr,
    settings: Settings,
    pool: Pool<HttpConnector, Full<Bytes>>,
    pace: Mutex<Pace>,
}

#[derive(Debug)]
struct Pace {
    budget: Budget,
    rng: ChaCha8Rng,
}

/// How one attempt failed.
enum Failure {
    /// The request certainly had no effect.
    NoEffect(Error),
    /// The request may have had its effect.
    Unknown(Error),
    /// The store answered that it will not do it.
    Final(Error),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NoEffect(error) | Failure::Unknown(error) | Failure::Final(error) => error,
        }
    }
}

impl Http {
    /// A client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .retry_canceled_requests(false)
            .build(connector);
        let pace = Pace {
            budget: Budget::new(settings.calls_per_second, settings.burst_calls),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Self {
            address,
            settings,
            pool,
            pace: Mutex::new(pace),
        }
    }

    /// Makes a call that changes nothing, or nothing but what it may change twice.
    async fn read<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
        limit: Duration,
    ) -> Result<A> {
        let mut backoff = self.backoff();
        loop {
            match self.attempt(path, question, limit).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::NoEffect(error) | Failure::Unknown(error)) => {
                    self.wait(&mut backoff).await.ok_or(error)?;
                }
            }
        }
    }

    async fn attempt<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
        limit: Duration,
    ) -> std::result::Result<A, Failure> {
        if !self.pace().budget.take() {
            return Err(Failure::Final(Error::Budget));
        }
        let body = serde_json::to_vec(question).map_err(|error| Failure::Final(refused(&error)))?;
        match timeout(limit, self.exchange(path, body)).await {
            Ok(answer) => decode(&answer?),
            Err(_) => Err(Failure::Unknown(self.unreachable("no answer in time"))),
        }
    }

    async fn exchange(&self, path: &str, body: Vec<u8>) -> std::result::Result<Bytes, Failure> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Failure::Final(refused(&error)))?;
        let response = self.pool.request(request).await.map_err(|error| {
            let cause = self.unreachable(&error.to_string());
            if error.is_connect() {
                Failure::NoEffect(cause)
            } else {
                Failure::Unknown(cause)
            }
        })?;
        let status = response.status();
        let answer = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| Failure::Unknown(self.unreachable(&error.to_string())))?
            .to_bytes();
        match status {
            StatusCode::OK => Ok(answer),
            StatusCode::TOO_MANY_REQUESTS => Err(Failure::NoEffect(refused(&status))),
            _ if status.is_client_error() => Err(Failure::Final(refused(&status))),
            _ => Err(Failure::Unknown(refused(&status))),
        }
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
}

impl Client for Http {
    async fn get(&self, key: &str) -> Result<Option<Record>> {
        let question = protocol::Get { key: key.into() };
        let limit = self.settings.attempt_timeout;
        let got: protocol::Got = self.read(protocol::GET, &question, limit).await?;
        Ok(got.record)
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let question = protocol::List {
            prefix: prefix.into(),
        };
        let limit = self.settings.attempt_timeout;
        self.read(protocol::LIST, &question, limit).await
    }

    async fn write(&self, write: Write) -> Result<Outcome> {
        let limit = self.settings.attempt_timeout;
        let mut backoff = self.backoff();
        loop {
            let answer = self.attempt(protocol::WRITE, &write, limit).await;
            match answer {
                Ok(protocol::Written::Applied(revision)) => return Ok(Outcome::Applied(revision)),
                Ok(protocol::Written::NotApplied(record)) => {
                    return Ok(Outcome::NotApplied(record));
                }
                Err(Failure::Unknown(_)) => return Ok(Outcome::Unknown),
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::NoEffect(error)) => {
                    self.wait(&mut backoff).await.ok_or(error)?;
                }
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease> {
        let question = protocol::Grant {
            ttl_ms: millis(ttl),
        };
        let limit = self.settings.attempt_timeout;
        Ok(self.attempt(protocol::GRANT, &question, limit).await?)
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        let question = protocol::Renew { lease };
        let limit = self.settings.attempt_timeout;
        let renewed: protocol::Renewed = self.attempt(protocol::RENEW, &question, limit).await?;
        Ok(renewed.alive)
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let question = protocol::Revoke { lease };
        let limit = self.settings.attempt_timeout;
        self.read(protocol::REVOKE, &question, limit).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
        let question = protocol::Watch {
            prefix: prefix.into(),
            after,
            wait_ms: millis(wait),
        };
        Ok(self
            .attempt(protocol::WATCH, &question, wait + WATCH_GRACE)
            .await?)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn refused(cause: &dyn std::fmt::Display) -> Error {
    Error::Refused {
        cause: cause.to_string(),
    }
}

fn decode<A: DeserializeOwned>(answer: &[u8]) -> std::result::Result<A, Failure> {
    serde_json::from_slice(answer).map_err(|error| Failure::Unknown(refused(&error)))
}
