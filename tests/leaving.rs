//! A backend server that is leaving receives no new work after a few seconds.

mod common;

use common::{MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::backend::Control;

/// Time after which work counts as late.
const GRACE_MS: u64 = 2_000;

fn draining() -> Control {
    Control {
        drain_grace_ms: Some(GRACE_MS),
        ..Control::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_backend_server_gets_no_work_though_its_node_restarts() {
    let mut world = World::start(Setup::default()).await;
    let kinds = world.kinds(&["calendar", "order-place", "payment"]);
    let calls = world.call(kinds, 150.0, 6);
    pause(500).await;
    world.control(MORAVA_B, draining()).await;
    pause(500).await;
    world.fleet.kill_node(MORAVA_B).await.unwrap();
    world.fleet.start_node(MORAVA_B).await.unwrap();
    pause(1_500).await;
    // Payments stay in morava, so from here on every one of them is refused.
    world.control(MORAVA_A, draining()).await;
    let books = calls.await.unwrap();
    let ledger = world.settle(&books).await;
    assert_held(&ledger, Promise::Leaving);
    assert_held(&ledger, Promise::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_backend_server_gets_no_work_though_its_health_endpoint_misleads() {
    let world = World::start(Setup::default()).await;
    let calls = world.call(world.kinds(&["calendar", "order-place"]), 150.0, 6);
    pause(500).await;
    let misleading = Control {
        health: Some("serving".into()),
        ..draining()
    };
    world.control(MORAVA_A, misleading).await;
    let books = calls.await.unwrap();
    assert_held(&world.settle(&books).await, Promise::Leaving);
}
