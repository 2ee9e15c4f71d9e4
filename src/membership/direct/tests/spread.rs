//! How plan and roster reach every node of a fleet, and what it costs the store.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::time::sleep;

use super::fleet::{Fleet, REGIONS, instance, name};
use crate::membership::Instance;

/// Sizes of the users' deployments, and the size to build towards.
const SIZES: [usize; 4] = [29, 67, 295, 850];
/// Nodes that watch the store in a settled fleet of three regions.
const MAX_RELAYS: usize = 6;
/// Bound on the time from a change in the store to the last node.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Bound on the store calls of a node in a short day.
const MAX_CALLS_PER_NODE: f64 = 6.0;

async fn seconds(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

/// Starts a fleet; after ten seconds it has its first plan.
async fn settled(size: usize) -> Fleet {
    let fleet = Fleet::start(size).await;
    seconds(5).await;
    fleet.set_plan_as_operator(1);
    seconds(5).await;
    fleet
}

async fn calm_day(size: usize) {
    let fleet = settled(size).await;
    assert_eq!(fleet.without_view_of(size), []);
    for number in 2..4 {
        let version = fleet.set_plan_as_operator(number);
        sleep(SPREAD_LIMIT).await;
        assert_eq!(fleet.behind(version), [""; 0]);
        seconds(12).await;
    }
    let nodes = f64::from(u32::try_from(size).expect("a small fleet"));
    let calls = fleet.calls() / nodes;
    println!(
        "{size} nodes: {calls:.2} calls a node, {:?}",
        fleet.store.counters()
    );
    assert!(calls <= MAX_CALLS_PER_NODE, "{calls} calls a node");
}

#[tokio::test(start_paused = true)]
async fn store_calls_of_a_calm_day_do_not_grow_with_the_fleet() {
    for size in SIZES {
        calm_day(size).await;
    }
}

#[tokio::test(start_paused = true)]
async fn killed_relays_are_replaced() {
    let mut fleet = settled(67).await;
    let watchers = fleet.watchers();
    assert!(watchers.len() <= MAX_RELAYS, "{watchers:?}");
    for relay in &watchers {
        fleet.kill(relay);
    }
    let version = fleet.set_plan(2).await;
    sleep(SPREAD_LIMIT).await;
    assert_eq!(fleet.behind(version), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn fleet_follows_the_store_after_an_outage() {
    let fleet = settled(67).await;
    fleet.store.down(true);
    seconds(20).await;
    fleet.store.down(false);
    let version = fleet.set_plan(2).await;
    sleep(SPREAD_LIMIT).await;
    assert_eq!(fleet.behind(version), [""; 0]);
    seconds(10).await;
    assert!(
        fleet.watchers().len() <= MAX_RELAYS,
        "{:?}",
        fleet.watchers()
    );
}

#[tokio::test(start_paused = true)]
async fn stopped_node_leaves_every_view() {
    let mut fleet = settled(67).await;
    fleet.stop(&name(3)).await;
    sleep(SPREAD_LIMIT).await;
    assert_eq!(fleet.with_present(&name(3)), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn node_that_starts_again_has_the_plan_soon() {
    let mut fleet = settled(67).await;
    fleet.kill(&name(5));
    seconds(2).await;
    fleet.start_node(5);
    let version = fleet.set_plan(2).await;
    sleep(SPREAD_LIMIT).await;
    assert_eq!(fleet.behind(version), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn plan_whose_news_the_store_lost_is_in_force_soon_after() {
    for size in [12, 67] {
        let fleet = settled(size).await;
        seconds(7).await;
        fleet.store.silent(true);
        let version = fleet.set_plan_as_operator(2);
        sleep(Duration::from_millis(1_500)).await;
        fleet.store.silent(false);
        sleep(SPREAD_LIMIT).await;
        assert_eq!(fleet.behind(version), [""; 0]);
    }
}

#[tokio::test(start_paused = true)]
async fn killed_sentinel_is_replaced_before_the_store_loses_news() {
    let mut fleet = settled(67).await;
    seconds(7).await;
    for sentinel in fleet.sentinels() {
        fleet.kill(&sentinel);
    }
    seconds(5).await;
    fleet.store.silent(true);
    let version = fleet.set_plan_as_operator(2);
    sleep(Duration::from_millis(500)).await;
    fleet.store.silent(false);
    sleep(SPREAD_LIMIT).await;
    assert_eq!(fleet.behind(version), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn one_node_of_a_fleet_is_the_sentinel() {
    for size in [1, 12, 67] {
        let fleet = settled(size).await;
        assert_eq!(fleet.sentinels().len(), 1, "{size} nodes");
    }
}

/// Silent to some nodes for a while, in which the plan changes: soon after, all have it.
async fn plan_reaches_nodes_that_were_turned_away(
    silence_ms: u64,
    is_concerned: impl Fn(&Instance) -> bool,
) -> Vec<String> {
    let fleet = settled(29).await;
    seconds(7).await;
    fleet.set_silent_to(true, &is_concerned);
    sleep(Duration::from_millis(silence_ms / 2)).await;
    let version = fleet.set_plan_as_operator(2);
    sleep(Duration::from_millis(silence_ms / 2)).await;
    fleet.set_silent_to(false, &is_concerned);
    sleep(SPREAD_LIMIT).await;
    fleet
        .behind(version)
        .into_iter()
        .map(str::to_owned)
        .collect()
}

/// Lengths of the silence, shorter and longer than the waits of all watches.
const SILENCES_MS: [u64; 5] = [400, 1_900, 3_700, 9_000, 29_000];

#[tokio::test(start_paused = true)]
async fn plan_reaches_each_region_that_the_store_turned_away() {
    for silence_ms in SILENCES_MS {
        for region in REGIONS {
            let is_concerned = |node: &Instance| node.region == region;
            let behind = plan_reaches_nodes_that_were_turned_away(silence_ms, is_concerned).await;
            assert_eq!(behind, [""; 0], "{region}, {silence_ms} ms");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn plan_reaches_whichever_nodes_the_store_turned_away() {
    for seed in 0..20 {
        let share = [0.35, 0.9][seed % 2];
        let silence_ms = SILENCES_MS[seed % SILENCES_MS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(u64::try_from(seed).expect("a small number"));
        let concerned: BTreeSet<String> = (0..29)
            .filter(|_| rng.random_bool(share))
            .map(name)
            .collect();
        let is_concerned = |node: &Instance| concerned.contains(&node.name);
        let behind = plan_reaches_nodes_that_were_turned_away(silence_ms, is_concerned).await;
        assert_eq!(behind, [""; 0], "seed {seed}, {silence_ms} ms");
    }
}

/// Time in which a change of the fleet is known everywhere after a silence of the store.
const ROSTER_LIMIT: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn node_that_leaves_while_the_store_turns_a_region_away_leaves_every_view() {
    for region in REGIONS {
        let mut fleet = settled(29).await;
        seconds(7).await;
        let is_concerned = |node: &Instance| node.region == region;
        let leaving = (0..29).map(instance).find(|node| node.region != region);
        let leaving = leaving.expect("a node of another region").name;
        fleet.set_silent_to(true, is_concerned);
        seconds(1).await;
        fleet.stop(&leaving).await;
        seconds(1).await;
        fleet.set_silent_to(false, is_concerned);
        sleep(ROSTER_LIMIT).await;
        assert_eq!(fleet.with_present(&leaving), [""; 0], "{region}");
    }
}
