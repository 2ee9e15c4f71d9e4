//! An upstream in trouble answers its health endpoint with bytes that never end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Connection, End, Request, Sent};
use crate::config::{self, HOST, Rule};
use crate::node::{Machine, SIGKILL};
use crate::record::Record;
use crate::world::{DESK, LEDGER, World};

const TROUBLE_TIME: Duration = Duration::from_secs(5);
/// `memory_mb` of the settings. The platform kills a process that exceeds it.
const MEMORY_LIMIT_KB: u64 = 260 * 1024;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// From the end of a process to its start again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const CONSUMERS: usize = 6;
const WORK_MS: u64 = 240;
/// Requests that may be lost.
const LOST_MAX: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = [
        Machine::new("sidecar-kisumu-a-1", "kisumu-a", "kisumu", DESK, 1),
        Machine::new("sidecar-kisumu-a-2", "kisumu-a", "kisumu", LEDGER, 2),
        Machine::new("sidecar-kisumu-b-1", "kisumu-b", "kisumu", DESK, 3),
        Machine::new("sidecar-kisumu-b-2", "kisumu-b", "kisumu", LEDGER, 4),
    ];
    let rules = [Rule {
        name: "bale-upload",
        kind: "upload",
        slo_s: 0.4,
        prefix: "/bale/",
        service: LEDGER,
        timeout_s: 2.5,
        homes: &[],
    }];
    let config = config::text(1, &rules, &[DESK, LEDGER]);
    let Some(mut world) = World::start(&machines, &config, record) else {
        return Verdict::CouldNotRun;
    };
    let stopped = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (machine, record) = (machines[0].clone(), record.clone());
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || consume(consumer, &machine, &record, &stopped))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("upstream i-sidecar-kisumu-a-1 answers its health endpoint without end");
        world.upstreams[0].set_endless(true);
    }
    let kills = watch_memory(&mut world, &machines);
    world.upstreams[0].set_endless(false);
    stopped.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no panic"))
        .collect();
    judge(&world, &sent, kills)
}

/// Does what the platform does with a process that exceeds its memory. Returns how often.
fn watch_memory(world: &mut World, machines: &[Machine]) -> usize {
    let started = Instant::now();
    let mut kills = 0;
    while started.elapsed() < TROUBLE_TIME {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        let memory_kb = world.nodes[0].memory_kb();
        if memory_kb <= MEMORY_LIMIT_KB {
            continue;
        }
        kills += 1;
        world.record.line(&format!(
            "sidecar-kisumu-a-1 holds {memory_kb} kB and is killed"
        ));
        world.nodes[0].signal(SIGKILL);
        world.nodes[0].wait();
        thread::sleep(RESTART_DELAY);
        world.restart(0, machines);
        world.record.line("sidecar-kisumu-a-1 is started again");
    }
    kills
}

/// One request after the other, on one connection while it lasts.
fn consume(consumer: usize, machine: &Machine, record: &Record, stopped: &AtomicBool) -> Vec<Sent> {
    let mut connection = Connection::default();
    let mut sent = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let request = Request {
            id: format!("bale-{consumer}-{}", sent.len()),
            method: "POST",
            host: HOST,
            path: format!("/bale/{WORK_MS}/{}", sent.len()),
            deadline: Duration::from_millis(2_500),
        };
        sent.push(connection.send(machine.outbound, &request, record));
        thread::sleep(Duration::from_millis(30));
    }
    sent
}

/// LOST: passed on from a kept connection to a sound upstream, and closed without an answer.
fn judge(world: &World, sent: &[Sent], kills: usize) -> Verdict {
    let runs = world.runs();
    let has_run = |sent: &&Sent| runs.iter().any(|run| run.attempt == sent.request.id);
    let closed = sent
        .iter()
        .filter(|sent| sent.is_kept && sent.end == End::Closed);
    let lost = closed.filter(has_run).count();
    let served = sent
        .iter()
        .filter(|sent| sent.end == End::Answered(200))
        .count();
    world.record.tell(&format!(
        "{} requests, {served} served, {lost} passed on from a kept connection and closed without \
         an answer; the node exceeded its memory {kills} times",
        sent.len(),
    ));
    match (served, lost > LOST_MAX) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
