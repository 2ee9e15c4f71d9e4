//! A node on a platform: its backend server reports to it, and the platform asks
//! it whether it is ready.
//!
//! The node is the same as everywhere else; only who tells it what differs. A
//! [`Host`] translates the words of the platform, and decides nothing.

mod bounds;
mod endpoint;
mod reload;
mod scrape;
mod settings;
#[cfg(test)]
mod tests;
mod word;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::runtime::Builder;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use super::Stop;
use super::control::Reading;
use super::listen::bind;
use super::observe::Telemetry;
use super::path::{Blueprint, Path};
use super::report::Reporter;
use super::stop::Orders;
use crate::backend::registry::{self, Registry};
use crate::backend::{Current, Http};
use crate::call::{Admission, IdGenerator, Observer, SnapshotSource};
use crate::clock::Clock;
use crate::coordination::{Coordinator, Local, StatusFormat, StatusStore};
use crate::dialect::Dialect;
use crate::gate::Gate;
use crate::membership::direct::{self, GossipTransport, Membership, PlanSource};
use crate::membership::{Epoch, Instance, State};
use crate::peer::Links;
use crate::store::Client;
use crate::task::spawn_until;
use crate::telemetry::decision::Decisions;
use crate::telemetry::journal::Journal;
use crate::telemetry::log::Identity;
use crate::telemetry::metric::{Metrics, Scrape};
use crate::telemetry::trace::Tracer;
use crate::{Result, telemetry};

pub use bounds::Bounds;
pub use reload::{Reload, Reloaded};
pub use settings::Settings;
pub use word::{Host, Reply, Word};

/// The translations that a platform brings.
#[derive(Debug)]
pub struct Platform<C> {
    /// Calls of the store.
    pub store: C,
    /// The operators' records.
    pub source: Arc<dyn PlanSource>,
    /// Status of roll-outs in the store.
    pub status: Arc<dyn StatusFormat>,
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
    let identity = Identity::new(&settings.location.instance, &settings.location.zone);
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
    member: Arc<Membership>,
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
        let upkeep = CancellationToken::new();
        let Platform {
            store,
            source,
            status,
            dialect,
            host,
            reload,
        } = platform;
        let (member, coordinator) = join(settings, store, &source, status, clock, &upkeep);
        let handle = member.handle();
        let local = Arc::new(Local::default());
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
            health_client: Arc::new(Http::new(settings.backend_server, settings.backend)),
            dialect: Arc::clone(&dialect),
            member: Arc::clone(&member),
            local: Arc::clone(&local),
            settings: settings.registry,
            clock,
        });
        let links = Arc::new(Links::new(settings.tuning.peer, Arc::clone(&observer)));
        let transport: Arc<dyn GossipTransport> = links.clone();
        member.start_gossip(&transport);
        let snapshot_source: Arc<dyn SnapshotSource> = Arc::new(member.snapshot_source());
        let configured = Arc::clone(&registry);
        let path = Path::start(
            Blueprint {
                location: settings.location.clone(),
                service: settings.service.clone(),
                handle: handle.clone(),
                snapshot_source,
                links,
                admission,
                server,
                client,
                dialect,
                local,
                report_handler: coordinator,
                configure: Box::new(move |plan| configured.take_up(plan)),
                clock,
                observer,
                ids: Arc::new(IdGenerator::new(settings.seed ^ rand::random::<u64>())),
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
            offer_metrics(address, scrape, &path.upkeep).await;
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
        log::info!(
            "stopping: {} connections of callers are open, {} calls are at the gate",
            self.path.entry.open_connections(),
            self.path.in_hand(),
        );
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
        let entry = Arc::clone(&self.path.entry);
        let finished = timeout_at(deadline, self.path.finish()).await;
        // A farewell that came meanwhile binds the next process too.
        let _ = timeout_at(deadline, self.member.leave()).await;
        let stop = if finished.is_ok() {
            log::info!("stopped: nothing was cut");
            Stop::Graceful
        } else {
            log::warn!(
                "stopped: {} connections of callers and {} calls at the gate were cut",
                entry.open_connections(),
                admission.in_hand(),
            );
            Stop::Cut
        };
        log::logger().flush();
        stop
    }
}

async fn offer_metrics(address: SocketAddr, scrape: Arc<Scrape>, upkeep: &CancellationToken) {
    match bind(address).await {
        Ok(listener) => spawn_until(upkeep, scrape::serve(listener, scrape)),
        Err(error) => log::warn!("metrics are not offered: {error}"),
    }
}

/// Starts membership, and the coordinator that this node may become.
fn join<C: Client>(
    settings: &Settings,
    store: C,
    source: &Arc<dyn PlanSource>,
    format: Arc<dyn StatusFormat>,
    clock: Clock,
    upkeep: &CancellationToken,
) -> (Arc<Membership>, Arc<Coordinator>) {
    let client = Arc::new(store);
    let membership = settings.membership.clone();
    let member = direct::start(membership, Arc::clone(&client), source, clock, upkeep);
    let status = Arc::new(StatusStore { client, format });
    let coordinator = Coordinator::new(settings.coordination, clock, member.handle(), status);
    (Arc::new(member), coordinator)
}

fn instance(settings: &Settings) -> Instance {
    Instance {
        name: settings.location.instance.clone(),
        epoch: Epoch::default(),
        service: settings.service.clone(),
        region: settings.location.region.clone(),
        zone: settings.location.zone.clone(),
        caller: settings.caller_listen,
        peer: settings.peer_listen,
        control: settings.report_listen,
        state: State::Present,
        version: String::new(),
    }
}
