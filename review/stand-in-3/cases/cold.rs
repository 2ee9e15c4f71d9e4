//! A small deployment in which server 1 becomes cold again, and the bound on its requests (FAILBACK).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Verdict;
use crate::caller::{HOST, Kind, Load};
use crate::fleet::{BOUNDS, Fleet, Plan};
use crate::record::{Event, Record};

/// Machine of the server that becomes cold.
pub const COLD_SERVER: usize = 0;
/// Time for which it is cold (`warmup_s`), in seconds.
pub const COLD_S: f64 = 3.0;
/// Requests a second that it tolerates meanwhile (`warmup_per_s`).
const COLD_PER_S: f64 = 26.0;
/// `cold_over` and `cold_slack` of the bounds.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Window of the rule, in seconds.
const WINDOW_S: f64 = 1.0;

pub fn plan() -> Plan {
    Plan {
        services: vec!["order-desk"; 2],
        slots: 9,
        work: Duration::from_millis(20),
        cold_factor: 2.0,
        bounds: BOUNDS,
    }
}

pub fn config() -> String {
    format!(
        r#"{{"version":"00000007","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"listeners":[{{"host":"{HOST}","rules":[{{"name":"r-3hh2b9w","kind":"safe","slo_s":0.3,"priority":2,"match":{{"prefix":"/lohu930/"}},"action":{{"service":"order-desk","timeout_s":1,"attempts":2,"home_regions":[]}}}}]}}],"clusters":[{{"name":"order-desk","health_path":"/healthz","max_conns":220,"proto":"h1","tls":false,"warmup_s":{COLD_S:.1},"warmup_per_s":{COLD_PER_S:.1}}}]}}"#
    )
}

/// Requests of the whole deployment.
pub fn load(fleet: &Fleet) -> Load {
    let machines = fleet.machines.iter().map(|machine| machine.outbound);
    Load {
        kind: Kind {
            method: "GET",
            path: "/lohu930/2f",
            deadline: Duration::from_secs(2),
            key: None,
        },
        per_s: 400.0,
        machines: machines.enumerate().collect(),
        prefix: "s",
    }
}

/// FAILBACK for server 1, which was cold from each of these times on.
pub fn judge(record: &Record, cold: &[f64]) -> Verdict {
    let server_1 = crate::fleet::process(COLD_SERVER);
    let mut sent: BTreeMap<String, f64> = BTreeMap::new();
    let mut arrivals = Vec::new();
    let mut seen = BTreeSet::new();
    for (at, event) in record.events() {
        match event {
            Event::Sent { id, .. } => {
                sent.insert(id, at);
            }
            Event::Arrived { id, server } if server == server_1 && seen.insert(id.clone()) => {
                arrivals.push((at, sent.get(&id).copied().unwrap_or(0.0)));
            }
            _ => {}
        }
    }
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let mut lines = Vec::new();
    let mut is_broken = false;
    for &since in cold {
        let is_cold = |at: f64| at >= since && at < since + COLD_S;
        let while_cold: Vec<(f64, f64)> = arrivals
            .iter()
            .copied()
            .filter(|&(at, _)| is_cold(at))
            .collect();
        // A window that holds most ends with an arrival.
        let in_window = while_cold.iter().map(|&(end, _)| {
            let start = end - WINDOW_S;
            let inside = while_cold
                .iter()
                .filter(|&&(at, sent)| at <= end && sent >= start);
            (inside.count(), end)
        });
        let (most, end) = in_window
            .max_by_key(|&(most, _)| most)
            .unwrap_or((0, since));
        is_broken |= most as f64 > bound;
        lines.push(format!(
            "FAILBACK: cold from {since:.2} s; most requests in one second {most}, up to {end:.2} s; allowed {bound}"
        ));
    }
    Verdict { is_broken, lines }
}
