//! What control costs: membership, and the spread of plan and view.
//!
//! Real node processes run on loopback against the store stand-in, which counts
//! its calls. Neither network, hosts nor clocks are modelled. Nodes report when
//! a plan came into force by the clock of the one machine they share.

mod deployment;
mod phase;
mod reading;
mod report;

use std::io;
use std::time::Duration;

use serde::Serialize;

use super::super::fleet::{self, Fleet, Programs};
use super::super::monitor;
use deployment::Deployment;
use phase::Phases;

pub use phase::{Change, Evacuation, Kill, Steady};
pub use reading::Usage;
pub use report::{Report, Slope};

/// What to measure.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Numbers of nodes, in turn.
    pub sizes: Vec<u32>,
    /// Length of the steady state that is measured.
    pub steady: Duration,
    /// Sheets accepted, one a second.
    pub changes: u32,
    /// Sheets accepted while a relay of each zone is killed.
    pub kills: u32,
    /// Routes of the sheet.
    pub routes: u32,
}

/// Figures of one fleet.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Sample {
    /// Nodes.
    pub nodes: u32,
    /// Bytes of the sheet.
    pub sheet_bytes: usize,
    /// With nothing happening.
    pub steady: Steady,
    /// While sheets are accepted.
    pub change: Change,
    /// While sheets are accepted and relays killed; none when that leaves
    /// nobody.
    pub kill: Option<Kill>,
    /// While a zone is taken out and its nodes are replaced.
    pub evacuation: Evacuation,
}

/// Measures every size.
///
/// # Errors
///
/// Fails when a process cannot be started or does not answer.
pub async fn run(settings: &Settings, mut done: impl FnMut(&Sample)) -> io::Result<Report> {
    let mut samples = Vec::new();
    for nodes in &settings.sizes {
        let sample = measure(settings, *nodes).await?;
        done(&sample);
        samples.push(sample);
    }
    Ok(Report::new(samples))
}

async fn measure(settings: &Settings, nodes: u32) -> io::Result<Sample> {
    let mut deployment = Deployment::new(nodes, settings.routes);
    let fleet = Fleet::start(fleet::Settings {
        programs: settings.programs.clone(),
        upstreams: deployment.upstreams(),
        node_flags: Vec::new(),
        wired: false,
    })
    .await?;
    let sheet_bytes = deployment.text().len();
    let mut phases = Phases::start(fleet, &mut deployment).await?;
    let steady = phases.steady(settings.steady).await?;
    let change = phases.change(settings.changes).await?;
    let kill = phases.kill(settings.kills).await?;
    let evacuation = phases.evacuate().await?;
    phases.stop().await;
    Ok(Sample {
        nodes,
        sheet_bytes,
        steady,
        change,
        kill,
        evacuation,
    })
}

async fn status(node: &fleet::Upstream) -> io::Result<crate::membership::Status> {
    let address = node.ready.control;
    let address = address.ok_or_else(|| io::Error::other("the node names no control address"))?;
    monitor::status(address).await
}
