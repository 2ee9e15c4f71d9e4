//! A server leaves while the store is down and leases run out. Its node is killed, and starts again when the
//! store has just come back and lists no other node yet.

use std::thread;
use std::time::Duration;

use super::Verdict;
use crate::caller::{HOST, Kind, Load};
use crate::fleet::{BOUNDS, Fleet, Plan, process};
use crate::record::{Event, Record};

/// The machine whose server leaves.
const MACHINE: usize = 0;
/// Time before the outage.
const CALM_TIME: Duration = Duration::from_secs(14);
/// From the start of the outage to the farewell, from there to the kill, and from there to its end.
const FAREWELL_AFTER: Duration = Duration::from_millis(3_000);
const KILL_AFTER: Duration = Duration::from_millis(1_000);
const OUTAGE_END_AFTER: Duration = Duration::from_millis(350);
/// From the end of the outage to the start of the node: 0.5 s after its kill.
const START_AFTER: Duration = Duration::from_millis(150);
/// From the start of the node to the arrival of the late check-in.
const CHECK_IN_AFTER: Duration = Duration::from_millis(600);
/// For how long the server serves on after that.
const REST: Duration = Duration::from_secs(12);
/// `drain_s` and `contact_s` of the bounds.
const DRAIN_S: f64 = 2.5;
const CONTACT_S: f64 = 3.0;

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
    let mut fleet = Fleet::start(&plan, &config, record)?;
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
    let outage = FAREWELL_AFTER + KILL_AFTER + OUTAGE_END_AFTER;
    let mut counted_from = 0.0;
    thread::scope(|scope| -> std::io::Result<()> {
        scope.spawn(|| load.play(CALM_TIME + outage + CHECK_IN_AFTER + REST, record));
        thread::sleep(CALM_TIME);
        if has_trouble {
            record.note("the store is down, and all leases run out");
            fleet.store.go_down();
        }
        thread::sleep(FAREWELL_AFTER);
        let check_in = fleet.machines[MACHINE].server.late_check_in();
        record.note("server 1 sends a check-in, which is late, and says that it leaves");
        if !fleet.machines[MACHINE].server.leave() {
            return Err(std::io::Error::other("the farewell was not acknowledged"));
        }
        let acknowledged_at = record.now();
        record.note("the farewell is acknowledged");
        thread::sleep(KILL_AFTER);
        if has_trouble {
            record.note("the node of machine 1 is killed");
            fleet.machines[MACHINE].kill();
        }
        thread::sleep(OUTAGE_END_AFTER);
        if has_trouble {
            record.note("the store is back");
            fleet.store.come_back();
        }
        thread::sleep(START_AFTER);
        if has_trouble {
            fleet.machines[MACHINE].start_again()?;
            record.note("the node of machine 1 is started again");
        }
        counted_from = (record.now() + CONTACT_S).max(acknowledged_at + DRAIN_S);
        thread::sleep(CHECK_IN_AFTER);
        let status = check_in.arrive();
        record.note(format!(
            "the late check-in arrives, and is answered {status}"
        ));
        thread::sleep(REST);
        Ok(())
    })?;
    drop(fleet);
    Ok(judge(record, counted_from))
}

/// DRAIN, for requests that arrive later than `drain_s` after the acknowledgement and `contact_s` after the
/// store and the node are back.
fn judge(record: &Record, counted_from: f64) -> Verdict {
    let left = process(MACHINE);
    let mut before = 0;
    let mut late = Vec::new();
    for (at, event) in record.events() {
        if let Event::Arrived { id, server } = event
            && server == left
        {
            if at > counted_from {
                late.push(id);
            } else {
                before += 1;
            }
        }
    }
    Verdict {
        is_broken: !late.is_empty(),
        lines: vec![
            format!("{before} requests reached server 1 until {counted_from:.2} s"),
            format!("DRAIN: {} reached it later: {}", late.len(), late.join(" ")),
        ],
    }
}
