//! Servers send an extra response late, where the next response is expected: a refusal that names no
//! request.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use super::Verdict;
use crate::caller::{HOST, Kind, Load};
use crate::fleet::{BOUNDS, Fleet, Plan};
use crate::record::{Event, Record};

/// Servers that send extra responses: at most 0.6 of them.
const FAULTY_SERVERS: usize = 3;
/// One of so many of their answers is followed by one: at most 0.03 of them.
const EXTRA_EACH: u32 = 34;
/// Time for which they do, and the time before it.
const FAULT_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(3);
/// How often it comes.
const FAULTS: u32 = 3;

pub fn play(has_trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let plan = Plan {
        services: vec!["order-desk"; 6],
        slots: 9,
        work: Duration::from_millis(78),
        cold_factor: 2.0,
        bounds: BOUNDS,
    };
    let config = format!(
        r#"{{"version":"00000007","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"listeners":[{{"host":"{HOST}","rules":[{{"name":"r-u3fexd9","kind":"unsafe","slo_s":0.25,"priority":1,"match":{{"prefix":"/pufi791/"}},"action":{{"service":"order-desk","timeout_s":2,"attempts":2,"home_regions":[]}}}}]}}],"clusters":[{{"name":"order-desk","health_path":"/healthz","max_conns":220,"proto":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":26.0}}]}}"#
    );
    let fleet = Fleet::start(&plan, &config, record)?;
    thread::sleep(Duration::from_secs(4));
    let machines = fleet.machines.iter().map(|machine| machine.outbound);
    let load = Load {
        kind: Kind {
            method: "POST",
            path: "/pufi791/2f",
            deadline: Duration::from_secs(2),
            key: None,
        },
        per_s: 60.0,
        machines: machines.enumerate().collect(),
        prefix: "u",
    };
    thread::scope(|scope| {
        scope.spawn(|| load.play((CALM_TIME + FAULT_TIME) * FAULTS + CALM_TIME, record));
        for _ in 0..FAULTS {
            thread::sleep(CALM_TIME);
            let faulty = fleet.machines.iter().take(FAULTY_SERVERS);
            if has_trouble {
                record.note("servers 1 to 3 begin to send extra responses");
                faulty
                    .clone()
                    .for_each(|machine| machine.server.send_extra(EXTRA_EACH));
            }
            thread::sleep(FAULT_TIME);
            faulty.for_each(|machine| machine.server.send_extra(0));
        }
    });
    drop(fleet);
    Ok(judge(record))
}

#[derive(Default)]
struct Request {
    runs: u32,
    status: u16,
}

/// TWICE and REFUSED, for requests of an `unsafe` route.
fn judge(record: &Record) -> Verdict {
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    for (_, event) in record.events() {
        match event {
            Event::Run { id, .. } => requests.entry(id).or_default().runs += 1,
            Event::Answered { id, status } => requests.entry(id).or_default().status = status,
            _ => {}
        }
    }
    let twice = requests.iter().filter(|(_, request)| request.runs > 1);
    let twice: Vec<&str> = twice.map(|(id, _)| id.as_str()).collect();
    let is_promise = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let refused = requests
        .iter()
        .filter(|(_, request)| request.runs > 0 && is_promise(request.status));
    let refused: Vec<&str> = refused.map(|(id, _)| id.as_str()).collect();
    let served = requests
        .values()
        .filter(|request| request.status == 200)
        .count();
    Verdict {
        is_broken: !twice.is_empty() || !refused.is_empty(),
        lines: vec![
            format!(
                "{} requests of an unsafe route, {served} answered 200",
                requests.len()
            ),
            format!(
                "TWICE: {} ran more than once: {}",
                twice.len(),
                twice.join(" ")
            ),
            format!(
                "REFUSED: {} ran and were answered with a promise: {}",
                refused.len(),
                refused.join(" ")
            ),
        ],
    }
}
