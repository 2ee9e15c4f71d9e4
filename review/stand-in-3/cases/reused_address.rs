//! A server crashes, and its address goes to a server of another service, whose check-ins arrive late.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use super::Verdict;
use crate::caller::{HOST, Kind, Load};
use crate::fleet::{BOUNDS, Fleet, Plan};
use crate::record::{Event, Record};

/// The machine whose server crashes: one of six.
const MACHINE: usize = 0;
/// Name of the server that gets its address.
const NEW_SERVER: &str = "i-5b07c1aa";
/// From the crash to the start of the new one: more than `addr_reuse_s`, 2 s.
const REUSED_AFTER: Duration = Duration::from_millis(2_500);
/// Service of the new one.
const NEW_SERVICE: &str = "weighbridge-ledger";
/// How late the check-ins of the new one arrive.
const CHECK_IN_DELAY: Duration = Duration::from_secs(2);

pub fn play(has_trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let plan = Plan {
        services: vec!["order-desk"; 6],
        slots: 9,
        work: Duration::from_millis(78),
        cold_factor: 2.0,
        bounds: BOUNDS,
    };
    let config = format!(
        r#"{{"version":"00000007","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"listeners":[{{"host":"{HOST}","rules":[{{"name":"r-u3fexd9","kind":"unsafe","slo_s":0.25,"priority":1,"match":{{"prefix":"/pufi791/"}},"action":{{"service":"order-desk","timeout_s":2,"attempts":2,"home_regions":[]}}}},{{"name":"r-k2bovu4","kind":"safe","slo_s":0.6,"priority":2,"match":{{"prefix":"/sika204/"}},"action":{{"service":"weighbridge-ledger","timeout_s":2,"attempts":2,"home_regions":[]}}}}]}}],"clusters":[{{"name":"order-desk","health_path":"/healthz","max_conns":220,"proto":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":26.0}},{{"name":"weighbridge-ledger","health_path":"/healthz","max_conns":220,"proto":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":26.0}}]}}"#
    );
    let mut fleet = Fleet::start(&plan, &config, record)?;
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
    let mut checked_in_at = f64::INFINITY;
    thread::scope(|scope| -> std::io::Result<()> {
        scope.spawn(|| load.play(Duration::from_secs(16), record));
        thread::sleep(Duration::from_secs(4));
        if has_trouble {
            let machine = &mut fleet.machines[MACHINE];
            record.note("server 1, of order-desk, crashes for good");
            machine.server.crash();
            thread::sleep(REUSED_AFTER);
            record.note(format!(
                "the settings of machine 1 name {NEW_SERVICE}; its server {NEW_SERVER} starts at the address"
            ));
            checked_in_at = record.now() + CHECK_IN_DELAY.as_secs_f64();
            machine.replace_server(NEW_SERVER, NEW_SERVICE, CHECK_IN_DELAY, record)?;
        }
        Ok(())
    })?;
    drop(fleet);
    Ok(judge(record, checked_in_at))
}

/// ROUTE: the only configuration leads these requests to order-desk alone. What is said of `X-Caller`
/// doesn't count here.
fn judge(record: &Record, checked_in_at: f64) -> Verdict {
    let mut runs = 0;
    let mut foreign = Vec::new();
    let mut begun_beside_new = BTreeSet::new();
    let mut wrong_caller = 0;
    for (at, event) in record.events() {
        match event {
            Event::Sent { id, machine } if machine == MACHINE && at > checked_in_at + 1.0 => {
                begun_beside_new.insert(id);
            }
            Event::Run {
                id, server, caller, ..
            } => {
                runs += 1;
                wrong_caller += u32::from(begun_beside_new.contains(&id) && caller != NEW_SERVICE);
                if server == NEW_SERVER {
                    foreign.push(id);
                }
            }
            _ => {}
        }
    }
    Verdict {
        is_broken: !foreign.is_empty(),
        lines: vec![
            format!("{runs} requests for order-desk were run"),
            format!(
                "ROUTE: {} by a server of {NEW_SERVICE}: {}",
                foreign.len(),
                foreign.join(" ")
            ),
            format!(
                "X-Caller: of {} requests that began beside that server, {wrong_caller} name another service",
                begun_beside_new.len()
            ),
        ],
    }
}
