//! Who watches the store, as one node sees it.

use std::time::Duration;

use crate::clock::Time;
use crate::membership::direct::Relays;
use crate::membership::{Epoch, Instance, InstanceId, State};

const ZONES: [&str; 3] = ["kisumu-a", "kisumu-b", "kisumu-c"];
/// Distance that a relay tells when no relay reaches the store.
const DETACHED: u32 = 4;

fn node(number: usize) -> Instance {
    let host = u8::try_from(number + 1).expect("a small region");
    let address = ([10, 0, 0, host], 80).into();
    Instance {
        name: format!("desk-{number}"),
        epoch: Epoch(1),
        service: "desk".into(),
        region: "kisumu".into(),
        zone: ZONES[number % ZONES.len()].into(),
        caller: address,
        peer: address,
        control: address,
        state: State::Present,
        version: String::new(),
    }
}

fn nodes(count: usize) -> Vec<Instance> {
    (0..count).map(node).collect()
}

/// What node `number` sees at the time `now` of its own clock.
fn seen_by(number: usize, now: Time, nodes: &[Instance]) -> Relays {
    let own = node(number);
    let mut relays = Relays::new(&own.name, &own.region, &own.zone, Time::ZERO);
    relays.update(now, nodes.iter());
    relays
}

fn relays_of(nodes: &[Instance]) -> Vec<usize> {
    let is_relay = |number: &usize| seen_by(*number, Time::ZERO, nodes).is_relay();
    (0..nodes.len()).filter(is_relay).collect()
}

fn seconds(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

/// A node that is no relay, and its relays.
fn follower(now: Time) -> (Relays, Vec<String>) {
    let nodes = nodes(12);
    let chosen = relays_of(&nodes);
    let number = (0..12).find(|number| !chosen.contains(number));
    let relays = seen_by(number.expect("most are none"), now, &nodes);
    let names = relays.sources().keys().cloned().collect();
    (relays, names)
}

fn all_nodes_agree() {
    let nodes = nodes(30);
    let chosen = relays_of(&nodes);
    assert_eq!(chosen.len(), 2, "{chosen:?}");
    let zones = [&nodes[chosen[0]].zone, &nodes[chosen[1]].zone];
    assert_ne!(zones[0], zones[1]);
    for number in (0..30).filter(|number| !chosen.contains(number)) {
        let relays = seen_by(number, Time::ZERO, &nodes);
        let mut expected = [&nodes[chosen[0]].name, &nodes[chosen[1]].name];
        expected.sort();
        assert_eq!(relays.sources().keys().collect::<Vec<_>>(), expected);
    }
}

fn lost_relay_is_replaced_for_a_while() {
    let (mut relays, names) = follower(Time::ZERO);
    let nodes = nodes(12);
    relays.on_lost(seconds(1), &names[0]);
    relays.update(seconds(1), nodes.iter());
    assert!(!relays.sources().contains_key(&names[0]));
    assert_eq!(relays.sources().len() + usize::from(relays.is_relay()), 2);
    relays.update(seconds(5), nodes.iter());
    assert!(relays.sources().contains_key(&names[0]));
}

fn node_that_hears_a_relay_does_not_watch() {
    let (mut relays, names) = follower(Time::ZERO);
    relays.on_heard(seconds(9), &names[0], 0);
    assert!(!relays.watches_plans(seconds(11)));
    assert_eq!(relays.distance(seconds(11), false), 1);
}

fn silence_makes_a_node_watch() {
    let (mut relays, names) = follower(Time::ZERO);
    relays.on_heard(seconds(9), &names[0], 0);
    relays.update(seconds(12), nodes(12).iter());
    assert!(!relays.watches_plans(seconds(12)));
    assert!(relays.watches_plans(seconds(14)));
    assert!(relays.watches_nodes(seconds(14)));
}

/// Relays that hear only each other count up until they are detached.
fn relays_without_the_store_do_not_count() {
    let (mut relays, names) = follower(Time::ZERO);
    relays.on_heard(seconds(9), &names[0], DETACHED);
    relays.on_heard(seconds(9), &names[1], DETACHED - 1);
    assert!(!relays.is_attached(seconds(9)));
    assert_eq!(relays.distance(seconds(9), false), DETACHED);
}

fn cold_start_waits_for_other_nodes() {
    let relays = seen_by(0, seconds(1), &[]);
    assert!(!relays.watches_plans(seconds(3)));
    assert!(relays.watches_plans(seconds(4)));
}

fn restart_does_not_wait() {
    let mut relays = seen_by(0, seconds(1), &[]);
    relays.skip_settling();
    assert!(relays.watches_plans(seconds(1)));
}

fn node_without_a_zone_always_watches() {
    let relays = Relays::new("desk-1", "", "", Time::ZERO);
    assert!(relays.watches_plans(Time::ZERO));
    assert!(relays.watches_nodes(Time::ZERO));
}

fn leaving_node_is_no_relay() {
    let mut nodes = nodes(12);
    let chosen = relays_of(&nodes);
    nodes[chosen[0]].state = State::Leaving;
    let other = (0..12).find(|number| !chosen.contains(number));
    let relays = seen_by(other.expect("most are none"), Time::ZERO, &nodes);
    assert!(!relays.sources().contains_key(&nodes[chosen[0]].name));
}

fn patience_has_a_bound() {
    let (relays, _) = follower(Time::ZERO);
    let longest = Time::ZERO + Duration::from_secs(2);
    assert!(relays.watches_plans(longest));
}

/// The relay with the lower rank of two, and the name of the other.
fn lower_relay() -> (Relays, String) {
    let nodes = nodes(12);
    let mut chosen = relays_of(&nodes);
    chosen.sort_by_key(|&number| InstanceId::of(&node(number).name));
    let relays = seen_by(chosen[0], Time::ZERO, &nodes);
    (relays, node(chosen[1]).name)
}

/// Nodes may differ in whom they take for a relay.
fn relay_that_does_not_watch_is_no_sentinel() {
    let (mut relays, better) = lower_relay();
    relays.on_heard(seconds(11), &better, 1);
    assert!(relays.is_sentinel(seconds(11)));
    relays.on_heard(seconds(12), &better, 0);
    assert!(!relays.is_sentinel(seconds(12)));
}

fn silent_sentinel_is_replaced() {
    let (mut relays, better) = lower_relay();
    relays.on_heard(seconds(11), &better, 0);
    assert!(!relays.is_sentinel(seconds(13)));
    assert!(relays.is_sentinel(seconds(14)));
}

cases! {
    relay_that_does_not_watch_the_store_is_no_sentinel: relay_that_does_not_watch_is_no_sentinel();
    sentinel_that_falls_silent_is_replaced: silent_sentinel_is_replaced();
    relays_are_the_same_for_all_and_in_different_zones: all_nodes_agree();
    lost_relay_is_avoided_for_a_while: lost_relay_is_replaced_for_a_while();
    heard_relay_is_enough: node_that_hears_a_relay_does_not_watch();
    silent_relays_are_not_waited_for: silence_makes_a_node_watch();
    relays_cut_off_from_the_store_are_not_enough: relays_without_the_store_do_not_count();
    first_nodes_wait_for_others: cold_start_waits_for_other_nodes();
    restarted_node_watches_at_once: restart_does_not_wait();
    node_without_zone_watches: node_without_a_zone_always_watches();
    leaving_nodes_are_left_out: leaving_node_is_no_relay();
    node_without_relay_watches_within_two_seconds: patience_has_a_bound();
}
