//! The client against the stand-in and its faults.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::TokioExecutor;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::backoff::Backoff;
use super::{Http, Settings};
use crate::standin::store::{self, Counters, Faults};
use crate::store::{Client, Error, Expect, Outcome, Revision, Watched, Write, WriteId};

const QUICK: Duration = Duration::from_millis(200);

struct Store {
    address: SocketAddr,
    _stop: DropGuard,
}

impl Store {
    async fn start(settings: store::Settings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        tokio::spawn(store::serve(listener, settings, stop.clone()));
        Self {
            address,
            _stop: stop.drop_guard(),
        }
    }

    fn client(&self, settings: Settings) -> Http {
        Http::new(self.address, settings)
    }

    async fn fault(&self, faults: Faults) {
        let body = serde_json::to_vec(&faults).unwrap();
        let request = Request::post(format!("http://{}/-/faults", self.address))
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        let pool = Pool::builder(TokioExecutor::new()).build_http();
        assert!(pool.request(request).await.unwrap().status().is_success());
    }

    async fn counters(&self) -> Counters {
        let pool = Pool::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let uri = format!("http://{}/-/counters", self.address);
        let answer = pool.get(uri.parse().unwrap()).await.unwrap();
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&body).unwrap()
    }
}

fn put(id: u64) -> Write {
    Write {
        key: "/a".into(),
        value: Some(id.to_string()),
        expect: Expect::Anything,
        lease: None,
        id: WriteId(id),
    }
}

fn quick() -> Settings {
    Settings {
        attempt_timeout: QUICK,
        backoff_base: Duration::from_millis(1),
        ..Settings::default()
    }
}

#[tokio::test]
async fn lost_answer_is_unknown_and_the_write_id_settles_it() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    store
        .fault(Faults {
            lose_answers: 1,
            ..Faults::default()
        })
        .await;
    assert_eq!(client.write(put(7)).await, Ok(Outcome::Unknown));
    let record = client.get("/a").await.unwrap().unwrap();
    assert_eq!(record.write_id, WriteId(7));
    assert_eq!(store.counters().await.writes, 1);
}

#[tokio::test]
async fn write_that_is_never_answered_is_unknown_and_not_repeated() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    store
        .fault(Faults {
            hang: true,
            ..Faults::default()
        })
        .await;
    assert_eq!(client.write(put(7)).await, Ok(Outcome::Unknown));
    assert_eq!(store.counters().await.writes, 1);
}

#[tokio::test]
async fn write_to_a_closed_port_certainly_had_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Http::new(address, quick());
    let result = client.write(put(7)).await;
    assert!(matches!(result, Err(Error::Unreachable { .. })));
}

#[tokio::test]
async fn reads_are_tried_again_and_give_up() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    store
        .fault(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
    let result = client.get("/a").await;
    assert!(matches!(result, Err(Error::Unreachable { .. })));
    assert_eq!(store.counters().await.gets, 3);
}

#[tokio::test]
async fn slow_store_is_given_up_in_time() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    store
        .fault(Faults {
            delay_ms: 60_000,
            ..Faults::default()
        })
        .await;
    let result = client.list("/").await;
    assert!(matches!(result, Err(Error::Unreachable { .. })));
}

#[tokio::test]
async fn older_answers_end_with_the_fault() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    client.write(put(1)).await.unwrap();
    store
        .fault(Faults {
            older: true,
            ..Faults::default()
        })
        .await;
    client.write(put(2)).await.unwrap();
    assert_eq!(client.get("/a").await.unwrap().unwrap().value, "1");
    store.fault(Faults::default()).await;
    assert_eq!(client.get("/a").await.unwrap().unwrap().value, "2");
}

#[tokio::test]
async fn spent_budget_makes_no_call() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(Settings {
        calls_per_second: 0.0,
        burst_calls: 2.0,
        ..quick()
    });
    client.get("/a").await.unwrap();
    client.get("/a").await.unwrap();
    assert_eq!(client.get("/a").await, Err(Error::Budget));
    assert_eq!(store.counters().await.gets, 2);
}

#[tokio::test]
async fn rate_limit_of_the_store_refuses_calls_with_no_effect() {
    let store = Store::start(store::Settings {
        writes_per_second: 0.0,
        ..store::Settings::default()
    })
    .await;
    let client = store.client(quick());
    let result = client.write(put(1)).await;
    assert!(matches!(result, Err(Error::Refused { .. })));
    assert_eq!(client.get("/a").await, Ok(None));
}

