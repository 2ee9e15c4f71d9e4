//! Membership of real node processes against the store stand-in.

mod deployment;

use std::time::Duration;

use deployment::Deployment;
use monsooncove::membership::{Epoch, INSTANCE_PREFIX, Instance};
use monsooncove::standin::store::Faults;
use monsooncove::store::{Client, Expect, Outcome, Write, WriteId};
use nix::sys::signal::Signal;

fn key(instance: &str) -> String {
    format!("{INSTANCE_PREFIX}{instance}")
}

#[tokio::test]
async fn node_that_was_paused_past_its_lease_announces_itself_anew() {
    let deployment = Deployment::start().await;
    let paused = &deployment.fleet.upstreams()[0];
    let name = paused.place.instance();
    let store = deployment.store();
    let announced = deployment.announcement(&name).await;
    paused.signal(Signal::SIGSTOP).unwrap();
    deployment
        .wait_for_others(0, |status| status.instances == 11)
        .await;
    // The lease lapses, for all that the paused node can tell.
    let lapse = Write {
        key: key(&name),
        value: None,
        expect: Expect::Anything,
        lease: None,
        id: WriteId(1),
    };
    assert!(matches!(store.write(lapse).await, Ok(Outcome::Applied(_))));
    paused.signal(Signal::SIGCONT).unwrap();
    deployment
        .wait_for_others(0, |status| status.instances == 12)
        .await;
    let again: Instance = deployment.announcement(&name).await;
    assert!(again.epoch > announced.epoch);
    assert!(again.epoch > Epoch(0));
}

#[tokio::test]
async fn store_outage_during_a_zone_order_changes_nothing_and_evicts_nobody() {
    let mut deployment = Deployment::start().await;
    let before = deployment.version;
    deployment
        .fault(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
    assert!(deployment.set_zone("morava-a", false).await.is_err());
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment
        .wait_for_all(|status| status.plan_version == before && status.instances == 12)
        .await;
    deployment.fault(Faults::default()).await;
    let after = deployment.set_zone("morava-a", false).await.unwrap();
    assert!(after > before);
    deployment
        .wait_for_all(|status| status.plan_version == after && status.instances == 12)
        .await;
}

#[tokio::test]
async fn every_node_replaced_keeps_plan_and_view() {
    let mut deployment = Deployment::start().await;
    let version = deployment.version;
    for index in 0..12 {
        assert!(deployment.fleet.stop_node(index).await.unwrap());
        deployment
            .wait_for_others(index, |status| status.instances == 11)
            .await;
        deployment.fleet.start_node(index).await.unwrap();
        deployment
            .wait_for_all(|status| status.plan_version == version && status.instances == 12)
            .await;
    }
}
