//! A deployment of real processes: store, backend servers and their nodes.

mod upstream;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::future::try_join_all;

pub use upstream::{Place, Spec, Upstream, Wires};

use super::http::Client;
use super::process::Process;
use crate::standin::backend::{Checks, Control, Executions};
use crate::standin::caller::Target;
use crate::standin::store::{Counters, Faults};

/// Longest wait for the end of a process that was asked to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Where the binaries are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// `monsooncove-bench`.
    pub bench: PathBuf,
    /// `monsooncove-node`.
    pub node: PathBuf,
}

impl Programs {
    /// The binaries beside the running one.
    ///
    /// # Errors
    ///
    /// Fails when the path of the running binary is not known.
    pub fn beside_this() -> io::Result<Self> {
        let bench = std::env::current_exe()?;
        let directory = bench.parent().unwrap_or(Path::new("."));
        Ok(Self {
            node: directory.join("monsooncove-node"),
            bench,
        })
    }
}

/// What to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Backend servers, each with its node.
    pub upstreams: Vec<Spec>,
    /// Further flags of every node.
    pub node_flags: Vec<String>,
    /// Whether links between nodes pass through a [`crate::standin::wire::Wire`].
    pub wired: bool,
}

/// Running processes; all end with the value.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    store: Process,
    store_address: SocketAddr,
    upstreams: Vec<Upstream>,
    client: Client,
}

impl Fleet {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not become ready.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let mut store = Process::start("store", &settings.programs.bench, &["store"])?;
        let store_address = listening(&mut store).await?;
        let starting = settings.upstreams.iter();
        let starting = starting.map(|spec| Upstream::start(&settings, spec, store_address));
        let upstreams = try_join_all(starting).await?;
        Ok(Self {
            settings,
            store,
            store_address,
            upstreams,
            client: Client::default(),
        })
    }

    /// Address of the store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.store_address
    }

    /// Process of the store.
    #[must_use]
    pub fn store_process(&self) -> &Process {
        &self.store
    }

    /// Backend servers with their nodes.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Indices of the upstreams in `zone`.
    #[must_use]
    pub fn in_zone(&self, zone: &str) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams
            .filter(|(_, upstream)| upstream.place.zone == zone)
            .map(|(index, _)| index)
            .collect()
    }

    /// Nodes to call.
    #[must_use]
    pub fn targets(&self) -> Vec<Target> {
        self.upstreams.iter().filter_map(Upstream::target).collect()
    }

    /// Kills the node of an upstream.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill_node(&mut self, index: usize) -> io::Result<()> {
        self.upstreams[index].kill_node().await
    }

    /// Asks the node of an upstream to stop and waits for its end. Tells
    /// whether it ended with success.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time.
    pub async fn stop_node(&mut self, index: usize) -> io::Result<bool> {
        self.upstreams[index].stop_node(STOP_TIMEOUT).await
    }

    /// Starts the node of an upstream anew.
    ///
    /// # Errors
    ///
    /// Fails when it does not become ready.
    pub async fn start_node(&mut self, index: usize) -> io::Result<()> {
        let store = self.store_address;
        self.upstreams[index]
            .start_node(&self.settings, store)
            .await
    }

    /// Sends an order or a fault to a backend server.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not accept it.
    pub async fn control(&self, index: usize, control: &Control) -> io::Result<()> {
        let address = self.upstreams[index].backend_address;
        self.client.post(address, "/-/control", control).await
    }

    /// Sets the faults of the store, in place of those in force.
    ///
    /// # Errors
    ///
    /// Fails when the store does not accept them.
    pub async fn set_store_faults(&self, faults: &Faults) -> io::Result<()> {
        self.client
            .post(self.store_address, "/-/faults", faults)
            .await
    }

    /// Calls that the store counted.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn store_counters(&self) -> io::Result<Counters> {
        self.client.get(self.store_address, "/-/counters").await
    }

    /// Books of the backend servers.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub async fn checks(&self) -> io::Result<Vec<Checks>> {
        let reading = self
            .upstreams
            .iter()
            .map(|upstream| self.client.get(upstream.backend_address, "/-/checks"));
        try_join_all(reading).await
    }

    /// Executions on all backend servers.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub async fn executions(&self) -> io::Result<Executions> {
        let reading = self
            .upstreams
            .iter()
            .map(|upstream| self.client.get(upstream.backend_address, "/-/executions"));
        let mut all = Executions::default();
        for one in try_join_all(reading).await? {
            all.merge(&one);
        }
        Ok(all)
    }

    /// Stops all nodes gracefully. Returns the names of those that did not end
    /// with success in time.
    pub async fn stop(&mut self) -> Vec<String> {
        let stopping = self.upstreams.iter_mut().map(|upstream| async {
            let stopped = upstream.stop_node(STOP_TIMEOUT).await;
            (upstream.place.instance(), stopped)
        });
        let stopped = futures::future::join_all(stopping).await;
        let failed = stopped
            .into_iter()
            .filter(|(_, ended)| !matches!(ended, Ok(true)));
        failed.map(|(name, _)| name).collect()
    }
}

async fn listening(process: &mut Process) -> io::Result<SocketAddr> {
    let ready = process.ready().await?;
    let fault = || io::Error::other("the ready line names no address");
    ready.listen.ok_or_else(fault)
}
