use std::time::Duration;

use crate::clock::Time;
use crate::membership::direct::Roster;
use crate::membership::{Epoch, Instance, State};

const LAPSE: Duration = Duration::from_secs(20);
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
    roster.on_deleted(START, "odber-1");
    assert!(!roster.remove_expired(START + Duration::from_secs(19)));
    assert_eq!(names(&roster), ["odber-1"]);
    assert!(roster.remove_expired(START + LAPSE));
    assert!(names(&roster).is_empty());
}

fn returned_node_stays() {
    let mut roster = roster_of(&[present("odber-1", 5)]);
    roster.on_deleted(START, "odber-1");
    roster.on_announced(present("odber-1", 9));
    assert!(!roster.remove_expired(START + LAPSE * 2));
    assert_eq!(names(&roster), ["odber-1"]);
}

fn leaving_node_is_forgotten() {
    let mut roster = roster_of(&[instance("odber-1", 5, 1, State::Leaving)]);
    roster.on_deleted(START, "odber-1");
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
    roster.on_listed(START, [other].into_iter());
    assert_eq!(names(&roster), ["odber-1", "odber-2"]);
    roster.remove_expired(START + LAPSE);
    assert_eq!(names(&roster), ["odber-2"]);
}

cases! {
    node_whose_lease_lapsed_stays_for_a_while: lapsed_node_stays();
    node_that_is_announced_again_stays: returned_node_stays();
    node_that_said_it_leaves_is_forgotten: leaving_node_is_forgotten();
    older_announcement_is_ignored: older_announcement_changes_nothing();
    new_node_takes_over_an_address: address_has_one_node();
    node_missing_from_a_listing_lapses: listing_lapses_what_is_missing();
}
