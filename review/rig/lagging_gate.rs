//! The store turns one machine of each region away while a route moves between services.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, End, Request, Sent};
use crate::config::{self, HOST, Rule};
use crate::node::Machine;
use crate::record::Record;
use crate::world::{DESK, LEDGER, World, three_regions};

/// Machines that get no answer: 3 of 12, in each region one of the two that watch the store.
const TURNED_AWAY: [&str; 3] = [
    "sidecar-kisumu-a-2",
    "sidecar-kakamega-a-2",
    "sidecar-nakuru-a-1",
];
const SILENCE: Duration = Duration::from_secs(9);
/// From the start of the silence to the first change, and between two.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The route goes to `ledger` after each odd change, else to `desk`.
const CHANGES: u32 = 8;
const CONSUMERS_PER_MACHINE: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
const WORK_MS: u64 = 60;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = three_regions();
    let Some(world) = World::start(&machines, &config_after(0), record) else {
        return Verdict::CouldNotRun;
    };
    let stopped = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..machines.len() * CONSUMERS_PER_MACHINE)
        .map(|consumer| {
            let machine = machines[consumer % machines.len()].clone();
            let record = record.clone();
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || consume(consumer, &machine, &record, &stopped))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    set_silent(&world, trouble);
    for change in 1..=CHANGES {
        thread::sleep(CHANGE_INTERVAL);
        world.store.put("op/config", &config_after(change));
        let service = service_after(change);
        record.line(&format!("a config is acknowledged: /a/ goes to {service}"));
    }
    thread::sleep(SILENCE - CHANGE_INTERVAL * CHANGES);
    set_silent(&world, false);
    thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no panic"))
        .collect();
    judge(&world, &sent)
}

fn service_after(change: u32) -> &'static str {
    if change % 2 == 0 { DESK } else { LEDGER }
}

fn config_after(change: u32) -> String {
    let rule = Rule {
        name: "order-place",
        kind: "unsafe",
        slo_s: 0.3,
        prefix: "/a/",
        service: service_after(change),
        timeout_s: 1.0,
        homes: &[],
    };
    config::text(change + 1, &[rule], &[DESK, LEDGER])
}

fn set_silent(world: &World, silent: bool) {
    let text = if silent {
        "gets no answers"
    } else {
        "is answered again"
    };
    for (path, node) in world.paths.iter().zip(&world.nodes) {
        let name = node.machine.name.as_str();
        if TURNED_AWAY.contains(&name) {
            path.set_silent(silent);
            world.record.line(&format!("{name} {text}"));
        }
    }
}

fn consume(consumer: usize, machine: &Machine, record: &Record, stopped: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let request = Request {
            id: format!("order-{consumer}-{}", sent.len()),
            method: "POST",
            host: HOST,
            path: format!("/a/{WORK_MS}/{}", sent.len()),
            deadline: Duration::from_secs(2),
        };
        sent.push(client::send(machine.outbound, &request, record));
        thread::sleep(PAUSE);
    }
    sent
}

/// DENIED: every config has a route for every request.
fn judge(world: &World, sent: &[Sent]) -> Verdict {
    let served = sent
        .iter()
        .filter(|sent| sent.end == End::Answered(200))
        .count();
    let denied = sent
        .iter()
        .filter(|sent| sent.end == End::Answered(404))
        .count();
    let allowed = 5 + sent.len() / 500;
    world.record.tell(&format!(
        "{} requests, {served} served, {denied} answered 404 though every config has a route for \
         them, {allowed} allowed",
        sent.len(),
    ));
    match (served, denied > allowed) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
