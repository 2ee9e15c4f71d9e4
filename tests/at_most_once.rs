//! A non-idempotent request runs at most once.

mod common;

use std::time::Duration;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::backend::{self, Control};
use monsooncove::standin::caller::Kind;
use monsooncove::standin::wire::Mode;
use nix::sys::signal::Signal;

/// Short enough for a node to keep, so that it could send them once more.
const ORDER_BYTES: usize = 200;

fn orders(world: &World) -> Vec<Kind> {
    let kinds = world.kinds(&["order-place"]).into_iter();
    kinds
        .map(|kind| Kind {
            request_bytes: ORDER_BYTES,
            ..kind
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_run_at_most_once_while_nodes_die_and_links_break() {
    let setup = Setup {
        wired: true,
        backend: backend::Settings {
            service_time: Duration::from_millis(150),
            cold_time: Duration::ZERO,
            ..backend::Settings::default()
        },
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    let calls = world.call(orders(&world), 80.0, 7);
    pause(500).await;
    let failing = Control {
        fail: Some(true),
        ..Control::default()
    };
    world.control(CECHY_A, failing).await;
    pause(1_000).await;
    for mode in [
        Mode::Hold,
        Mode::Cut,
        Mode::Pass,
        Mode::Hold,
        Mode::Cut,
        Mode::Pass,
    ] {
        let wires = world.fleet.upstreams()[MORAVA_B].wires.as_ref();
        wires.unwrap().peer.set(mode);
        pause(400).await;
    }
    world.fleet.upstreams()[MORAVA_B]
        .signal(Signal::SIGSTOP)
        .unwrap();
    pause(1_000).await;
    world.fleet.upstreams()[MORAVA_B]
        .signal(Signal::SIGCONT)
        .unwrap();
    world.fleet.kill_node(MORAVA_A).await.unwrap();
    let books = calls.await.unwrap();
    let ledger = world.settle(&books).await;
    assert_held(&ledger, Promise::AtMostOnce);
    assert!(books.row(|_| true).answered > 0);
}
