//! A node on a platform: its backend server reports to it, and the platform asks
//! it whether it is ready.
//!
//! The node is the same as everywhere else; only who tells it what differs. A
//! [`Host`] translates the words of the platform, and decides nothing.

mod endpoint;
mod reload;
mod scrape;

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::time::{Instant, timeout, timeout_at};

use super::control::Reading;
use super::observe::Telemetry;
use super::path::{Blueprint, Path, spawn_until};
use super::report::Reporter;
use super::stop::Orders;
use super::{Stop, Tuning};
use crate::backend::registry::{self, Reaction, Registry, Report};
use crate::backend::{self, Current, Http};
use crate::call::{Admission, Ids, Observer, Situations};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::entry;
use crate::gate::{self, Gate};
use crate::membership::direct::{self, Member, Source};
use crate::membership::{Epoch, Instance, State};
use crate::peer::{self, Links};
use crate::routing::{self, Place};
use crate::store::Client;
use crate::telemetry::decision::Decisions;
use crate::telemetry::journal::Journal;
use crate::telemetry::log::Identity;
use crate::telemetry::metric::{Metrics, Scrape};
use crate::telemetry::trace::Tracer;
use crate::{Error, Result, telemetry};

pub use reload::{Reload, Reloaded};

/// What such a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the node runs.
    pub place: Place,
    /// Service beside the node.
    pub service: String,
    /// The backend server.
    pub backend_server: SocketAddr,
    /// Where callers are accepted.
    pub caller_listen: SocketAddr,
    /// Where calls from other nodes are accepted.
    pub peer_listen: SocketAddr,
    /// Where the backend server reports.
    pub report_listen: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are fetched, when they are.
    pub metrics_listen: Option<SocketAddr>,
    /// Lines below this level are not logged.
    pub log_level: log::LevelFilter,
    /// Time in which callers are answered and sent elsewhere before the node
    /// closes its address.
    pub linger: Duration,
    /// Longest time from the order to stop to the end.
    pub grace: Duration,
    /// Seed of routing decisions.
    pub seed: u64,
    /// How the backend server is looked after.
    pub registry: registry::Settings,
    /// Connections to the backend server.
    pub backend: backend::Settings,
    /// How the node follows the store.
    pub membership: direct::Settings,
    /// Settings of the slices on the data path.
    pub tuning: Tuning,
}

/// Share of the grace that a node uses; the rest covers its end.
pub const GRACE_SHARE: f64 = 0.8;

/// An address that nobody listens at.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Default for Settings {
    fn default() -> Self {
        Self {
            place: Place::default(),
            service: String::new(),
            backend_server: NOWHERE,
            caller_listen: NOWHERE,
            peer_listen: NOWHERE,
            report_listen: NOWHERE,
            ready_listen: NOWHERE,
            metrics_listen: None,
            log_level: log::LevelFilter::Info,
            linger: Duration::from_millis(2_300),
            grace: Duration::from_millis(4_800),
            seed: 0,
            registry: registry::Settings {
                gate: gate(),
                ..registry::Settings::default()
            },
            backend: backend::Settings {
                connect_timeout: Duration::from_millis(300),
                max_idle: Duration::from_secs(6),
                max_idle_fresh: Duration::from_secs(4),
                ..backend::Settings::default()
            },
            membership: direct::Settings::default(),
            tuning: tuning(),
        }
    }
}

/// The backend servers state their slots and their coldness, and differ in the
/// work of their calls, so neither is learned from the time of answers.
fn gate() -> gate::Settings {
    gate::Settings {
        fill: 0.8,
        queue_capacity: 128,
        initial_service_time: Duration::from_millis(100),
        slow_ratio: f64::INFINITY,
        pause_max: Duration::from_secs(1),
        ..gate::Settings::default()
    }
}

