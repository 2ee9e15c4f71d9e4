//! A server becomes cold; a check-in that it sent just before arrives late.

use std::thread;
use std::time::Duration;

use super::Verdict;
use super::cold::{COLD_S, COLD_SERVER, config, judge, load, plan};
use crate::fleet::Fleet;
use crate::record::Record;

/// How late its check-ins arrive.
const LATENESS: Duration = Duration::from_millis(2_500);
/// How often the server becomes cold.
const COLD_TIMES: u32 = 4;

pub fn play(has_trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let fleet = Fleet::start(&plan(), &config(), record)?;
    thread::sleep(Duration::from_secs(4));
    let load = load(&fleet);
    let mut cold = Vec::new();
    let server = &fleet.machines[COLD_SERVER].server;
    thread::scope(|scope| {
        scope.spawn(|| load.play(Duration::from_secs(8) * COLD_TIMES, record));
        if has_trouble {
            // What it sends from now on arrives late, in its order.
            server.delay_check_ins(LATENESS);
        }
        for _ in 0..COLD_TIMES {
            thread::sleep(Duration::from_millis(4_300));
            cold.push(record.now());
            record.note("server 1 becomes cold");
            server.become_cold(Duration::from_secs_f64(COLD_S));
            thread::sleep(Duration::from_millis(3_700));
        }
    });
    drop(fleet);
    Ok(judge(record, &cold))
}
