//! How membership behaves.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::core::Timing;
use super::{Epoch, Instance, State};
use crate::plan::{Plan, Version};

/// Compiles the text of an accepted sheet.
pub type Compile = fn(Version, &str) -> Result<Plan, Box<dyn Error + Send + Sync>>;

/// What membership is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the node announces of itself. The epoch is set by membership.
    pub instance: Instance,
    /// Makes a plan of the text in the store.
    pub compile: Compile,
    /// Control addresses to learn plan and view from when the store is down.
    pub join: Vec<SocketAddr>,
    /// Seed of every random decision.
    pub seed: u64,
    /// Intervals and timeouts between nodes.
    pub timing: Timing,
    /// Longest time one watch waits at the store.
    pub watch_wait: Duration,
    /// Shortest time between two watches, so that changes are taken in batches.
    pub watch_spacing: Duration,
    /// Lease renewals a second of the whole fleet.
    pub fleet_renewals_per_second: f64,
    /// Shortest time between two renewals of one node.
    pub renewal_interval_min: Duration,
    /// Longest random wait before the first announcement, so that nodes that
    /// start together do not write together. Peers are told without it.
    pub announcement_jitter_max: Duration,
    /// Renewals that may fail in a row before the lease lapses.
    pub renewals_per_lease: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: empty_instance(),
            compile: empty_plan,
            join: Vec::new(),
            seed: 0,
            timing: Timing::default(),
            watch_wait: Duration::from_secs(10),
            watch_spacing: Duration::from_millis(100),
            fleet_renewals_per_second: 50.0,
            renewal_interval_min: Duration::from_secs(15),
            announcement_jitter_max: Duration::from_secs(2),
            renewals_per_lease: 3,
        }
    }
}

impl Settings {
    /// Time between two renewals of one node in a fleet of `nodes`.
    #[must_use]
    pub fn renewal_interval(&self, nodes: usize) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let fleet_interval =
            Duration::from_secs_f64(f64::from(nodes) / self.fleet_renewals_per_second);
        fleet_interval.max(self.renewal_interval_min)
    }
}

fn empty_instance() -> Instance {
    let unset_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Instance {
        name: String::new(),
        epoch: Epoch::default(),
        service: String::new(),
        region: String::new(),
        zone: String::new(),
        caller: unset_address,
        peer: unset_address,
        control: unset_address,
        state: State::Present,
        version: String::new(),
    }
}

#[expect(clippy::unnecessary_wraps, reason = "has the type of `Compile`")]
fn empty_plan(version: Version, _text: &str) -> Result<Plan, Box<dyn Error + Send + Sync>> {
    Ok(Plan {
        version,
        ..Plan::default()
    })
}
