//! Compares choosers under the same arrivals and the same noise.
//!
//! The gate and routing code is the real one. Backend servers are stand-ins on
//! loopback that take real time; no network, host or clock is modelled. Each
//! chooser gets its own block of time with the same arrivals and faults, and
//! the blocks take turns, so that a busy machine touches all of them alike.

mod arrivals;
mod block;
mod contender;
mod entry;
mod faults;
mod fleet;
mod link;
mod message;
mod report;
mod reports;
mod scenario;
mod server;
mod shared;
mod tally;
#[cfg(test)]
mod tests;

use crate::Result;

pub use contender::Contender;
pub use report::Report;
pub use scenario::{Deployment, Scenario};

/// What is compared, and for how long.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of zones and services.
    pub deployment: Deployment,
    /// Faults and load.
    pub scenarios: Vec<Scenario>,
    /// Choosers that take turns.
    pub contenders: Vec<Contender>,
    /// Seed of arrivals, faults and choices.
    pub seed: u64,
    /// Times that every chooser has its turn.
    pub rounds: u32,
    /// Measured seconds of one turn.
    pub seconds: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deployment: Deployment::Farm,
            scenarios: Scenario::ALL.to_vec(),
            contenders: Contender::ALL.to_vec(),
            seed: 1,
            rounds: 3,
            seconds: 4,
        }
    }
}

/// Runs the comparison.
///
/// # Errors
///
/// When no loopback address can be bound or connected to.
pub async fn run(settings: &Settings) -> Result<Report> {
    let mut report = Report::new(settings);
    for &scenario in &settings.scenarios {
        for round in 0..settings.rounds {
            for (turn, _) in settings.contenders.iter().enumerate() {
                let index = (turn + round as usize) % settings.contenders.len();
                let contender = settings.contenders[index];
                let tally = block::run(settings, scenario, contender, round).await?;
                report.add(scenario, contender, &tally);
            }
        }
    }
    Ok(report)
}
