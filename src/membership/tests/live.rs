//! Members against the store stand-in, over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use tarpc::context;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::acceptance::head::{HEAD_KEY, Head};
use crate::membership::{GateStatus, Instance, Membership, Settings, connect, start};
use crate::plan::Version;
use crate::standin;
use crate::store::http::{self, Http};
use crate::store::{Client, Expect, Outcome, Write, WriteId};

struct Store {
    address: SocketAddr,
    _stop: DropGuard,
}

async fn store() -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let settings = standin::store::Settings::default();
    tokio::spawn(standin::store::serve(listener, settings, stop.clone()));
    Store {
        address,
        _stop: stop.drop_guard(),
    }
}

impl Store {
    fn client(&self) -> Http {
        Http::new(self.address, http::Settings::default())
    }

    async fn write_plan(&self, version: u64) {
        let head = Head {
            version: Version(version),
            text: Some("sheet".into()),
            ..Head::default()
        };
        let write = Write {
            key: HEAD_KEY.into(),
            value: serde_json::to_string(&head).ok(),
            expect: Expect::Anything,
            lease: None,
            id: WriteId(version),
        };
        let outcome = self.client().write(write).await.unwrap();
        assert!(matches!(outcome, Outcome::Applied(_)));
    }
}

async fn member(store: &Store, name: &str, stop: &CancellationToken) -> Membership {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings::default();
    let instance = Instance {
        name: name.into(),
        zone: "morava-a".into(),
        region: "morava".into(),
        control: listener.local_addr().unwrap(),
        ..settings.instance.clone()
    };
    let settings = Settings {
        instance,
        announcement_jitter_max: Duration::ZERO,
        ..settings
    };
    start(
        settings,
        store.client(),
        listener,
        GateStatus::default,
        stop.clone(),
    )
    .await
}

async fn wait_until_known(member: &Membership, version: u64, instances: usize) {
    let mut handle = member.handle();
    loop {
        let snapshot = handle.snapshot();
        if snapshot.plan.version == Version(version) && snapshot.view.len() == instances {
            return;
        }
        handle.changed().await;
    }
}

#[tokio::test]
async fn twelve_nodes_learn_plan_and_view() {
    let store = store().await;
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    store.write_plan(1).await;
    let mut members = Vec::new();
    for n in 0..12 {
        members.push(member(&store, &format!("node-{n}"), &stop).await);
    }
    for member in &members {
        wait_until_known(member, 1, 12).await;
    }
    store.write_plan(2).await;
    for member in &members {
        wait_until_known(member, 2, 12).await;
    }
}

#[tokio::test]
async fn status_is_served_to_tools() {
    let store = store().await;
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    store.write_plan(1).await;
    let member = member(&store, "node-0", &stop).await;
    wait_until_known(&member, 1, 1).await;
    let snapshot = member.handle().snapshot();
    let address = snapshot.view.get("node-0").unwrap().control;
    let client = connect(address).await.unwrap();
    let status = client.status(context::current()).await.unwrap();
    assert_eq!(status.plan_version, Version(1));
    assert_eq!(status.instance, "node-0");
}

#[tokio::test]
async fn member_that_leaves_is_out_of_the_view() {
    let store = store().await;
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    store.write_plan(1).await;
    let stays = member(&store, "stays", &stop).await;
    let leaves = member(&store, "leaves", &stop).await;
    wait_until_known(&stays, 1, 2).await;
    leaves.leave().await;
    wait_until_known(&stays, 1, 1).await;
}
