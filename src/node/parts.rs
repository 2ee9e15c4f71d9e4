//! The parts of a running node and how they are joined.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::control::Control;
use super::follow::Configure;
use super::listen::{Bound, Listeners};
use super::observe::Telemetry;
use super::path::{Blueprint, Path, Tuning};
use super::report::Reporter;
use crate::backend::{self, Current, Http};
use crate::call::{Admission, IdGenerator};
use crate::clock::Clock;
use crate::coordination::NoHandler;
use crate::dialect::Native;
use crate::entry;
use crate::gate::{self, Gate};
use crate::membership::{self, Epoch, Handle, Instance, Membership, State};
use crate::peer::Links;
use crate::plan::{Plan, Version};
use crate::routing::Location;
use crate::task::spawn_until;
use crate::telemetry::log::Identity;
use crate::telemetry::metric::Metrics;
use crate::telemetry::trace::Tracer;
use crate::{Result, Settings, sheet, store};

/// A node that serves.
pub struct Running {
    /// Announcement, view and plan.
    pub member: Arc<Membership>,
    /// Entry, links and gate.
    pub path: Path,
}

impl Running {
    /// Starts everything.
    pub async fn start(
        settings: Settings,
        identity: &Identity,
        listeners: Listeners,
        control: &Control,
        metrics: Metrics,
        tracer: Tracer,
    ) -> Result<Self> {
        let clock = Clock::start();
        let gate = Gate::new(gate::Settings::default(), clock.now());
        let admission = Admission::new(gate, clock);
        let upkeep = CancellationToken::new();
        let member = join(
            &settings,
            listeners.bound,
            listeners.control,
            control,
            Arc::clone(&admission),
            upkeep.clone(),
        )
        .await?;
        let handle = member.handle();
        let observer = Arc::new(Telemetry::new(metrics.clone(), tracer));
        let ids = IdGenerator::new(fresh_seed(&settings)).sample_per_10k(settings.trace_per_10k);
        let client = Arc::new(Http::new(
            settings.backend_server,
            backend::Settings::default(),
        ));
        let tuning = tuning();
        let path = Path::start(
            Blueprint {
                location: location(&settings),
                service: settings.service.clone(),
                handle: handle.clone(),
                snapshot_source: Arc::new(handle.clone()),
                links: Arc::new(Links::new(tuning.peer, observer.clone())),
                admission: Arc::clone(&admission),
                server: Arc::new(Current::fixed(&settings.service)),
                client: client.clone(),
                dialect: Arc::new(Native),
                local: Arc::default(),
                report_handler: Arc::new(NoHandler),
                configure: configure(Arc::clone(&admission), settings.service.clone()),
                clock,
                observer,
                ids: Arc::new(ids),
                seed: settings.seed,
                identity: identity.clone(),
                tuning,
            },
            listeners.caller,
            listeners.peer,
        );
        let reporter = Reporter {
            handle,
            admission: Arc::clone(&admission),
            metrics,
            cpu: control.reading(),
        };
        spawn_until(&path.upkeep, reporter.run());
        tokio::spawn(backend::watch(
            backend::Watch::default(),
            client,
            admission,
            path.upkeep.clone(),
        ));
        tokio::spawn(end_together(path.upkeep.clone(), upkeep));
        Ok(Self { member, path })
    }
}

/// Membership is started first and ends with the rest.
async fn end_together(path: CancellationToken, membership: CancellationToken) {
    path.cancelled().await;
    membership.cancel();
}

fn tuning() -> Tuning {
    Tuning {
        entry: entry::Settings {
            idempotency_key_delay: Some(
                membership::Settings::default().announcement_jitter_max * 2,
            ),
            ..entry::Settings::default()
        },
        ..Tuning::default()
    }
}

fn configure(admission: Arc<Admission>, service: String) -> Configure {
    Box::new(move |plan| {
        let Some(&key) = plan.service_names.get(&service) else {
            log::warn!("service {service} is not in the plan; this backend server gets no work");
            return;
        };
        let service = plan.service(key);
        admission.configure(gate::Settings {
            slots: service.slots,
            cold: service.cold,
            ..gate::Settings::default()
        });
    })
}

fn location(settings: &Settings) -> Location {
    Location {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    }
}

/// Ids must differ between two starts of one instance, unlike routing decisions.
fn fresh_seed(settings: &Settings) -> u64 {
    settings.seed ^ rand::random::<u64>()
}

async fn join(
    settings: &Settings,
    bound: Bound,
    listener: TcpListener,
    control: &Control,
    admission: Arc<Admission>,
    shutdown: CancellationToken,
) -> Result<Arc<Membership>> {
    let store_settings = store::http::Settings {
        seed: settings.seed,
        ..store::http::Settings::default()
    };
    let client = store::http::Http::new(settings.store, store_settings);
    let membership = membership::Settings {
        instance: announcement(settings, bound),
        compile,
        join: settings.join.clone(),
        seed: settings.seed,
        ..membership::Settings::default()
    };
    let report = move || membership::control::GateStatus {
        gate: admission.state().to_string(),
        in_hand: admission.in_hand(),
        queued: admission.queued(),
        limit: admission.limit(),
    };
    let starting = control.runtime().spawn(membership::start(
        membership, client, listener, report, shutdown,
    ));
    let member = starting.await.map_err(std::io::Error::other)?;
    Ok(Arc::new(member))
}

fn announcement(settings: &Settings, bound: Bound) -> Instance {
    Instance {
        name: settings.instance.clone(),
        epoch: Epoch::default(),
        service: settings.service.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        caller: settings.caller_advertise.unwrap_or(bound.caller),
        peer: settings.peer_advertise.unwrap_or(bound.peer),
        control: settings.control_advertise.unwrap_or(bound.control),
        state: State::Present,
        version: String::new(),
    }
}

fn compile(
    version: Version,
    text: &str,
) -> std::result::Result<Plan, Box<dyn std::error::Error + Send + Sync>> {
    let sheet = sheet::parse(text.as_bytes()).map_err(|faults| describe(&faults))?;
    Ok(sheet.plan(version))
}

/// The snapshot as the data path asks for it.
impl crate::call::SnapshotSource for Handle {
    fn snapshot(&self) -> Arc<membership::ClusterSnapshot> {
        Self::snapshot(self)
    }

    fn suspect(&self, instance: &str) {
        Self::suspect(self, instance);
    }
}

fn describe(faults: &[sheet::Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
