//! One backend server with its node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;

use super::{Settings, listening};
use crate::bench::process::{Process, Ready};
use crate::standin::backend;
use crate::standin::caller::Target;
use crate::standin::wire::Wire;

/// Where an upstream runs and what it serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Service of the backend server.
    pub service: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
}

impl Place {
    /// Name of the instance.
    #[must_use]
    pub fn instance(&self) -> String {
        format!("{}-{}", self.service, self.zone)
    }
}

/// What to start in one place.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Where it runs.
    pub place: Place,
    /// How its backend server behaves.
    pub backend: backend::Settings,
}

/// Forwarders in front of one node; they outlive its restarts.
#[derive(Debug)]
pub struct Wires {
    /// Carries calls of callers.
    pub caller: Wire,
    /// Carries calls.
    pub peer: Wire,
    /// Carries control.
    pub control: Wire,
    /// Carries calls of the store.
    pub store: Wire,
    /// Carries calls of the backend server.
    pub backend: Wire,
}

impl Wires {
    async fn start(store: SocketAddr, backend: SocketAddr) -> io::Result<Self> {
        let wires = Self {
            caller: Wire::start().await?,
            peer: Wire::start().await?,
            control: Wire::start().await?,
            store: Wire::start().await?,
            backend: Wire::start().await?,
        };
        wires.store.connect(store);
        wires.backend.connect(backend);
        Ok(wires)
    }

    /// Leads to a node that was started.
    fn connect(&self, ready: &Ready) {
        let ways = [
            (&self.caller, ready.caller),
            (&self.peer, ready.peer),
            (&self.control, ready.control),
        ];
        for (wire, address) in ways {
            if let Some(address) = address {
                wire.connect(address);
            }
        }
    }
}

/// A backend server with its node.
#[derive(Debug)]
pub struct Upstream {
    /// Where it runs.
    pub place: Place,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// Addresses of the node, as of its last start.
    pub ready: Ready,
    /// Forwarders, when the fleet is wired.
    pub wires: Option<Wires>,
    backend: Process,
    node: Option<Process>,
}

impl Upstream {
    pub(super) async fn start(
        settings: &Settings,
        spec: &Spec,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let place = &spec.place;
        let flags = backend_flags(&spec.backend);
        let name = format!("backend of {}", place.instance());
        let mut backend = Process::start(&name, &settings.programs.bench, &flags)?;
        let mut upstream = Self {
            place: place.clone(),
            backend_address: listening(&mut backend).await?,
            ready: Ready::default(),
            wires: None,
            backend,
            node: None,
        };
        upstream.start_node(settings, store).await?;
        Ok(upstream)
    }

    pub(super) async fn start_node(
        &mut self,
        settings: &Settings,
        store: SocketAddr,
    ) -> io::Result<()> {
        if settings.wired && self.wires.is_none() {
            self.wires = Some(Wires::start(store, self.backend_address).await?);
        }
        let flags = self.node_flags(settings, store);
        let name = self.place.instance();
        let mut node = Process::start(&name, &settings.programs.node, &flags)?;
        self.ready = node.ready().await?;
        self.node = Some(node);
        if let Some(wires) = &self.wires {
            wires.connect(&self.ready);
        }
        Ok(())
    }

    /// Process of the backend server.
    #[must_use]
    pub fn backend(&self) -> &Process {
        &self.backend
    }

    /// Process of the node, unless it was ended.
    #[must_use]
    pub fn node(&self) -> Option<&Process> {
        self.node.as_ref()
    }

    /// The node as callers know it, unless it was ended.
    #[must_use]
    pub fn target(&self) -> Option<Target> {
        self.node.as_ref()?;
        let forwarder = self.wires.as_ref().map(|wires| wires.caller.address());
        Some(Target {
            address: forwarder.or(self.ready.caller)?,
            region: Some(self.place.region.clone()),
        })
    }

    /// Sends a signal to the node.
    ///
    /// # Errors
    ///
    /// Fails when the node has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let node = self.node.as_ref();
        node.ok_or_else(|| io::Error::other("the node has ended"))?
            .signal(signal)
    }

    pub(super) async fn kill_node(&mut self) -> io::Result<()> {
        match self.node.take() {
            Some(mut node) => node.kill().await,
            None => Ok(()),
        }
    }

    pub(super) async fn stop_node(&mut self, limit: Duration) -> io::Result<bool> {
        let Some(mut node) = self.node.take() else {
            return Ok(true);
        };
        node.signal(Signal::SIGTERM)?;
        Ok(node.wait(limit).await?.success())
    }

    fn node_flags(&self, settings: &Settings, store: SocketAddr) -> Vec<String> {
        let wires = self.wires.as_ref();
        let store = wires.map_or(store, |wires| wires.store.address());
        let backend = wires.map_or(self.backend_address, |wires| wires.backend.address());
        let mut flags = vec![
            flag("instance", self.place.instance()),
            flag("service", &self.place.service),
            flag("region", &self.place.region),
            flag("availability-zone", &self.place.zone),
            flag("caller-listen", "127.0.0.1:0"),
            flag("peer-listen", "127.0.0.1:0"),
            flag("control-listen", "127.0.0.1:0"),
            flag("backend-server", backend),
            flag("store", store),
        ];
        if let Some(wires) = wires {
            flags.push(flag("peer-advertise", wires.peer.address()));
            flags.push(flag("control-advertise", wires.control.address()));
        }
        flags.extend(settings.node_flags.iter().cloned());
        flags
    }
}

fn backend_flags(settings: &backend::Settings) -> Vec<String> {
    let noise_percent = (settings.noise * 100.0).round();
    vec![
        "backend".to_owned(),
        flag("region", &settings.region),
        flag("slots", settings.slots),
        flag("service-us", settings.service_time.as_micros()),
        flag("noise-percent", noise_percent),
        flag("cold-allowance", settings.cold_allowance),
        flag("cold-ms", settings.cold_time.as_millis()),
        flag("seed", settings.seed),
    ]
}

fn flag(name: &str, value: impl std::fmt::Display) -> String {
    format!("--{name}={value}")
}
