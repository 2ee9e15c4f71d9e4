use std::time::{Duration, Instant};

use http::Method;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::client::compare;
use super::{Books, Ending, Entry, Kind, Row, Schedule, Settings, Target};
use crate::standin::backend;
use crate::standin::payload::{self, Side};

fn kind() -> Kind {
    Kind {
        route: "orders".into(),
        service: "odber".into(),
        tenant: None,
        method: Method::POST,
        path: "/orders".into(),
        idempotent: false,
        keyed: false,
        home: vec!["morava".into()],
        request_bytes: 100,
        answer_bytes: 70_000,
        patience: Duration::from_secs(5),
    }
}

fn settings() -> Settings {
    let target = |port, region: &str| Target {
        address: ([127, 0, 0, 1], port).into(),
        region: Some(region.into()),
    };
    Settings {
        targets: vec![target(1, "morava"), target(2, "cechy")],
        kinds: vec![kind()],
        ..Settings::default()
    }
}

fn entry(ending: Ending, millis: u64) -> Entry {
    Entry {
        id: "1".into(),
        kind: 0,
        target: None,
        due: Duration::ZERO,
        elapsed: Duration::from_millis(millis),
        ending,
    }
}

fn row(endings: &[Ending]) -> Row {
    let mut books = Books::new(vec![kind()]);
    for ending in endings {
        books.add(entry(ending.clone(), 10));
    }
    books.row(|_| true)
}

fn answered_by_a_backend() -> Vec<Ending> {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = CancellationToken::new();
        let serving = backend::serve(listener, backend::Settings::default(), shutdown.clone());
        let serving = tokio::spawn(serving);
        let settings = Settings {
            targets: vec![Target {
                address,
                region: None,
            }],
            rate: 1_000.0,
            duration: Duration::from_millis(10),
            ..settings()
        };
        let books = super::run(settings, Instant::now(), |_| {}).await;
        shutdown.cancel();
        serving.await.unwrap();
        let endings = books.entries().iter();
        endings.map(|entry| entry.ending.clone()).collect()
    })
}

fn compared(from: &str, bytes: usize) -> Ending {
    let sent = payload::slice("1", Side::Request, 0, 100);
    let digest = format!("{:016x}", xxh3_64(&sent));
    let body = payload::slice(from, Side::Answer, 0, bytes);
    compare(&body, Some(&digest), &kind(), "1")
}

fn compared_with_other_digest() -> Ending {
    let body = payload::slice("1", Side::Answer, 0, 70_000);
    compare(&body, Some("0"), &kind(), "1")
}

fn home_share() -> usize {
    let settings = settings();
    Schedule::new(&settings)
        .filter(|arrival| arrival.targets.len() == 1 && arrival.targets[0].port() == 1)
        .count()
}

cases! {
    schedule_of_a_seed_is_always_the_same:
        assert!(Schedule::new(&settings()).eq(Schedule::new(&settings())));
    schedule_meets_its_rate:
        assert!((900..1_100).contains(&Schedule::new(&settings()).count()));
    most_calls_start_at_home:
        assert!(home_share() > 850);
    answer_counts_as_answered:
        assert_eq!(row(&[Ending::Answered]).answered, 1);
    mixed_and_cut_answers_count_as_wrong:
        assert_eq!(row(&[Ending::Mixed, Ending::Cut]).wrong, 2);
    call_without_ending_counts_as_lost:
        assert_eq!(row(&[Ending::Lost]).lost, 1);
    latency_is_that_of_answers_only:
        assert!(row(&[Ending::Lost]).percentile_ms(99.0) < 0.001);
    whole_answer_is_recognised:
        assert_eq!(compared("1", 70_000), Ending::Answered);
    answer_to_another_request_is_mixed:
        assert_eq!(compared("2", 70_000), Ending::Mixed);
    answer_to_an_altered_request_is_mixed:
        assert_eq!(compared_with_other_digest(), Ending::Mixed);
    short_answer_is_cut:
        assert_eq!(compared("1", 69_999), Ending::Cut);
    answers_of_a_backend_server_are_recognised:
        assert!(answered_by_a_backend().iter().all(|ending| *ending == Ending::Answered));
}
