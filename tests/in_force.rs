//! An accepted configuration is in force everywhere within seconds and never
//! reverts.

mod common;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::operator::{Operator, with_zone};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::store::Faults;
use monsooncove::standin::wire::Mode;
use nix::sys::signal::Signal;

#[tokio::test(flavor = "multi_thread")]
async fn plans_move_forward_through_races_outages_freezes_and_restarts() {
    let setup = Setup {
        wired: true,
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    let monitor = world.monitor();

    // Two operators race; a lost answer must not turn into a second change.
    let lost_answer = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    world.fleet.set_store_faults(&lost_answer).await.unwrap();
    let store = world.fleet.store();
    let first = Operator::new(
        store,
        with_zone(world.operator.sheet(), "morava-a", false).unwrap(),
    );
    let second = Operator::new(
        store,
        with_zone(world.operator.sheet(), "cechy-a", false).unwrap(),
    );
    let (first, second) = tokio::join!(first.apply(), second.apply());
    let winner = first.iter().chain(second.iter()).max().copied();
    monitor.expect(winner.expect("one of two operators succeeds"));

    // A node sleeps through a change whose control links are cut as well.
    let frozen = world.fleet.upstreams()[MORAVA_B].ready.control.unwrap();
    monitor.ignore(frozen);
    world.fleet.upstreams()[MORAVA_B]
        .signal(Signal::SIGSTOP)
        .unwrap();
    let wires = world.fleet.upstreams()[CECHY_A].wires.as_ref().unwrap();
    wires.control.set(Mode::Cut);
    let version = world.operator.set_zone("morava-b", false).await.unwrap();
    monitor.expect(version);
    pause(3_500).await;
    world.fleet.upstreams()[MORAVA_B]
        .signal(Signal::SIGCONT)
        .unwrap();
    monitor.watch(frozen);
    let wires = world.fleet.upstreams()[CECHY_A].wires.as_ref().unwrap();
    wires.control.set(Mode::Pass);
    pause(500).await;

    // The store goes down right after a change; a node starts during that.
    let version = world.operator.set_zone("morava-b", true).await.unwrap();
    monitor.expect(version);
    pause(500).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    world.fleet.set_store_faults(&down).await.unwrap();
    let killed = world.fleet.upstreams()[MORAVA_A].ready.control.unwrap();
    monitor.ignore(killed);
    world.fleet.kill_node(MORAVA_A).await.unwrap();
    pause(3_500).await;
    world
        .fleet
        .set_store_faults(&Faults::default())
        .await
        .unwrap();
    world.fleet.start_node(MORAVA_A).await.unwrap();
    monitor.watch(world.fleet.upstreams()[MORAVA_A].ready.control.unwrap());
    pause(3_500).await;
    assert_held(&monitor.ledger(), Promise::InForce);
}
