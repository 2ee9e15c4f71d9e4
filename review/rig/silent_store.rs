//! The store gives no answer to the machines of one region for a while, and a config changes
//! meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, End, Request, Sent};
use crate::config::{self, HOST, Rule};
use crate::node::Machine;
use crate::record::Record;
use crate::upstream::Run;
use crate::world::{DESK, LEDGER, World, three_regions};

/// Region whose machines are turned away: 4 of 12.
const TURNED_AWAY: &str = "kakamega";
/// Regions where `/home/` may be served after the change.
const HOMES: [&str; 2] = ["kisumu", "nakuru"];
const SILENCE: Duration = Duration::from_secs(9);
/// From the start of the silence to the change.
const CHANGE_AFTER: Duration = Duration::from_secs(1);
const CONTACT: Duration = Duration::from_secs(3);
const APPLY: Duration = Duration::from_millis(2_500);
/// For which requests are judged.
const JUDGED: Duration = Duration::from_secs(14);
const WORK_MS: u64 = 60;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let machines = three_regions();
    let config = config::text(1, &rules(1.0, false), &[DESK, LEDGER]);
    let Some(world) = World::start(&machines, &config, record) else {
        return Verdict::CouldNotRun;
    };
    // A first change, a second before the silence; every node takes it up.
    let longer = config::text(2, &rules(1.1, false), &[DESK, LEDGER]);
    world.store.put("op/config", &longer);
    record.line("config 2 is acknowledged (another timeout)");
    let traffic = Traffic::start(&machines, record);
    thread::sleep(Duration::from_secs(1));
    set_silent(&world, trouble);
    thread::sleep(CHANGE_AFTER);
    let moved = config::text(3, &rules(1.1, true), &[DESK, LEDGER]);
    world.store.put("op/config", &moved);
    let acknowledged_at = record.now();
    record.line(
        "config 3 is acknowledged (/moved/ goes to ledger, /added/ is new, /home/ has homes)",
    );
    thread::sleep(SILENCE - CHANGE_AFTER);
    set_silent(&world, false);
    let judged_from = record.now() + CONTACT;
    thread::sleep(CONTACT + JUDGED);
    let sent = traffic.stop();
    judge(&world, &sent, judged_from.max(acknowledged_at + APPLY))
}

/// Rules before the change that gets lost, or after it.
fn rules(timeout_s: f64, is_changed: bool) -> Vec<Rule> {
    let rule = |name, prefix, service, homes| Rule {
        name,
        kind: "safe",
        slo_s: 0.3,
        prefix,
        service,
        timeout_s,
        homes,
    };
    if !is_changed {
        let everywhere: &[&str] = &[];
        return vec![
            rule("moved", "/moved/", DESK, everywhere),
            rule("home", "/home/", DESK, everywhere),
        ];
    }
    vec![
        rule("moved", "/moved/", LEDGER, &[]),
        rule("added", "/added/", LEDGER, &[]),
        rule("home", "/home/", DESK, &HOMES),
    ]
}

fn set_silent(world: &World, silent: bool) {
    let text = if silent {
        "gets no answers"
    } else {
        "is answered again"
    };
    for (path, node) in world.paths.iter().zip(&world.nodes) {
        if node.machine.region == TURNED_AWAY {
            path.set_silent(silent);
            world.record.line(&format!("{} {text}", node.machine.name));
        }
    }
}

/// Consumers on every machine, each with about three requests a second.
struct Traffic {
    consumers: Vec<thread::JoinHandle<Vec<Sent>>>,
    stopped: Arc<AtomicBool>,
}

impl Traffic {
    fn start(machines: &[Machine], record: &Record) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let started = Instant::now();
        let consumers = machines.iter().enumerate().map(|(number, machine)| {
            let record = record.clone();
            let stopped = Arc::clone(&stopped);
            let machine = machine.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                thread::sleep(Duration::from_millis(50 * number as u64));
                while !stopped.load(Ordering::SeqCst) {
                    let prefix = ["moved", "added", "home"][sent.len() % 3];
                    let request = Request {
                        id: format!("{prefix}-{}-{}", machine.name, sent.len()),
                        method: "GET",
                        host: HOST,
                        path: format!("/{prefix}/{WORK_MS}/{}", started.elapsed().as_millis()),
                        deadline: Duration::from_secs(2),
                    };
                    sent.push(client::send(machine.outbound, &request, &record));
                    thread::sleep(Duration::from_millis(250));
                }
                sent
            })
        });
        Self {
            consumers: consumers.collect(),
            stopped,
        }
    }

    fn stop(self) -> Vec<Sent> {
        self.stopped.store(true, Ordering::SeqCst);
        self.consumers
            .into_iter()
            .flat_map(|consumer| consumer.join().expect("no panic"))
            .collect()
    }
}

/// CONFIG: handled as only an older version allows, later than `from`. HOME: run elsewhere.
fn judge(world: &World, sent: &[Sent], from: Duration) -> Verdict {
    let runs = world.runs();
    let judged: Vec<&Sent> = sent.iter().filter(|sent| sent.at > from).collect();
    let run_of = |sent: &Sent| runs.iter().find(|run| run.attempt == sent.request.id);
    let is_on = |sent: &Sent, prefix: &str| sent.request.path.starts_with(prefix);
    let by_old = judged.iter().filter(|sent| {
        is_on(sent, "/moved/") && run_of(sent).is_some_and(|run| run.service == DESK)
    });
    let abroad = judged.iter().filter(|sent| {
        let is_abroad = |run: &Run| !HOMES.iter().any(|home| run.zone.starts_with(home));
        is_on(sent, "/home/") && run_of(sent).is_some_and(is_abroad)
    });
    let unknown = judged.iter().filter(|sent| sent.end == End::Answered(404));
    let last = by_old.clone().map(|sent| sent.at).max().unwrap_or_default();
    let (by_old, abroad, unknown) = (by_old.count(), abroad.count(), unknown.count());
    world.record.tell(&format!(
        "{} requests judged from {:.1} s on: {by_old} run by the old service, {unknown} answered \
         404, {abroad} run outside their home regions; the last run by the old service was sent at \
         {:.1} s",
        judged.len(),
        from.as_secs_f64(),
        last.as_secs_f64(),
    ));
    match (judged.len(), by_old + unknown + abroad) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