fn tuning() -> Tuning {
    Tuning {
        entry: entry::Settings {
            forwards_home: true,
            free_refusals: true,
            retry_after: Duration::from_millis(100),
            copy_after: 0.5,
            held_answer_bytes: 64 * 1024,
            ..entry::Settings::default()
        },
        peer: peer::Settings {
            connect_timeout: Duration::from_millis(300),
            ping_interval: Duration::from_millis(300),
            ping_timeout: Duration::from_millis(900),
            ..peer::Settings::default()
        },
        routing: routing::Settings {
            initial_service_time: Duration::from_millis(100),
            service_time_half_life: Duration::from_millis(300),
            recall_reserve: f64::INFINITY,
            retry_ratio: 0.06,
            retry_burst: 2.0,
            retry_floor_per_s: 0.0,
            copy_ratio: 0.06,
            copy_burst: 1.0,
            calls_half_life: 2.0,
            ..routing::Settings::default()
        },
        follows_loads: true,
    }
}

/// What is said to a node beside calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// The platform asks whether the node is ready.
    Ready,
    /// A backend server reports.
    Report(Report),
    /// A backend server leaves.
    Leave {
        /// Name of the process.
        process: String,
        /// When it was started, in milliseconds since 1970, where it said so.
        born_ms: Option<u64>,
    },
    /// It cannot be read, for this reason.
    Unreadable(String),
    /// There is nothing at this path.
    Unknown,
}

/// What a node answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Whether it is ready.
    Ready(bool),
    /// It has taken the word of the backend server in.
    Taken(Reaction),
    /// It could not read it, for this reason.
    Unreadable(String),
    /// There is nothing at this path.
    Unknown,
}

/// Translates the words of a platform.
pub trait Host: fmt::Debug + Send + Sync + 'static {
    /// Reads what is said to the node.
    fn read(&self, request: &Request<Bytes>) -> Word;

    /// Writes what the node answers.
    fn write(&self, reply: &Reply) -> Response<Full<Bytes>>;
}

/// The translations that a platform brings.
#[derive(Debug)]
pub struct Platform<C> {
    /// Calls of the store.
    pub store: C,
    /// The operators' records.
    pub source: Arc<dyn Source>,
    /// Headers of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Words beside calls.
    pub host: Arc<dyn Host>,
    /// Settings that may change while the node runs.
    pub reload: Reload,
}

