//! What two nodes add to a call.
//!
//! The same calls go straight to a backend server and through two nodes, half
//! of them each, interleaved in one run. The figures are differences between
//! the percentiles of both halves.

use std::io;
use std::time::{Duration, Instant};

use http::Method;
use serde::Serialize;

use super::demo::{Deployment, wait_until_announced, wait_until_in_force};
use super::fleet::{self, Fleet, Programs, Spec};
use super::operator::Operator;
use super::promises::Ledger;
use super::report::{Figures, rounded};
use super::traffic;
use crate::plan::Version;
use crate::standin::backend;
use crate::standin::caller::{self, Books, Kind, Target};

/// Time for gate and backend server to leave cold start.
const WARM_UP: Duration = Duration::from_secs(6);
const WARM_UP_RATE: f64 = 100.0;
const BODY_BYTES: usize = 1_024;
const PATIENCE: Duration = Duration::from_secs(10);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Time during which calls are made.
    pub duration: Duration,
    /// Mean number of calls a second, both halves together.
    pub rate: f64,
    /// Seed of every random choice.
    pub seed: u64,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Figures of the calls through two nodes.
    #[serde(flatten)]
    pub figures: Figures,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Difference of the 99.9th percentiles.
    pub added_p999_ms: f64,
}

impl Overhead {
    /// One JSON object on one line.
    #[must_use]
    pub fn to_json(&self) -> String {
        // The struct has neither maps nor fallible fields.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Measures.
///
/// # Errors
///
/// Fails when a process cannot be started.
pub async fn run(settings: Settings, progress: impl FnMut(Duration)) -> io::Result<Overhead> {
    let sheet = Deployment::Farm.sheet();
    let plan = sheet.plan(Version::default());
    let mut fleet = Fleet::start(fleet::Settings {
        programs: settings.programs,
        upstreams: pair(traffic::upstreams(&plan, settings.seed)),
        node_flags: Vec::new(),
        wired: false,
    })
    .await?;
    let version = Operator::new(fleet.store(), sheet).apply().await?;
    wait_until_in_force(&fleet, version).await?;
    wait_until_announced(&fleet).await?;
    let calls = caller::Settings {
        kinds: vec![kind()],
        rate: settings.rate / 2.0,
        duration: settings.duration,
        seed: settings.seed,
        ..caller::Settings::default()
    };
    let straight = with_target(&calls, fleet.upstreams()[0].backend_address);
    let entry = fleet.upstreams()[1].ready.caller;
    let entry = entry.ok_or_else(|| io::Error::other("the node names no address"))?;
    let through = caller::Settings {
        seed: settings.seed + 1,
        ..with_target(&calls, entry)
    };
    warm_up(&through).await;
    let origin = Instant::now();
    let straight = caller::run(straight, origin, |_| {});
    let through = caller::run(through, origin, progress);
    let (straight, through) = tokio::join!(straight, through);
    fleet.stop().await;
    Ok(compare(&straight, &through))
}

/// A backend server of the first service, and the node of one of the other
/// service in the same availability zone as the entry.
fn pair(upstreams: Vec<Spec>) -> Vec<Spec> {
    let Some(first) = upstreams.first().map(|spec| spec.place.clone()) else {
        return Vec::new();
    };
    let in_zone = upstreams.into_iter();
    let in_zone = in_zone.filter(|spec| spec.place.zone == first.zone);
    in_zone
        .map(|spec| Spec {
            backend: backend::Settings {
                service_time: Duration::ZERO,
                noise: 0.0,
                ..spec.backend
            },
            ..spec
        })
        .collect()
}

fn kind() -> Kind {
    Kind {
        route: "odber calendar".into(),
        service: "odber".into(),
        tenant: None,
        method: Method::GET,
        path: "/calendar/1".into(),
        idempotent: true,
        keyed: false,
        home: Vec::new(),
        request_bytes: 0,
        answer_bytes: BODY_BYTES,
        patience: PATIENCE,
    }
}

fn with_target(calls: &caller::Settings, address: std::net::SocketAddr) -> caller::Settings {
    let target = Target {
        address,
        region: None,
    };
    caller::Settings {
        targets: vec![target],
        ..calls.clone()
    }
}

async fn warm_up(calls: &caller::Settings) {
    let calls = caller::Settings {
        rate: WARM_UP_RATE,
        duration: WARM_UP,
        seed: calls.seed + 1,
        ..calls.clone()
    };
    caller::run(calls, Instant::now(), |_| {}).await;
}

fn compare(straight: &Books, through: &Books) -> Overhead {
    let mut ledger = Ledger::default();
    ledger.check_answers(straight);
    ledger.check_answers(through);
    let (straight, through) = (straight.row(|_| true), through.row(|_| true));
    let added = |percent| rounded(through.percentile_ms(percent) - straight.percentile_ms(percent));
    Overhead {
        figures: Figures::new(&through, &ledger),
        added_p50_ms: added(50.0),
        added_p99_ms: added(99.0),
        added_p999_ms: added(99.9),
    }
}
