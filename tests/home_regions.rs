//! A request with home regions is served, forwarded and stored nowhere else.

mod common;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::Promise;
use monsooncove::standin::caller::Kind;

/// Stands in the path of every call that must stay in morava.
const MARK: &str = "mark-of-a-payment";

fn payments(world: &World) -> Vec<Kind> {
    let kinds = world.kinds(&["payment"]).into_iter();
    kinds
        .map(|kind| Kind {
            path: format!("/payments/{MARK}"),
            ..kind
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_of_a_call_leaves_its_home_regions_though_all_nodes_there_die() {
    let setup = Setup {
        wired: true,
        ..Setup::default()
    };
    let mut world = World::start(setup).await;
    for upstream in world.fleet.upstreams() {
        let wires = upstream.wires.as_ref().unwrap();
        wires.peer.search(MARK.as_bytes());
        wires.control.search(MARK.as_bytes());
    }
    let calls = world.call_anywhere(payments(&world), 100.0, 5);
    pause(2_000).await;
    let seen_at_home = seen(&world, MORAVA_A) + seen(&world, MORAVA_B);
    world.fleet.kill_node(MORAVA_A).await.unwrap();
    pause(500).await;
    world.fleet.kill_node(MORAVA_B).await.unwrap();
    let books = calls.await.unwrap();
    assert!(seen_at_home > 0, "the search finds what passes at home");
    assert_eq!(seen(&world, CECHY_A), 0);
    assert_held(&world.settle(&books).await, Promise::HomeRegions);
}

/// Times that the mark passed towards or from a node.
fn seen(world: &World, index: usize) -> u64 {
    let wires = world.fleet.upstreams()[index].wires.as_ref().unwrap();
    wires.peer.found() + wires.control.found()
}
