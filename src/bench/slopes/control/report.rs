//! Slopes through the samples, carried to the size the system is meant for.

use std::fmt;

use serde::Serialize;

use super::Sample;
use super::deployment::ZONES;
use crate::bench::slopes::{Fit, Point};

/// Nodes that the system is meant for.
const TARGET_NODES: f64 = 850.0;
/// Zones that it is meant for.
const TARGET_ZONES: f64 = 10.0;
/// Accepted sheets a second at that size.
const TARGET_CHANGES_PER_S: f64 = 3_500.0 / 86_400.0;

/// Samples with the lines through them.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Figures by number of nodes.
    pub samples: Vec<Sample>,
    /// Lines.
    pub slopes: Vec<Slope>,
}

/// One figure over the size of the fleet.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// Whether the size is nodes of a zone, or nodes of the fleet.
    pub over: &'static str,
    /// The line.
    pub fit: Fit,
    /// Value of the line at the size the system is meant for.
    pub at_target: f64,
    /// What that value must not exceed.
    pub bound: f64,
}

/// How a figure is read from a sample.
type Read = fn(&Sample) -> Option<f64>;

/// Smaller zones have too few nodes to watch one another as larger ones do.
const LEAST_NODES_PER_ZONE: u32 = 4;

/// Figures that grow with the nodes of a zone.
const PER_ZONE: [(&str, f64, Read); 14] = [
    ("member bytes/s, costliest", 10_000.0, |s| {
        member(s, s.steady.member.bytes_per_s_max)
    }),
    ("relay bytes/s, costliest", 10_000.0, |s| {
        Some(s.steady.relay.bytes_per_s_max)
    }),
    ("member bytes/s with 3,500 sheets a day", 10_000.0, |s| {
        let (steady, change) = (&s.steady.member, &s.change.member);
        let change = with_changes(steady.bytes_per_s, change.bytes_per_s);
        member(s, change - steady.bytes_per_s + steady.bytes_per_s_max)
    }),
    ("relay bytes/s with 3,500 sheets a day", 10_000.0, |s| {
        let (steady, change) = (&s.steady.relay, &s.change.relay);
        let change = with_changes(steady.bytes_per_s, change.bytes_per_s);
        Some(change - steady.bytes_per_s + steady.bytes_per_s_max)
    }),
    ("relay's bytes/s from the store, the same", 10_000.0, |s| {
        let (steady, change) = (&s.steady.store, &s.change.store);
        Some(with_changes(
            steady.bytes_per_watch_s,
            change.bytes_per_watch_s,
        ))
    }),
    ("member control CPU, percent", 4.4, |s| {
        member(s, s.steady.member.cpu_percent)
    }),
    ("relay control CPU, percent", 4.4, |s| {
        Some(s.steady.relay.cpu_percent)
    }),
    ("relay control CPU at a sheet a second, percent", 4.4, |s| {
        Some(s.change.relay.cpu_percent)
    }),
    ("resident memory, MB", 256.0, |s| {
        Some(
            s.change
                .relay
                .resident_mb_max
                .max(s.change.member.resident_mb_max),
        )
    }),
    ("sheet to last node, p50 ms", 1_000.0, |s| {
        Some(s.change.spread.p50_ms)
    }),
    ("sheet to last node, max ms", 1_000.0, |s| {
        Some(s.change.spread.max_ms)
    }),
    ("the same, relays killed, max ms", 3_000.0, |s| {
        s.kill.as_ref().map(|kill| kill.spread.max_ms)
    }),
    ("kill to last view, max ms", 1_000.0, |s| {
        s.kill.as_ref().map(|kill| kill.evicted.max_ms)
    }),
    (
        "store writes/s, zone replaced, busiest second",
        200.0,
        |s| Some(s.evacuation.writes_max_per_s),
    ),
];

/// Figures that grow with the nodes of the fleet.
const PER_FLEET: [(&str, f64, Read); 3] = [
    ("store reads/s", 500.0, |s| Some(s.steady.store.reads_per_s)),
    ("store writes/s", 200.0, |s| {
        Some(s.steady.store.writes_per_s)
    }),
    ("store reads/s at a sheet a second", 500.0, |s| {
        Some(s.change.store.reads_per_s)
    }),
];

/// A figure of members, where there are any.
fn member(sample: &Sample, value: f64) -> Option<f64> {
    (sample.steady.member.nodes > 0).then_some(value)
}

