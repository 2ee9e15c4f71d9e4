use std::net::SocketAddr;

use crate::clock::Time;
use crate::membership::direct::PeerVersions;
use crate::plan::Version;

fn node(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn observe(
    peer_versions: &mut PeerVersions,
    millis: u64,
    own_version: u64,
    peer_version: u64,
) -> bool {
    let now = Time::from_millis(millis);
    peer_versions.observe(now, Version(own_version), node(1), Version(peer_version))
}

fn lasting_difference() {
    let mut peer_versions = PeerVersions::default();
    assert!(!observe(&mut peer_versions, 0, 5, 7));
    assert!(!observe(&mut peer_versions, 149, 5, 7));
    assert!(observe(&mut peer_versions, 150, 5, 7));
    assert!(!observe(&mut peer_versions, 300, 5, 7));
    assert!(observe(&mut peer_versions, 650, 5, 7));
}

fn settled_difference() {
    let mut peer_versions = PeerVersions::default();
    observe(&mut peer_versions, 0, 5, 7);
    observe(&mut peer_versions, 100, 7, 7);
    assert!(!peer_versions.has_differences());
    assert!(!observe(&mut peer_versions, 200, 7, 9));
}

fn node_that_is_ahead() {
    let mut peer_versions = PeerVersions::default();
    observe(&mut peer_versions, 0, 5, 7);
    assert_eq!(
        peer_versions.next_peer_ahead(Time::from_millis(100), Version(5)),
        None
    );
    assert_eq!(
        peer_versions.next_peer_ahead(Time::from_millis(200), Version(5)),
        Some(node(1))
    );
    assert_eq!(
        peer_versions.next_peer_ahead(Time::from_millis(300), Version(5)),
        None
    );
    assert_eq!(
        peer_versions.next_peer_ahead(Time::from_millis(900), Version(7)),
        None
    );
}

cases! {
    difference_that_lasts_is_a_reason_to_ask: lasting_difference();
    difference_that_the_store_settles_is_forgotten: settled_difference();
    node_without_a_plan_is_told_at_once: assert!(observe(&mut PeerVersions::default(), 0, 5, 0));
    node_that_is_ahead_is_asked_without_a_call: node_that_is_ahead();
}
