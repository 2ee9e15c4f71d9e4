//! The data path of one node: entry, links, gate, and what follows the plan.

use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::coordinate::Reporter;
use super::follow::{Configure, Follower};
use super::nearby::Nearby;
use crate::backend::{Client, Current, Executor};
use crate::call::claim::Claims;
use crate::call::{Admission, IdGenerator, Observer, SnapshotSource};
use crate::clock::Clock;
use crate::coordination::{Handler, Local};
use crate::dialect::Dialect;
use crate::entry::{self, Entry};
use crate::membership::Handle;
use crate::peer::{self, Links};
use crate::routing::{self, Location, Router};
use crate::task::spawn_until;
use crate::telemetry::log::Identity;

/// What a data path is made of.
pub struct Blueprint {
    /// Where the node runs.
    pub location: Location,
    /// Service beside the entry.
    pub service: String,
    /// Plan in force and instances known, for what follows them.
    pub handle: Handle,
    /// The same as the data path asks for it.
    pub snapshot_source: Arc<dyn SnapshotSource>,
    /// Links to other nodes.
    pub links: Arc<Links>,
    /// Gate of the backend server.
    pub admission: Arc<Admission>,
    /// The backend server.
    pub server: Arc<Current>,
    /// Connections to it.
    pub client: Arc<dyn Client>,
    /// Headers of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Answers and directives of roll-outs.
    pub local: Arc<Local>,
    /// Answers the reports of other nodes.
    pub report_handler: Arc<dyn Handler>,
    /// Puts a plan in force at the gate.
    pub configure: Configure,
    /// Clock of the node.
    pub clock: Clock,
    /// Metrics, traces and log lines of calls.
    pub observer: Arc<dyn Observer>,
    /// Source of call and span ids.
    pub ids: Arc<IdGenerator>,
    /// Seed of routing decisions.
    pub seed: u64,
    /// Name of the node in log lines.
    pub identity: Identity,
    /// How it behaves.
    pub tuning: Tuning,
}

/// Settings of the slices on the data path.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tuning {
    /// Of the entry.
    pub entry: entry::Settings,
    /// Of the links.
    pub peer: peer::Settings,
    /// Of the router.
    pub routing: routing::Settings,
    /// Whether gates in the own region tell their loads without calls.
    pub follows_loads: bool,
}

/// A data path that serves.
#[derive(Debug)]
pub struct Path {
    /// Gate of the backend server.
    pub admission: Arc<Admission>,
    /// Cancelled when callers are to be asked to connect elsewhere.
    pub stopping: CancellationToken,
    /// Cancelled when all that the node does ends.
    pub upkeep: CancellationToken,
    /// Entry of callers.
    pub entry: Arc<Entry>,
    serving: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Path {
    /// Starts to serve callers and other nodes.
    pub fn start(blueprint: Blueprint, callers: TcpListener, peers: TcpListener) -> Self {
        let Blueprint {
            tuning, location, ..
        } = blueprint;
        let upkeep = CancellationToken::new();
        let serving = CancellationToken::new();
        let stopping = CancellationToken::new();
        let handle = blueprint.handle;
        let zone = location.zone.clone();
        let executor = Arc::new(Executor {
            location: location.clone(),
            server: blueprint.server,
            dialect: Arc::clone(&blueprint.dialect),
            snapshot_source: Arc::clone(&blueprint.snapshot_source),
            admission: Arc::clone(&blueprint.admission),
            client: blueprint.client,
            clock: blueprint.clock,
            observer: Arc::clone(&blueprint.observer),
            ids: Arc::clone(&blueprint.ids),
            claims: Claims::default(),
            local: Arc::clone(&blueprint.local),
            report_handler: Arc::clone(&blueprint.report_handler),
        });
        let router = Router::new(tuning.routing, location.clone(), blueprint.seed);
        let router = Arc::new(Mutex::new(router));
        let nearby = Nearby {
            handle: handle.clone(),
            snapshot_source: Arc::clone(&blueprint.snapshot_source),
            links: Arc::clone(&blueprint.links),
            router: Arc::clone(&router),
            clock: blueprint.clock,
        };
        let reporter = Reporter {
            handle: handle.clone(),
            report_handler: blueprint.report_handler,
            local: Arc::clone(&blueprint.local),
            transport: blueprint.links.clone(),
            router: Arc::clone(&router),
            executor: Arc::clone(&executor),
            clock: blueprint.clock,
            instance: location.instance.clone(),
        };
        spawn_until(&upkeep, reporter.run());
        let entry = Entry::new(entry::Parts {
            location,
            service: blueprint.service,
            snapshot_source: blueprint.snapshot_source,
            router: Arc::clone(&router),
            executor: Arc::clone(&executor),
            links: blueprint.links,
            clock: blueprint.clock,
            dialect: blueprint.dialect,
            observer: blueprint.observer,
            local: blueprint.local,
            ids: blueprint.ids,
            stopping: stopping.clone(),
            settings: tuning.entry,
        });
        let follower = Follower {
            handle,
            router,
            admission: Arc::clone(&blueprint.admission),
            clock: blueprint.clock,
            configure: blueprint.configure,
            zone,
            identity: blueprint.identity,
        };
        spawn_until(&upkeep, follower.run());
        if tuning.follows_loads {
            spawn_until(&upkeep, nearby.run());
        }
        tokio::spawn(Arc::clone(&blueprint.admission).run(upkeep.clone()));
        let servers = vec![
            tokio::spawn(entry::serve(callers, Arc::clone(&entry), serving.clone())),
            tokio::spawn(peer::serve(peers, executor, tuning.peer, serving.clone())),
        ];
        Self {
            admission: blueprint.admission,
            stopping,
            upkeep,
            entry,
            serving,
            servers,
        }
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