impl Report {
    /// Fits the lines.
    #[must_use]
    pub fn new(samples: Vec<Sample>) -> Self {
        let zone = |sample: &Sample| f64::from(sample.nodes) / f64::from(ZONES);
        let fleet = |sample: &Sample| f64::from(sample.nodes);
        let mut slopes = Vec::new();
        let whole: Vec<Sample> = samples
            .iter()
            .filter(|sample| sample.nodes >= LEAST_NODES_PER_ZONE * ZONES)
            .cloned()
            .collect();
        for (name, bound, read) in PER_ZONE {
            let target = TARGET_NODES / TARGET_ZONES;
            slopes.extend(slope(
                &whole,
                name,
                "nodes of a zone",
                target,
                bound,
                zone,
                read,
            ));
        }
        for (name, bound, read) in PER_FLEET {
            slopes.extend(slope(
                &samples,
                name,
                "nodes",
                TARGET_NODES,
                bound,
                fleet,
                read,
            ));
        }
        Self { samples, slopes }
    }
}

fn slope(
    samples: &[Sample],
    name: &str,
    over: &'static str,
    target: f64,
    bound: f64,
    size: impl Fn(&Sample) -> f64,
    read: Read,
) -> Option<Slope> {
    let point = |sample: &Sample| {
        read(sample).map(|value| Point {
            size: size(sample),
            value,
        })
    };
    let points: Vec<Point> = samples.iter().filter_map(point).collect();
    let fit = Fit::of(&points)?;
    Some(Slope {
        name: name.to_owned(),
        over,
        fit,
        at_target: fit.at(target),
        bound,
    })
}

/// Steady cost with the cost of sheets, measured at one a second, at the rate
/// of the target.
fn with_changes(steady: f64, changing: f64) -> f64 {
    steady + (changing - steady).max(0.0) * TARGET_CHANGES_PER_S
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { steady, change, .. } = self;
        writeln!(
            f,
            "{} nodes, a sheet of {} bytes",
            self.nodes, self.sheet_bytes
        )?;
        for (name, usage) in [("member", steady.member), ("relay", steady.relay)] {
            writeln!(
                f,
                "  steady {name}: {:.0} bytes/s (max {:.0}), {:.1} messages/s, {:.2}% (max {:.2}%) of a core, {:.1} MB",
                usage.bytes_per_s,
                usage.bytes_per_s_max,
                usage.messages_per_s,
                usage.cpu_percent,
                usage.cpu_percent_max,
                usage.resident_mb_max,
            )?;
        }
        for (name, usage) in [("member", change.member), ("relay", change.relay)] {
            writeln!(
                f,
                "  a sheet a second, {name}: {:.0} bytes/s (max {:.0}), {:.2}% (max {:.2}%) of a core, {:.1} MB",
                usage.bytes_per_s,
                usage.bytes_per_s_max,
                usage.cpu_percent,
                usage.cpu_percent_max,
                usage.resident_mb_max,
            )?;
        }
        for (name, store) in [("steady", steady.store), ("a sheet a second", change.store)] {
            writeln!(
                f,
                "  store, {name}: {:.1} reads/s, {:.1} writes/s, {} waiting, {:.0} bytes/s each",
                store.reads_per_s, store.writes_per_s, store.waiting, store.bytes_per_watch_s,
            )?;
        }
        writeln!(
            f,
            "  sheet to last node: p50 {:.0} ms, max {:.0} ms",
            change.spread.p50_ms, change.spread.max_ms,
        )?;
        if let Some(kill) = &self.kill {
            writeln!(
                f,
                "  relays killed: p50 {:.0} ms, max {:.0} ms; out of the last view p50 {:.0} ms, max {:.0} ms",
                kill.spread.p50_ms, kill.spread.max_ms, kill.evicted.p50_ms, kill.evicted.max_ms,
            )?;
        }
        writeln!(
            f,
            "  zone of {} evacuated: busiest second {:.0} reads, {:.0} writes; {:.1} reads and {:.1} writes a node",
            self.evacuation.nodes,
            self.evacuation.reads_max_per_s,
            self.evacuation.writes_max_per_s,
            self.evacuation.reads_per_node,
            self.evacuation.writes_per_node,
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for slope in &self.slopes {
            writeln!(
                f,
                "{:48} {:>10.2} + {:>9.3} x {:15} r2 {:.2}  at 850: {:>9.1}  bound {:>7.1}",
                slope.name,
                slope.fit.base,
                slope.fit.slope,
                slope.over,
                slope.fit.r2,
                slope.at_target,
                slope.bound,
            )?;
        }
        Ok(())
    }
}
