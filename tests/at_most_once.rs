//! A non-idempotent request runs at most once.

mod common;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::backend::Control;
use monsooncove::standin::wire::Mode;
use nix::sys::signal::Signal;

#[tokio::test(flavor = "multi_thread")]
async fn orders_run_at_most_once_while_nodes_die_and_links_break() {
    let setup = Setup {
        wired: true,
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    let calls = world.call(world.kinds(&["order-place"]), 150.0, 7);
    pause(500).await;
    let failing = Control {
        fail: Some(true),
        ..Control::default()
    };
    world.control(CECHY_A, failing).await;
    for mode in [Mode::Cut, Mode::Pass, Mode::Hold, Mode::Cut, Mode::Pass] {
        let wires = world.fleet.upstreams()[MORAVA_B].wires.as_ref();
        wires.unwrap().peer.set(mode);
        pause(500).await;
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
