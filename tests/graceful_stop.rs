//! Every planned stop is a graceful shutdown: it cuts no request.

mod common;

use std::time::{Duration, Instant};

use common::{MORAVA_A, MORAVA_B, Setup, World, assert_held, pause};
use monsooncove::bench::promises::{Ledger, Promise};
use monsooncove::standin::caller::{Books, Ending, Kind};

const UPLOAD_BYTES: usize = 3_000_000;

fn uploads(world: &World) -> Vec<Kind> {
    let kinds = world.kinds(&["photo"]).into_iter();
    kinds
        .map(|kind| Kind {
            request_bytes: UPLOAD_BYTES,
            ..kind
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn stops_cut_neither_calls_nor_long_uploads() {
    let mut world = World::start(Setup::default()).await;
    let origin = Instant::now();
    let calls = world.call(world.kinds(&["calendar", "order-place"]), 100.0, 6);
    let uploads = world.call(uploads(&world), 5.0, 6);
    pause(1_500).await;
    for index in [MORAVA_A, MORAVA_B] {
        assert!(world.fleet.stop_node(index).await.unwrap());
        world.fleet.start_node(index).await.unwrap();
        pause(700).await;
    }
    let mut ledger = Ledger::default();
    for books in [calls.await.unwrap(), uploads.await.unwrap()] {
        ledger.check_stop(&books, Duration::ZERO, origin.elapsed());
        assert!(books.row(|_| true).answered > 0);
        print_unanswered(&books);
    }
    assert_held(&ledger, Promise::Graceful);
    let checks = world.fleet.checks().await.unwrap();
    assert_eq!(checks.iter().map(|checks| checks.cut).sum::<u64>(), 0);
    assert_eq!(world.fleet.stop().await, Vec::<String>::new());
}

/// Shown when the test fails.
fn print_unanswered(books: &Books) {
    for entry in books.entries() {
        if entry.ending != Ending::Answered {
            println!("{entry:?}");
        }
    }
}
