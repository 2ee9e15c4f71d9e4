//! A backend server in cold start receives no more work than it can bear.

mod common;

use std::time::Duration;

use common::{MORAVA_A, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::backend::{self, Control};

fn cold_start_of(cold_time: Duration) -> Setup {
    Setup {
        backend: backend::Settings {
            cold_time,
            service_time: Duration::from_millis(20),
            ..backend::Settings::default()
        },
        ..Setup::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_backend_servers_get_their_allowance_under_full_load() {
    let outlasts_the_calls = cold_start_of(Duration::from_secs(10));
    let world = World::start(outlasts_the_calls).await;
    let calls = world.call(world.kinds(&["calendar", "order-place"]), 200.0, 4);
    let books = calls.await.unwrap();
    let ledger = world.settle(&books).await;
    assert_held(&ledger, Promise::ColdStart);
    assert!(books.row(|_| true).answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn unannounced_cold_start_is_noticed_though_the_health_endpoint_misleads() {
    let mut world = World::start(cold_start_of(Duration::from_millis(1_500))).await;
    let calls = world.call(world.kinds(&["calendar", "order-place"]), 200.0, 7);
    pause(3_000).await;
    let cold_again = Control {
        restart: true,
        health: Some("serving".into()),
        ..Control::default()
    };
    world.control(MORAVA_A, cold_again).await;
    pause(500).await;
    world.fleet.kill_node(MORAVA_A).await.unwrap();
    world.fleet.start_node(MORAVA_A).await.unwrap();
    let books = calls.await.unwrap();
    assert_held(&world.settle(&books).await, Promise::ColdStart);
}
