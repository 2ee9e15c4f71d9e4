//! Stand-ins and scripts of the review. Usage: rig CASE FOLDER
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the same is done without the disruption.

mod client;
mod config;
mod http;
mod json;
mod node;
mod record;
mod store;
mod upstream;
mod world;

mod endless_health;
mod health_copy;
mod left_server;
mod silent_store;
mod stop;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest run of a script.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// Result of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let record = Record::create(&PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = case.clone();
    let telling = record.clone();
    // A thread of its own, so that a panic ends the nodes and the script says so.
    let running = thread::spawn(move || match case.as_str() {
        "endless-health" => endless_health::run(&record, trouble),
        "health-copy" => health_copy::run(&record, trouble),
        "left-server" => left_server::run(&record, trouble),
        "silent-store" => silent_store::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        _ => Verdict::CouldNotRun,
    });
    thread::spawn(|| {
        thread::sleep(RUN_LIMIT);
        eprintln!("the script took too long");
        node::kill_all();
        exit(2);
    });
    let verdict = running.join().unwrap_or(Verdict::CouldNotRun);
    telling.tell(&format!("{verdict:?}"));
    exit(verdict as i32);
}
