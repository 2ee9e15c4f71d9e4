//! What carrying calls costs: memory and processor time of two real nodes.
//!
//! One node is the entry, the other the gate, so that each role is measured
//! apart. Every series has five sizes and a line through them.

mod pair;
mod series;

use std::fmt;
use std::io;

use serde::Serialize;

use super::{Fit, Point};
use crate::bench::fleet::Programs;

/// Nodes at the target size.
const TARGET_NODES: f64 = 850.0;
/// Calls a second of all nodes at the target size.
const TARGET_CALLS: f64 = 200_000.0;
/// Services at the target size, with the rows of the sheet that one brings.
const TARGET_SERVICES: f64 = 46.0;
const ROWS_PER_SERVICE: f64 = 21.0;
/// Time a call is in hand, in seconds.
const CALL_TIME_S: f64 = 0.05;
/// Share of calls that carry an idempotency key.
const KEYED_SHARE: f64 = 0.1;
/// Time a claim is kept, in seconds.
const CLAIM_TIME_S: f64 = 600.0;

const TARGET_CALLS_PER_NODE: f64 = TARGET_CALLS / TARGET_NODES;
const TARGET_ROWS: f64 = TARGET_SERVICES * ROWS_PER_SERVICE;
const TARGET_IN_HAND: f64 = TARGET_CALLS_PER_NODE * CALL_TIME_S;
const TARGET_CLAIMS: f64 = TARGET_CALLS_PER_NODE * KEYED_SHARE * CLAIM_TIME_S;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the binaries are.
    pub programs: Programs,
    /// Seed of every random choice.
    pub seed: u64,
}

/// One figure over five sizes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub per: &'static str,
    /// Measurements.
    pub points: Vec<Point>,
    /// Line through them.
    pub fit: Option<Fit>,
    /// Size at the target.
    pub target: f64,
}

impl Series {
    fn new(name: Name, points: Vec<Point>) -> Self {
        Self {
            name: name.what,
            unit: name.unit,
            per: name.per,
            fit: Fit::of(&points),
            points,
            target: name.target,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Name {
    what: &'static str,
    unit: &'static str,
    per: &'static str,
    target: f64,
}

/// All series of one run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// In the order they were measured.
    pub series: Vec<Series>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for series in &self.series {
            writeln!(f, "{}, {}", series.name, series.unit)?;
            for point in &series.points {
                writeln!(
                    f,
                    "  {:>8.0} {:<16} {:>12.3}",
                    point.size, series.per, point.value
                )?;
            }
            if let Some(fit) = series.fit {
                let Fit { base, slope, r2 } = fit;
                writeln!(f, "  {base:.3} + {slope:.6} each, r2 {r2:.3}")?;
                let (at, target) = (fit.at(series.target), series.target);
                writeln!(f, "  carried to {target:.0}: {at:.3}")?;
            }
        }
        Ok(())
    }
}

/// Measures every series; `done` is told of each.
///
/// # Errors
///
/// Fails when a process cannot be started or read.
pub async fn run(settings: &Settings, mut done: impl FnMut(&Series)) -> io::Result<Report> {
    let mut report = Report::default();
    let mut keep = |all: Vec<Series>| {
        all.iter().for_each(&mut done);
        report.series.extend(all);
    };
    keep(series::instances(settings).await?);
    keep(series::rows(settings).await?);
    keep(series::links(settings).await?);
    keep(series::in_hand(settings).await?);
    keep(series::claims(settings).await?);
    keep(series::calls(settings).await?);
    Ok(report)
}
