//! The load caused by measuring stays within its budget.

mod common;

use common::{MORAVA_A, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::store::Faults;

/// What a node may spend on control.
const CONTROL_BYTES_PER_SECOND: u64 = 10_000;
const SECONDS: u64 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn measuring_stays_in_budget_idle_loaded_and_during_an_outage() {
    let setup = Setup {
        wired: true,
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    let before = control_bytes(&world).await;
    let calls = world.call(world.kinds(&["calendar"]), 50.0, 4);
    pause(2_000).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    world.fleet.set_store_faults(&down).await.unwrap();
    pause(2_000).await;
    world
        .fleet
        .set_store_faults(&Faults::default())
        .await
        .unwrap();
    let books = calls.await.unwrap();
    world.fleet.kill_node(MORAVA_A).await.unwrap();
    pause(SECONDS * 1_000 - 4_000).await;
    let nodes = world.fleet.upstreams().len() as u64;
    let spent = control_bytes(&world).await - before;
    let budget = CONTROL_BYTES_PER_SECOND * SECONDS * nodes;
    assert!(spent > 0);
    assert!(
        spent <= budget,
        "{spent} bytes of control, {budget} allowed"
    );
    assert_held(&world.settle(&books).await, Promise::Measuring);
}

/// Bytes of control between nodes and towards the store.
async fn control_bytes(world: &World) -> u64 {
    let wires = world
        .fleet
        .upstreams()
        .iter()
        .filter_map(|up| up.wires.as_ref());
    let between_nodes: u64 = wires.map(|wires| wires.control.bytes()).sum();
    between_nodes + world.fleet.store_counters().await.unwrap().bytes_in
}
