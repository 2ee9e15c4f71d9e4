//! What an announcement costs the store over the life of a node.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::plan_replica::NumberSource;
use crate::clock::Clock;
use crate::membership::direct::{
    self, Announcement, DepartedProcess, Membership, PlanSource, Settings,
};
use crate::membership::{Epoch, Instance, State};
use crate::standin::store::Local;
use crate::store::Client;

const NAME: &str = "odber-1";
const KEY: &str = "monsooncove/node/odber-1";

/// A node until it is killed.
struct Node {
    member: Membership,
    kill: CancellationToken,
}

impl Node {
    fn start(store: &Local) -> Self {
        let settings = Settings {
            name: NAME.into(),
            ..Settings::default()
        };
        let kill = CancellationToken::new();
        let source: Arc<dyn PlanSource> = Arc::new(NumberSource);
        let member = direct::start(
            settings,
            Arc::new(store.clone()),
            &source,
            Clock::start(),
            &kill,
        );
        Self { member, kill }
    }

    fn announce(&self, service: &str) {
        self.member.announce(Announcement {
            instance: instance(service),
            departed: None,
        });
    }

    fn kill(self) {
        self.kill.cancel();
    }
}

/// Write of the record that the fleet has been started, which each test's first node makes.
const BOOTSTRAP_WRITES: u64 = 1;

fn instance(service: &str) -> Instance {
    let address = ([127, 0, 0, 1], 9).into();
    Instance {
        name: NAME.into(),
        epoch: Epoch::default(),
        service: service.into(),
        region: "morava".into(),
        zone: "morava-a".into(),
        caller: address,
        peer: address,
        control: address,
        state: State::Present,
        version: String::new(),
    }
}

/// Until a lease that is not renewed has ended.
async fn sleep_past_the_lease() {
    sleep(Settings::default().lease_ttl + Duration::from_secs(10)).await;
}

async fn sleep_seconds(sleep_seconds: u64) {
    sleep(Duration::from_secs(sleep_seconds)).await;
}

async fn announced(store: &Local) -> bool {
    store.get(KEY).await.is_ok_and(|record| record.is_some())
}

#[tokio::test(start_paused = true)]
async fn node_that_starts_again_goes_on_with_its_announcement() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(2).await;
    node.kill();
    sleep_seconds(1).await;
    let again = Node::start(&store);
    again.announce("odber");
    sleep_seconds(40).await;
    let calls = store.counters();
    assert_eq!((calls.writes - BOOTSTRAP_WRITES, calls.grants), (1, 1));
    assert!(announced(&store).await);
}

#[tokio::test(start_paused = true)]
async fn change_after_a_start_is_written_under_the_same_lease() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(2).await;
    node.kill();
    let again = Node::start(&store);
    again.announce("snuska");
    sleep_seconds(40).await;
    let calls = store.counters();
    assert_eq!((calls.writes - BOOTSTRAP_WRITES, calls.grants), (2, 1));
    let record = store.get(KEY).await.expect("it is up").expect("announced");
    assert!(record.value.contains("snuska"));
}

#[tokio::test(start_paused = true)]
async fn announcement_that_lapsed_while_the_node_was_away_is_written_anew() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(2).await;
    node.kill();
    sleep_past_the_lease().await;
    assert!(!announced(&store).await);
    let again = Node::start(&store);
    again.announce("odber");
    sleep_seconds(2).await;
    assert!(announced(&store).await);
}

#[tokio::test(start_paused = true)]
async fn lapsed_announcement_is_back_soon_after_the_store() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(2).await;
    store.down(true);
    sleep_past_the_lease().await;
    store.down(false);
    assert!(!announced(&store).await);
    sleep_seconds(2).await;
    assert!(announced(&store).await);
}

#[tokio::test(start_paused = true)]
async fn farewell_during_the_stop_is_known_to_the_next_process() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(2).await;
    node.member.leave().await;
    let departed = DepartedProcess {
        process: "i-1".into(),
        born_ms: Some(1_000),
    };
    node.member.announce(Announcement {
        instance: instance("odber"),
        departed: Some(departed.clone()),
    });
    node.member.leave().await;
    node.kill();
    let again = Node::start(&store);
    let previous = again.member.previous_announcement().await;
    let previous = previous.expect("the announcement is still there");
    assert_eq!(previous.departed, Some(departed));
    assert_eq!(previous.instance.state, State::Leaving);
}

#[tokio::test(start_paused = true)]
async fn steady_node_makes_few_calls() {
    let store = Local::default();
    let node = Node::start(&store);
    node.announce("odber");
    sleep_seconds(10).await;
    let before = store.counters();
    sleep_seconds(60).await;
    let after = store.counters();
    let renewals = after.renewals - before.renewals;
    assert!(renewals <= 6, "{renewals} renewals a minute");
    let watches = after.watches - before.watches;
    assert!(watches <= 2 * 60 / 15, "{watches} watches a minute");
    assert_eq!((after.lists, after.gets), (before.lists, before.gets));
    assert_eq!((after.writes, after.grants), (before.writes, before.grants));
}