/// Runs a node until it is ordered to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or the runtime cannot be made.
pub fn run<C: Client>(settings: Settings, platform: Platform<C>) -> Result<Stop> {
    let identity = Identity::new(&settings.place.instance, &settings.place.zone);
    let journal = Journal::start(std::io::stdout())?;
    telemetry::log::init_journal(journal.clone(), identity.clone(), settings.log_level)?;
    let scrape = Arc::new(Scrape::new()?);
    let metrics = Metrics::kept(Arc::clone(&scrape));
    let decisions = Decisions::new(journal, identity.clone());
    let telemetry = Telemetry::new(metrics.clone(), Tracer::none()).with_decisions(decisions);
    let tellers = Tellers {
        observer: Arc::new(telemetry),
        identity,
        metrics,
        scrape,
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let stop = runtime.block_on(serve(settings, platform, tellers));
    runtime.shutdown_background();
    stop
}

async fn serve<C: Client>(
    settings: Settings,
    platform: Platform<C>,
    tellers: Tellers,
) -> Result<Stop> {
    let mut orders = Orders::listen()?;
    let running = Running::start(&settings, platform, tellers).await?;
    log::info!(
        "started: callers are accepted at {}",
        settings.caller_listen
    );
    orders.next().await;
    Ok(running.stop(&settings, &mut orders).await)
}

/// What tells of a node.
struct Tellers {
    observer: Arc<dyn Observer>,
    identity: Identity,
    metrics: Metrics,
    scrape: Arc<Scrape>,
}

struct Running {
    path: Path,
    member: Arc<Member>,
    registry: Arc<Registry>,
    open: Arc<AtomicBool>,
}

impl Running {
    async fn start<C: Client>(
        settings: &Settings,
        platform: Platform<C>,
        tellers: Tellers,
    ) -> Result<Self> {
        let Tellers {
            observer,
            identity,
            metrics,
            scrape,
        } = tellers;
        let callers = bind(settings.caller_listen).await?;
        let peers = bind(settings.peer_listen).await?;
        let reports = bind(settings.report_listen).await?;
        let ready = bind(settings.ready_listen).await?;
        let clock = Clock::start();
        let upkeep = tokio_util::sync::CancellationToken::new();
        let Platform {
            store,
            source,
            dialect,
            host,
            reload,
        } = platform;
        let member = direct::start(settings.membership.clone(), store, &source, clock, &upkeep);
        let member = Arc::new(member);
        let handle = member.handle();
        let gate = Gate::new(settings.registry.gate, clock.now());
        let admission = Admission::new(gate, clock);
        let server = Arc::new(Current::default());
        let client = Arc::new(Http::new(settings.backend_server, settings.backend));
        let registry = Registry::new(registry::Parts {
            instance: instance(settings),
            address: settings.backend_server,
            server: Arc::clone(&server),
            admission: Arc::clone(&admission),
            client: Arc::clone(&client),
            dialect: Arc::clone(&dialect),
            member: Arc::clone(&member),
            settings: settings.registry,
        });
        let links = Arc::new(Links::new(settings.tuning.peer, Arc::clone(&observer)));
        member.meet(links.clone());
        let situations: Arc<dyn Situations> = Arc::new(member.board());
        let configured = Arc::clone(&registry);
        let path = Path::start(
            Blueprint {
                place: settings.place.clone(),
                service: settings.service.clone(),
                handle: handle.clone(),
                situations,
                links,
                admission,
                server,
                client,
                dialect,
                configure: Box::new(move |plan| configured.take_up(plan)),
                clock,
                observer,
                ids: Arc::new(Ids::new(settings.seed ^ rand::random::<u64>())),
                seed: settings.seed,
                identity,
                tuning: settings.tuning,
            },
            callers,
            peers,
        );
        let open = Arc::new(AtomicBool::new(true));
        let desk = Arc::new(endpoint::Desk {
            host,
            registry: Arc::clone(&registry),
            open: Arc::clone(&open),
            handle: handle.clone(),
        });
        spawn_until(&path.upkeep, endpoint::serve(reports, Arc::clone(&desk)));
        spawn_until(&path.upkeep, endpoint::serve(ready, desk));
        if let Some(address) = settings.metrics_listen {
            match bind(address).await {
                Ok(listener) => spawn_until(&path.upkeep, scrape::serve(listener, scrape)),
                Err(error) => log::warn!("metrics are not offered: {error}"),
            }
        }
        let reporter = Reporter {
            handle: handle.clone(),
            admission: Arc::clone(&path.admission),
            metrics,
            cpu: Reading::default(),
        };
        spawn_until(&path.upkeep, reporter.run());
        spawn_until(&path.upkeep, reload.run());
        let watched = Arc::clone(&registry).run(Arc::new(handle));
        spawn_until(&path.upkeep, watched);
        Ok(Self {
            path,
            member,
            registry,
            open,
        })
    }

    /// Callers are answered and sent elsewhere, then what is in hand is finished.
    async fn stop(self, settings: &Settings, orders: &mut Orders) -> Stop {
        let deadline = Instant::now() + settings.grace;
        log::info!("stopping: {} calls in hand", self.path.in_hand());
        self.open.store(false, Ordering::Relaxed);
        self.path.stopping.cancel();
        self.path.admission.drain();
        self.registry.stop();
        let member = Arc::clone(&self.member);
        let leaving = tokio::spawn(async move { member.leave().await });
        // A second order ends the wait.
        let _ = timeout(settings.linger, orders.next()).await;
        // A panic of the task has been printed already.
        let _ = leaving.await;
        let admission = Arc::clone(&self.path.admission);
        let finished = timeout_at(deadline, self.path.finish()).await;
        if finished.is_ok() {
            log::info!("stopped: nothing was cut");
            return Stop::Graceful;
        }
        log::warn!("stopped: {} calls were cut", admission.in_hand());
        Stop::Cut
    }
}

fn instance(settings: &Settings) -> Instance {
    Instance {
        name: settings.place.instance.clone(),
        epoch: Epoch::default(),
        service: settings.service.clone(),
        region: settings.place.region.clone(),
        zone: settings.place.zone.clone(),
        caller: settings.caller_listen,
        peer: settings.peer_listen,
        control: settings.report_listen,
        state: State::Present,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen {
            address: address.to_string(),
            source,
        })
}