#[tokio::test]
async fn watch_returns_the_change_it_waited_for() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    let wait = Duration::from_secs(10);
    let (watched, written) =
        tokio::join!(client.watch("/", Revision(0), wait), client.write(put(1)));
    assert_eq!(written, Ok(Outcome::Applied(Revision(1))));
    let Ok(Watched::Changes { revision, changes }) = watched else {
        panic!("no changes: {watched:?}");
    };
    assert_eq!(revision, Revision(1));
    assert_eq!(changes.len(), 1);
}

#[tokio::test]
async fn watch_that_waits_in_vain_returns_no_change() {
    let store = Store::start(store::Settings::default()).await;
    let client = store.client(quick());
    let watched = client
        .watch("/", Revision(0), Duration::from_millis(1))
        .await;
    assert_eq!(
        watched,
        Ok(Watched::Changes {
            revision: Revision(0),
            changes: Vec::new(),
        })
    );
}

#[test]
fn backoff_doubles_up_to_its_limit_and_ends() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let base = Duration::from_millis(50);
    let limit = Duration::from_millis(120);
    let mut backoff = Backoff::new(4, base, limit);
    for bound in [50, 100, 120] {
        let pause = backoff.next(&mut rng).unwrap();
        assert!(pause <= Duration::from_millis(bound));
    }
    assert_eq!(backoff.next(&mut rng), None);
}

mod eras {
    //! Answers and calls around the return of a store from an older copy.

    use std::time::Duration;

    use crate::store::http::era::{self, KnownEra, WentBack};
    use crate::store::http::protocol::{Answer, Call};
    use crate::store::{Expect, Outcome, Revision, Watched, Write, WriteId};

    const OLD: Revision = Revision::in_era(1, 500);

    const fn watch() -> Call<'static> {
        Call::Watch {
            prefix: "a/",
            after: OLD,
            wait: Duration::ZERO,
        }
    }

    fn write() -> Write {
        Write {
            key: "a/b".into(),
            value: None,
            expect: Expect::Revision(OLD),
            lease: None,
            id: WriteId(1),
        }
    }

    fn changes(revision: u64) -> Answer {
        Answer::Watched(Watched::Changes {
            revision: Revision(revision),
            changes: Vec::new(),
        })
    }

    cases! {
        later_era_orders_before_a_higher_number: assert!(Revision::in_era(2, 3) > OLD);
        position_has_its_parts: assert_eq!((OLD.era(), OLD.within_era()), (1, 500));
        store_without_eras_counts_plainly: assert_eq!(Revision::in_era(0, 500), Revision(500));
        answer_is_lifted_into_its_era:
            assert_eq!(era::lift(&watch(), 1, changes(501)), changes(Revision::in_era(1, 501).0));
        watch_of_an_earlier_era_has_lost_its_history:
            assert_eq!(era::lift(&watch(), 2, changes(501)), Answer::Watched(Watched::Compacted));
        watch_of_an_earlier_era_is_not_sent: assert_eq!(
            era::outdated_answer(&watch(), 2),
            Some(Answer::Watched(Watched::Compacted))
        );
        condition_of_an_earlier_era_does_not_hold: assert_eq!(
            era::outdated_answer(&Call::Write(&write()), 2),
            Some(Answer::Written(Outcome::NotApplied(None)))
        );
        call_of_the_newest_era_is_sent: assert_eq!(era::outdated_answer(&watch(), 1), None);
        condition_is_sent_as_the_store_counts:
            assert_eq!(era::lower_write(&write()).expect, Expect::Revision(Revision(500)));
        era_that_goes_back_is_not_followed: {
            let known = KnownEra::default();
            assert_eq!(known.observe(Some(2)), Ok(2));
            assert_eq!(known.observe(Some(1)), Err(WentBack { known: 2, told: 1 }));
            assert_eq!(known.get(), 2);
        };
        answer_without_an_era_is_of_the_newest: {
            let known = KnownEra::default();
            assert_eq!(known.observe(Some(2)), Ok(2));
            assert_eq!(known.observe(None), Ok(2));
        };
    }
}
