//! A non-idempotent request runs at most once.

mod common;

use std::time::Duration;

use common::{CECHY_A, MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::{Ledger, Promise};
use monsooncove::standin::backend::{self, Control};
use monsooncove::standin::caller::{Books, Client, Ending, Entry, Kind, Protocol};
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

/// Orders that are sent three times, through three nodes.
const KEYED_ORDERS: usize = 60;

/// Time after which a node that has just started takes keyed calls.
const STARTING: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread")]
async fn keyed_order_sent_through_several_nodes_runs_once_though_one_dies() {
    let mut world = World::start(Setup::default()).await;
    tokio::time::sleep(STARTING).await;
    send_keyed_orders(&mut world, "order", Some(KEYED_ORDERS / 2)).await;
    assert!(!world.fleet.executions().await.unwrap().0.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_order_runs_once_though_nodes_have_just_started() {
    let mut world = World::start_early(Setup::default()).await;
    send_keyed_orders(&mut world, "early", None).await;
    tokio::time::sleep(STARTING).await;
    send_keyed_orders(&mut world, "late", Some(KEYED_ORDERS / 2)).await;
    assert!(!world.fleet.executions().await.unwrap().0.is_empty());
}

/// Sends each order through every node at once; kills one before `kill_at`.
async fn send_keyed_orders(world: &mut World, name: &str, kill_at: Option<usize>) {
    let kind = orders(world).remove(0);
    let kind = Kind {
        keyed: true,
        ..kind
    };
    let targets = world.fleet.targets();
    let mut books = Books::new(vec![kind.clone()]);
    for number in 0..KEYED_ORDERS {
        let id = format!("{name}-{number}");
        let client = Client::new(Protocol::Http2);
        let copies = targets.iter().map(|target| {
            let targets = [target.address];
            let (client, kind, id) = (client.clone(), kind.clone(), id.clone());
            async move { client.call(&targets, &kind, &id).await }
        });
        let copies = futures::future::join_all(copies);
        if Some(number) == kill_at {
            let (endings, killed) = tokio::join!(copies, world.fleet.kill_node(MORAVA_A));
            killed.unwrap();
            enter(&mut books, &id, endings);
        } else {
            enter(&mut books, &id, copies.await);
        }
    }
    let executions = world.fleet.executions().await.unwrap();
    let mut ledger = Ledger::default();
    ledger.check_calls(&books, &executions);
    assert_held(&ledger, Promise::AtMostOnce);
}

/// Enters the endings of all copies as one call each.
fn enter(books: &mut Books, id: &str, endings: Vec<Ending>) {
    for ending in endings {
        books.add(Entry {
            id: id.to_owned(),
            kind: 0,
            target: None,
            due: Duration::ZERO,
            elapsed: Duration::ZERO,
            ending,
        });
    }
}
