//! Watches the backend server's health endpoint.
//!
//! The endpoint may lag and mislead, so what it says is only a sign to the gate,
//! beside the signs that come with answers.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::{Admission, BodyError};
use crate::dialect::parse_state_signal;
use crate::gate::Signal;

use super::Client;

const HEALTH_PATH: &str = "/-/health";
const MAX_REPORT_BYTES: usize = 4 * 1024;

/// How often the endpoint is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Time between two questions.
    pub interval: Duration,
    /// Longest time an answer may take.
    pub timeout: Duration,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Report {
    state: String,
    #[serde(default)]
    boot: Option<String>,
}

/// Asks until `shutdown` and passes what it learns to the gate.
pub async fn watch(
    settings: Watch,
    client: Arc<dyn Client>,
    admission: Arc<Admission>,
    shutdown: CancellationToken,
) {
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        match timeout(settings.timeout, ask(client.as_ref())).await {
            Ok(Some(report)) => pass_on(&report, &admission),
            Ok(None) | Err(_) => admission.on_signal(Signal::Unhealthy),
        }
    }
}

async fn ask(client: &dyn Client) -> Option<Report> {
    let connection = client.connect(false).await.ok()?;
    let body = Empty::new()
        .map_err(|_| BodyError::Withdrawn)
        .boxed_unsync();
    let mut request = Request::new(body);
    *request.uri_mut() = http::Uri::from_static(HEALTH_PATH);
    let host = HeaderValue::from_static("backend-server");
    request.headers_mut().insert(header::HOST, host);
    let response = connection.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn pass_on(report: &Report, admission: &Admission) {
    if let Some(boot) = &report.boot {
        admission.on_signal(Signal::Boot(xxh3_64(boot.as_bytes())));
    }
    if let Some(signal) = parse_state_signal(report.state.as_bytes()) {
        admission.on_signal(signal);
    }
}
