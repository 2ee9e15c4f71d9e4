//! Golden files of whole sessions of the real processes.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::session::Session;
use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World};
use monsooncove::bench::demo::{wait_until_in_force, wait_until_node_has};
use monsooncove::bench::process::Ready;
use monsooncove::standin::backend;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const BENCH: &str = env!("CARGO_BIN_EXE_monsooncove-bench");
const NODE: &str = env!("CARGO_BIN_EXE_monsooncove-node");
const SHEET: &str = env!("CARGO_BIN_EXE_monsooncove-sheet");

/// A world in which nothing depends on the load of the machine.
async fn warm_world() -> World {
    let setup = Setup {
        backend: backend::Settings {
            cold_time: Duration::ZERO,
            service_time: Duration::from_millis(1),
            ..backend::Settings::default()
        },
        ..Setup::default()
    };
    World::start(setup).await
}

fn caller_address(world: &World, index: usize) -> SocketAddr {
    world.fleet.upstreams()[index].ready.caller.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_is_answered() {
    let world = warm_world().await;
    let entry = caller_address(&world, MORAVA_A);
    let mut session = Session::default();
    session
        .call(
            entry,
            "GET /calendar/1 HTTP/1.1\nhost: odber\nx-request-id: 1\nx-answer-bytes: 0",
        )
        .await;
    session
        .call(
            entry,
            "POST /orders HTTP/1.1\nhost: odber\nx-request-id: 2\ncontent-length: 0",
        )
        .await;
    session.assert("call_is_answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_is_refused() {
    let world = warm_world().await;
    let mut session = Session::default();
    let abroad = caller_address(&world, CECHY_A);
    let home = caller_address(&world, MORAVA_A);
    session.line("# no such route");
    session
        .call(home, "GET /nowhere HTTP/1.1\nhost: odber")
        .await;
    session.line("# no such tenant");
    session
        .call(
            home,
            "GET /calendar HTTP/1.1\nhost: odber\nmonsooncove-tenant: nobody",
        )
        .await;
    session.line("# a body that is never sent, outside the home regions");
    session
        .call(
            abroad,
            "POST /payments HTTP/1.1\nhost: odber\ncontent-length: 10",
        )
        .await;
    session.assert("call_is_refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn sheets_are_applied_and_refused() {
    let world = warm_world().await;
    let store = format!("--store={}", world.fleet.store());
    let sheet = world.operator.sheet().to_csv();
    let mut session = Session::default();
    session.run(
        SHEET,
        &["apply", "-", &store],
        &sheet.replace(",80,", ",85,"),
    );
    session.run(
        SHEET,
        &["apply", "-", &store],
        &sheet.replace(",80,", ",dear,"),
    );
    session.assert("sheets_are_applied_and_refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_goes_out_and_comes_back() {
    let mut world = warm_world().await;
    let store = format!("--store={}", world.fleet.store());
    let entry = caller_address(&world, MORAVA_A);
    let payment = "POST /payments HTTP/1.1\nhost: odber\nx-request-id: 1\ncontent-length: 0";
    let mut session = Session::default();
    for zone in ["morava-a", "morava-b"] {
        session.line(&format!("# {zone} goes out"));
        let version = world.operator.set_zone(zone, false).await.unwrap();
        wait_until_in_force(&world.fleet, version).await.unwrap();
    }
    session.call(entry, payment).await;
    session.run(SHEET, &["status", &store], "");
    session.line("# morava-a comes back");
    let version = world.operator.set_zone("morava-a", true).await.unwrap();
    wait_until_in_force(&world.fleet, version).await.unwrap();
    session.call(entry, payment).await;
    session.assert("zone_goes_out_and_comes_back");
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stops_gracefully() {
    let mut world = warm_world().await;
    let backend = world.fleet.upstreams()[MORAVA_B].backend_address;
    world.fleet.kill_node(MORAVA_B).await.unwrap();
    let mut node = Command::new(NODE)
        .args([
            "--instance=odber-morava-b",
            "--service=odber",
            "--region=morava",
        ])
        .args([
            "--availability-zone=morava-b",
            "--caller-listen=127.0.0.1:0",
        ])
        .args(["--peer-listen=127.0.0.1:0", "--control-listen=127.0.0.1:0"])
        .arg(format!("--backend-server={backend}"))
        .arg(format!("--store={}", world.fleet.store()))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(node.stdout.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    let ready: Ready = serde_json::from_str(&line).unwrap();
    wait_until_node_has(ready.control, world.version)
        .await
        .unwrap();
    let id = i32::try_from(node.id()).unwrap();
    kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    let output = node.wait_with_output().unwrap();
    let mut session = Session::default();
    session.line(&line);
    session.line("# SIGTERM");
    session.text(&String::from_utf8_lossy(&output.stderr));
    session.line(&format!("exit code {}", output.status.code().unwrap()));
    session.assert("node_stops_gracefully");
}

#[test]
fn help_is_printed() {
    let mut session = Session::default();
    session.run(NODE, &["--help"], "");
    for command in [
        "demo", "soak", "load", "overhead", "explain", "store", "backend",
    ] {
        session.run(BENCH, &[command, "--help"], "");
    }
    session.run(BENCH, &["--help"], "");
    session.assert("help_is_printed");
}
