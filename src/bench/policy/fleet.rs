//! The stand-ins of one block and what the entries know of them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock::Time;
use crate::membership::{ClusterSnapshot, Epoch, Instance, State, View};
use crate::plan::{Plan, Region, Service, Upkeep, Version, Zone, key};

use super::faults::Faults;
use super::scenario::{COLD, Deployment, SLOTS};
use super::server::Server;

/// Time since the block began.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopwatch {
    origin: Instant,
}

impl Stopwatch {
    pub(super) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    pub(super) async fn sleep_until(&self, time: Time) {
        tokio::time::sleep_until(self.origin + time.since(Time::ZERO)).await;
    }
}

/// One stand-in and where it is.
pub(super) struct Standin {
    pub(super) zone: &'static str,
    pub(super) address: SocketAddr,
    pub(super) server: Arc<Server>,
}

impl Standin {
    /// Starts a backend server with its gate.
    pub(super) async fn start(
        zone: &'static str,
        faults: Faults,
        stopwatch: Stopwatch,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let server = Arc::new(Server::new(faults, stopwatch));
        tokio::spawn(Arc::clone(&server).serve(listener, stop));
        Ok(Self {
            zone,
            address,
            server,
        })
    }

    pub(super) fn region(&self) -> &'static str {
        region(self.zone)
    }
}

pub(super) fn region(zone: &'static str) -> &'static str {
    zone.split('-').next().unwrap_or(zone)
}

/// Plan and view of the fleet, with `zone_out` out of service.
pub(super) fn snapshot(
    deployment: Deployment,
    standins: &[Standin],
    zone_out: Option<&str>,
) -> ClusterSnapshot {
    ClusterSnapshot {
        plan: Arc::new(plan(deployment, zone_out)),
        view: Arc::new(view(deployment, standins)),
    }
}

fn plan(deployment: Deployment, zone_out: Option<&str>) -> Plan {
    let mut plan = Plan {
        version: Version(1 + u64::from(zone_out.is_some())),
        ..Plan::default()
    };
    for (index, zone) in (0_u16..).zip(deployment.zones()) {
        let region = *plan
            .region_names
            .entry(region(zone).into())
            .or_insert(key::Region(index));
        plan.zone_names.insert(zone.into(), key::Zone(index));
        plan.zones.push(Zone {
            name: zone.into(),
            region,
            in_service: zone_out != Some(zone),
        });
        plan.regions.push(Region { name: zone.into() });
    }
    plan.service_names
        .insert(deployment.service().into(), key::Service(0));
    plan.services.push(Service {
        name: deployment.service().into(),
        slots: SLOTS,
        cold: COLD,
        routes: Vec::new(),
        upkeep: Upkeep::default(),
    });
    plan
}

fn view(deployment: Deployment, standins: &[Standin]) -> View {
    let mut view = View::default();
    for standin in standins {
        view.merge(Instance {
            name: standin.zone.into(),
            epoch: Epoch(1),
            service: deployment.service().into(),
            region: standin.region().into(),
            zone: standin.zone.into(),
            caller: standin.address,
            peer: standin.address,
            control: standin.address,
            state: State::Present,
            version: String::new(),
        });
    }
    view
}
