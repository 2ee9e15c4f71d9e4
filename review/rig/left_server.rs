//! An upstream leaves while the node beside it is stopped and started again, and one of its earlier
//! check-ins arrives late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, End, Request, Sent};
use crate::config::{self, HOST, Rule};
use crate::node::{Machine, SIGTERM};
use crate::record::Record;
use crate::world::{DESK, LEDGER, World};

/// From the order to stop to the farewell of the upstream.
const LEAVE_AFTER: Duration = Duration::from_millis(500);
/// From the end of the process to its start again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// From the start of the process to the late check-in.
const LATE_AFTER: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time for which a machine has to run to be in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// For which requests are judged.
const JUDGED: Duration = Duration::from_secs(4);
const CONSUMERS: usize = 4;
const WORK_MS: u64 = 78;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = [
        Machine::new("sidecar-kisumu-a-1", "kisumu-a", "kisumu", DESK, 1),
        Machine::new("sidecar-kisumu-a-2", "kisumu-a", "kisumu", LEDGER, 2),
        Machine::new("sidecar-kisumu-b-1", "kisumu-b", "kisumu", DESK, 3),
        Machine::new("sidecar-kisumu-b-2", "kisumu-b", "kisumu", LEDGER, 4),
    ];
    let rules = [Rule {
        name: "order-place",
        kind: "unsafe",
        slo_s: 0.25,
        prefix: "/order/",
        service: DESK,
        timeout_s: 1.0,
        homes: &[],
    }];
    let config = config::text(1, &rules, &[DESK, LEDGER]);
    let Some(mut world) = World::start(&machines, &config, record) else {
        return Verdict::CouldNotRun;
    };
    let stopped = Arc::new(AtomicBool::new(false));
    // On the machines that nothing happens to.
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let machine = machines[1 + consumer % 3].clone();
            let (record, stopped) = (record.clone(), Arc::clone(&stopped));
            thread::spawn(move || consume(consumer, &machine, &record, &stopped))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let upstream = Arc::clone(&world.upstreams[0]);
    record.line("SIGTERM for sidecar-kisumu-a-1");
    world.nodes[0].signal(SIGTERM);
    thread::sleep(LEAVE_AFTER);
    // Its last check-in as ready; with trouble it is under way for some seconds.
    let late = upstream.last_check_in();
    let acknowledged = upstream.leave();
    let acknowledged_at = record.now();
    let code = world.nodes[0].wait();
    record.line(&format!("sidecar-kisumu-a-1 has ended with {code:?}"));
    thread::sleep(RESTART_DELAY);
    world.restart(0, &machines);
    let restarted_at = record.now();
    record.line("sidecar-kisumu-a-1 is started again");
    thread::sleep(LATE_AFTER);
    if trouble {
        upstream.send_check_in(&late);
    }
    let judged_from = (restarted_at + CONTACT).max(acknowledged_at + DRAIN);
    thread::sleep(judged_from.saturating_sub(record.now()) + JUDGED);
    stopped.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no panic"))
        .collect();
    if !acknowledged {
        record.tell("the farewell was not acknowledged");
        return Verdict::CouldNotRun;
    }
    judge(&world, &sent, acknowledged_at, judged_from)
}

fn consume(consumer: usize, machine: &Machine, record: &Record, stopped: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let request = Request {
            id: format!("order-{consumer}-{}", sent.len()),
            method: "POST",
            host: HOST,
            path: format!("/order/{WORK_MS}/{consumer}"),
            deadline: Duration::from_secs(2),
        };
        sent.push(client::send(machine.outbound, &request, record));
        thread::sleep(Duration::from_millis(40));
    }
    sent
}

/// DRAIN: a request reaches the upstream later than `DRAIN` after its leaving was acknowledged.
/// Judged are requests that were sent when all machines had run for `CONTACT`.
fn judge(world: &World, sent: &[Sent], acknowledged_at: Duration, from: Duration) -> Verdict {
    let runs = world.runs();
    let left = "kisumu-a";
    let is_late = |sent: &&Sent| {
        let mut own = runs.iter().filter(|run| run.attempt == sent.request.id);
        own.any(|run| run.service == DESK && run.zone == left && run.at > acknowledged_at + DRAIN)
    };
    let judged: Vec<&Sent> = sent.iter().filter(|sent| sent.at > from).collect();
    let late = judged.iter().copied().filter(is_late).count();
    let served = judged
        .iter()
        .filter(|sent| sent.end == End::Answered(200))
        .count();
    world.record.tell(&format!(
        "{} orders sent from {:.1} s on, {served} served; {late} reached the upstream that had \
         left, which was acknowledged at {:.1} s",
        judged.len(),
        from.as_secs_f64(),
        acknowledged_at.as_secs_f64(),
    ));
    match (served, late) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
