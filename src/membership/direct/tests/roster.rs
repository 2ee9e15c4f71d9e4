use std::time::Duration;

use crate::clock::Time;
use crate::membership::direct::Roster;
use crate::membership::{Epoch, Instance, State};

const LAPSE: Duration = Duration::from_secs(20);
/// Store revision of a deletion, after all announcements.
const DELETED: u64 = 8;
const START: Time = Time::from_millis(1);

fn instance(name: &str, epoch: u64, port: u16, state: State) -> Instance {
    let address = ([127, 0, 0, 1], port).into();
    Instance {
        name: name.into(),
        epoch: Epoch(epoch),
        service: "odber".into(),
        region: "morava".into(),
        zone: "morava-a".into(),
        caller: address,
        peer: address,
        control: address,
        state,
        version: String::new(),
    }
}

fn present(name: &str, epoch: u64) -> Instance {
    instance(name, epoch, 1, State::Present)
}

fn names(roster: &Roster) -> Vec<&str> {
    roster
        .instances()
        .map(|instance| instance.name.as_str())
        .collect()
}

fn roster_of(instances: &[Instance]) -> Roster {
    let mut roster = Roster::new(LAPSE);
    for instance in instances {
        roster.on_announced(instance.clone());
    }
    roster
}

fn lapsed_node_stays() {
    let mut roster = roster_of(&[present("odber-1", 5)]);
    roster.on_deleted(START, "odber-1", DELETED);
    assert!(!roster.remove_expired(START + Duration::from_secs(19)));
    assert_eq!(names(&roster), ["odber-1"]);
    assert!(roster.remove_expired(START + LAPSE));
    assert!(names(&roster).is_empty());
}

fn returned_node_stays() {
    let mut roster = roster_of(&[present("odber-1", 5)]);
    roster.on_deleted(START, "odber-1", DELETED);
    roster.on_announced(present("odber-1", 9));
    assert!(!roster.remove_expired(START + LAPSE * 2));
    assert_eq!(names(&roster), ["odber-1"]);
}

fn leaving_node_is_forgotten() {
    let mut roster = roster_of(&[instance("odber-1", 5, 1, State::Leaving)]);
    roster.on_deleted(START, "odber-1", DELETED);
    assert!(names(&roster).is_empty());
}

fn older_announcement_changes_nothing() {
    let leaving = instance("odber-1", 7, 1, State::Leaving);
    let roster = roster_of(&[leaving, present("odber-1", 5)]);
    let states: Vec<State> = roster.instances().map(|instance| instance.state).collect();
    assert_eq!(states, [State::Leaving]);
}

fn address_has_one_node() {
    let roster = roster_of(&[present("odber-1", 5), present("snuska-1", 6)]);
    assert_eq!(names(&roster), ["snuska-1"]);
}

fn listing_lapses_what_is_missing() {
    let other = instance("odber-2", 6, 2, State::Present);
    let mut roster = roster_of(&[present("odber-1", 5), other.clone()]);
    roster.on_listed(START, DELETED, [other].into_iter());
    assert_eq!(names(&roster), ["odber-1", "odber-2"]);
    roster.remove_expired(START + LAPSE);
    assert_eq!(names(&roster), ["odber-2"]);
}

fn older_deletion_changes_nothing() {
    let mut roster = roster_of(&[present("odber-1", 9)]);
    roster.on_deleted(START, "odber-1", DELETED);
    assert!(!roster.remove_expired(START + LAPSE));
}

/// What a peer with `known` has after it took the changes in.
fn told(roster: &Roster, mut known: Roster) -> Roster {
    let changes = roster.changes_since(known.revision()).expect("news");
    assert!(known.merge_from_peer(START, changes));
    known
}

fn peer_gets_only_what_changed() {
    let mut roster = roster_of(&[present("odber-1", 5)]);
    let peer = told(&roster, Roster::new(LAPSE));
    roster.on_announced(instance("odber-2", 6, 2, State::Present));
    let changes = roster.changes_since(peer.revision()).expect("news");
    assert_eq!((changes.complete, changes.announced.len()), (false, 1));
    assert_eq!(names(&told(&roster, peer)), ["odber-1", "odber-2"]);
}

fn peer_hears_of_a_node_that_left() {
    let mut roster = roster_of(&[present("odber-1", 5)]);
    let peer = told(&roster, Roster::new(LAPSE));
    roster.on_announced(instance("odber-1", 6, 1, State::Leaving));
    roster.on_deleted(START, "odber-1", 7);
    assert_eq!(names(&told(&roster, peer)), [""; 0]);
}

fn peer_with_the_same_revision_gets_nothing() {
    let roster = roster_of(&[present("odber-1", 5)]);
    let mut peer = told(&roster, Roster::new(LAPSE));
    assert_eq!(roster.changes_since(peer.revision()), None);
    let complete = roster.changes_since(0).expect("everything");
    assert!(!peer.merge_from_peer(START, complete));
}

/// A node that fell behind further than deletions are remembered gets everything.
fn peer_from_long_ago_gets_everything() {
    let mut roster = roster_of(&[present("odber-0", 1)]);
    let peer = told(&roster, Roster::new(LAPSE));
    for number in 0..1_500_u64 {
        let name = format!("snuska-{number}");
        let revision = 2 * number + 2;
        roster.on_announced(instance(&name, revision, 2, State::Leaving));
        roster.on_deleted(START, &name, revision + 1);
    }
    let changes = roster.changes_since(peer.revision()).expect("news");
    assert!(changes.complete);
    assert_eq!(names(&told(&roster, peer)), ["odber-0"]);
}

cases! {
    node_whose_lease_lapsed_stays_for_a_while: lapsed_node_stays();
    node_that_is_announced_again_stays: returned_node_stays();
    node_that_said_it_leaves_is_forgotten: leaving_node_is_forgotten();
    older_announcement_is_ignored: older_announcement_changes_nothing();
    new_node_takes_over_an_address: address_has_one_node();
    deletion_before_the_last_announcement_is_ignored: older_deletion_changes_nothing();
    peers_get_only_what_changed: peer_gets_only_what_changed();
    peers_hear_who_left: peer_hears_of_a_node_that_left();
    peers_that_know_all_get_nothing: peer_with_the_same_revision_gets_nothing();
    peers_far_behind_get_everything: peer_from_long_ago_gets_everything();
    node_missing_from_a_listing_lapses: listing_lapses_what_is_missing();
}
