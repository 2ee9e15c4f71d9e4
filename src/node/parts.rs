//! The parts of a running node and how they are joined.

use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::control::Control;
use super::follow::Follower;
use super::listen::{Bound, Listeners};
use super::observe::Telemetry;
use super::report::Reporter;
use crate::backend::{self, Current, Executor, Http};
use crate::call::claim::Claims;
use crate::call::{Admission, Ids, Observer};
use crate::clock::Clock;
use crate::dialect::Native;
use crate::entry::{self, Entry};
use crate::gate::{self, Gate};
use crate::membership::{self, Epoch, Handle, Instance, Member, State};
use crate::peer::{self, Links};
use crate::plan::{Plan, Version};
use crate::routing::{self, Place, Router};
use crate::telemetry::log::Identity;
use crate::telemetry::metric::Metrics;
use crate::telemetry::trace::Tracer;
use crate::{Result, Settings, sheet, store};

/// A node that serves.
pub struct Running {
    /// Announcement, view and plan.
    pub member: Arc<Member>,
    /// Gate of the backend server.
    pub admission: Arc<Admission>,
    serving: CancellationToken,
    upkeep: CancellationToken,
    servers: Vec<JoinHandle<()>>,
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
        let serving = CancellationToken::new();
        let upkeep = CancellationToken::new();
        let place = place(&settings);
        let gate = Gate::new(gate::Settings::default(), clock.now());
        let admission = Admission::new(gate, clock);
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
        let telemetry = Telemetry::new(metrics.clone(), tracer);
        let observer: Arc<dyn Observer> = Arc::new(telemetry);
        let ids = Ids::new(fresh_seed(&settings)).keep_per_10k(settings.trace_per_10k);
        let ids = Arc::new(ids);
        let client = Arc::new(Http::new(
            settings.backend_server,
            backend::Settings::default(),
        ));
        let executor = Arc::new(Executor {
            place: place.clone(),
            server: Arc::new(Current::fixed(&settings.service)),
            dialect: Arc::new(Native),
            situations: Arc::new(handle.clone()),
            admission: Arc::clone(&admission),
            client: client.clone(),
            clock,
            observer: Arc::clone(&observer),
            ids: Arc::clone(&ids),
            claims: Claims::default(),
        });
        let router = Router::new(routing::Settings::default(), place.clone(), settings.seed);
        let router = Arc::new(Mutex::new(router));
        let peer_settings = peer::Settings::default();
        let links = Arc::new(Links::new(peer_settings, Arc::clone(&observer)));
        let entry = Entry::new(entry::Parts {
            place,
            service: settings.service.clone(),
            situations: Arc::new(handle.clone()),
            router: Arc::clone(&router),
            executor: Arc::clone(&executor),
            links,
            clock,
            dialect: Arc::new(Native),
            observer,
            ids,
            settings: entry::Settings {
                keys_after: membership::Settings::default().announcement_spread * 2,
                ..entry::Settings::default()
            },
        });
        let follower = Follower {
            handle: handle.clone(),
            router,
            admission: Arc::clone(&admission),
            clock,
            service: settings.service.clone(),
            zone: settings.zone.clone(),
            identity: identity.clone(),
        };
        let reporter = Reporter {
            handle,
            admission: Arc::clone(&admission),
            metrics,
            cpu: control.reading(),
        };
        spawn_until(&upkeep, follower.run());
        spawn_until(&upkeep, reporter.run());
        tokio::spawn(Arc::clone(&admission).run(upkeep.clone()));
        tokio::spawn(backend::watch(
            backend::Watch::default(),
            client,
            Arc::clone(&admission),
            upkeep.clone(),
        ));
        let servers = vec![
            tokio::spawn(entry::serve(listeners.caller, entry, serving.clone())),
            tokio::spawn(peer::serve(
                listeners.peer,
                executor,
                peer_settings,
                serving.clone(),
            )),
        ];
        Ok(Self {
            member,
            admission,
            serving,
            upkeep,
            servers,
        })
    }

    /// Calls that run or wait at the gate.
    pub fn in_hand(&self) -> u32 {
        self.admission.in_hand() + self.admission.queued()
    }

    /// Takes no new connections, finishes every call and ends.
    pub async fn finish(self) {
        self.serving.cancel();
        for server in self.servers {
            // A panic of a server has been printed already.
            let _ = server.await;
        }
        self.upkeep.cancel();
    }
}

fn place(settings: &Settings) -> Place {
    Place {
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
) -> Result<Arc<Member>> {
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
    let report = move || membership::control::Condition {
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
    }
}

fn compile(
    version: Version,
    text: &str,
) -> std::result::Result<Plan, Box<dyn std::error::Error + Send + Sync>> {
    let sheet = sheet::parse(text.as_bytes()).map_err(|faults| describe(&faults))?;
    Ok(sheet.plan(version))
}

fn spawn_until(shutdown: &CancellationToken, work: impl Future<Output = ()> + Send + 'static) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = work => {}
            () = shutdown.cancelled() => {}
        }
    });
}

/// The situation as the data path asks for it.
impl crate::call::Situations for Handle {
    fn situation(&self) -> Arc<membership::Situation> {
        Self::situation(self)
    }

    fn suspect(&self, instance: &str) {
        Self::suspect(self, instance);
    }
}

fn describe(faults: &[sheet::Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
