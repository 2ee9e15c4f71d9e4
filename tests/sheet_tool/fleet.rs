use std::net::SocketAddr;

use monsooncove::membership::{self, Epoch, GateStatus, Instance, Membership, State};
use monsooncove::plan::{Plan, Version};
use monsooncove::sheet::{self, example};
use monsooncove::store::http::{self, Http};
use monsooncove::store::{Client, Expect, Write, WriteId};
use tokio::net::TcpListener;

use crate::session::{Session, finish, golden};
use crate::store::without;

type CompileError = Box<dyn std::error::Error + Send + Sync>;

fn compile(version: Version, text: &str) -> Result<Plan, CompileError> {
    let sheet = sheet::parse(text.as_bytes()).map_err(|faults| format!("{faults:?}"))?;
    Ok(sheet.plan(version))
}

fn instance(name: &str, service: &str, zone: &str, control: SocketAddr) -> Instance {
    let (region, _) = zone.split_once('-').expect("zones are named after regions");
    Instance {
        name: name.into(),
        epoch: Epoch(1),
        service: service.into(),
        region: region.into(),
        zone: zone.into(),
        caller: control,
        peer: control,
        control,
        state: State::Present,
        version: String::new(),
    }
}

/// Starts the membership of one node, whose gate reports `gate`.
fn node(
    session: &Session,
    name: &str,
    service: &str,
    zone: &str,
    gate: &'static str,
) -> Membership {
    session.runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let control = listener.local_addr().expect("it is bound");
        let settings = membership::Settings {
            instance: instance(name, service, zone, control),
            compile,
            ..membership::Settings::default()
        };
        let store = session.store.expect("the session has a store");
        let client = Http::new(store, http::Settings::default());
        let report = move || GateStatus {
            gate: gate.into(),
            in_hand: 2,
            queued: 1,
            limit: 9,
        };
        membership::start(settings, client, listener, report, session.shutdown.clone()).await
    })
}

/// Waits until the store lists `count` instances.
fn until_announced(session: &Session, count: usize) {
    loop {
        let output = finish(&mut session.command(&["status", "--json"]), "");
        let report: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("it prints JSON");
        if report["nodes"]
            .as_array()
            .is_some_and(|nodes| nodes.len() == count)
        {
            return;
        }
    }
}

fn spread() {
    let mut session = Session::start();
    let _nodes = [
        node(&session, "odber-1", "odber", "morava-a", "serving"),
        node(&session, "odber-2", "odber", "cechy-a", "warming"),
        node(&session, "snuska-1", "snuska", "morava-a", "serving"),
    ];
    until_announced(&session, 3);
    session.run(&["status"], "");
    session.run(&["apply", "-", "--wait"], example::FARM);
    session.run(&["apply", "-", "--wait", "--json"], &without("morava-a"));
    session.run(&["status"], "");
    session.run(&["status", "--json"], "");
    golden!(session);
}

fn silent_node() {
    let mut session = Session::start();
    let _node = node(&session, "odber-1", "odber", "morava-a", "serving");
    let silent = session
        .runtime
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("a port is free");
    announce(&session, &silent);
    until_announced(&session, 2);
    session.run(
        &["apply", "-", "--wait", "--wait-limit", "1"],
        example::FARM,
    );
    session.run(&["status"], "");
    golden!(session);
}

/// The store comes back empty while a node follows version 2.
fn lost_plan() {
    let mut session = Session::start();
    let _node = node(&session, "odber-1", "odber", "morava-a", "serving");
    until_announced(&session, 1);
    session.run(&["apply", "-"], example::FARM);
    session.run(&["apply", "-", "--wait"], &without("morava-a"));
    delete_head(&session);
    session.run(&["apply", "-", "--wait"], &without("cechy-a"));
    session.run(&["status"], "");
    let after = ["apply", "-", "--after", "2", "--wait"];
    session.run(&after, &without("cechy-a"));
    golden!(session);
}

fn delete_head(session: &Session) {
    write(session, monsooncove::acceptance::head::HEAD_KEY, None);
}

/// Announces an instance whose control address accepts and never answers.
fn announce(session: &Session, silent: &TcpListener) {
    let control = silent.local_addr().expect("it is bound");
    let instance = instance("odber-2", "odber", "slezsko-a", control);
    let key = format!("{}{}", membership::INSTANCE_PREFIX, instance.name);
    write(session, &key, serde_json::to_string(&instance).ok());
}

fn write(session: &Session, key: &str, value: Option<String>) {
    let write = Write {
        key: key.into(),
        value,
        expect: Expect::Anything,
        lease: None,
        id: WriteId(1),
    };
    let store = session.store.expect("the session has a store");
    session.runtime.block_on(async {
        let client = Http::new(store, http::Settings::default());
        client.write(write).await.expect("the store answers");
    });
}

fn store_outage() {
    let mut session = Session::start();
    let control = {
        let node = node(&session, "odber-1", "odber", "morava-a", "serving");
        until_announced(&session, 1);
        session.run(&["apply", "-", "--wait"], &without("cechy-a"));
        let snapshot = node.handle().snapshot();
        let instance = snapshot.view.get("odber-1").expect("it knows itself");
        instance.control.to_string()
    };
    session.faults(r#"{"down":true}"#);
    session.run(&["status"], "");
    session.run(&["status", "--node", &control], "");
    session.run(&["status", "--node", "127.0.0.1:1"], "");
    golden!(session);
}

cases! {
    plan_that_the_store_has_lost_is_noticed: lost_plan();
    node_tells_the_status_while_the_store_is_down: store_outage();
    status_and_wait_tell_how_far_a_sheet_has_spread: spread();
    silent_node_is_named: silent_node();
}
