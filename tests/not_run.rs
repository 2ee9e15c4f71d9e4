//! A refusal that says "not run" is true.

mod common;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::backend::Control;
use monsooncove::standin::wire::Mode;
use nix::sys::signal::Signal;

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_true_while_servers_shed_fail_and_links_break() {
    let setup = Setup {
        wired: true,
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    let calls = world.call(world.kinds(&["calendar", "order-place"]), 400.0, 7);
    pause(500).await;
    let shedding = Control {
        shed: Some(true),
        ..Control::default()
    };
    world.control(CECHY_A, shedding).await;
    pause(500).await;
    let slow = Control {
        slowdown: Some(200),
        ..Control::default()
    };
    world.control(MORAVA_B, slow).await;
    pause(500).await;
    for mode in [Mode::Cut, Mode::Pass, Mode::Hold, Mode::Pass] {
        let wires = world.fleet.upstreams()[MORAVA_B].wires.as_ref();
        wires.unwrap().peer.set(mode);
        pause(500).await;
    }
    world.fleet.upstreams()[MORAVA_A]
        .signal(Signal::SIGSTOP)
        .unwrap();
    pause(1_000).await;
    world.fleet.upstreams()[MORAVA_A]
        .signal(Signal::SIGCONT)
        .unwrap();
    pause(500).await;
    world.fleet.kill_node(MORAVA_B).await.unwrap();
    let books = calls.await.unwrap();
    assert_held(&world.settle(&books).await, Promise::NotRun);
}
