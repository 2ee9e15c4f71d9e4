use std::net::SocketAddr;

use crate::clock::Time;
use crate::membership::direct::Rumour;
use crate::plan::Version;

fn node(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn heard(rumour: &mut Rumour, millis: u64, own: u64, theirs: u64) -> bool {
    let now = Time::from_millis(millis);
    rumour.heard(now, Version(own), node(1), Version(theirs))
}

fn lasting_difference() {
    let mut rumour = Rumour::default();
    assert!(!heard(&mut rumour, 0, 5, 7));
    assert!(!heard(&mut rumour, 149, 5, 7));
    assert!(heard(&mut rumour, 150, 5, 7));
    assert!(!heard(&mut rumour, 300, 5, 7));
    assert!(heard(&mut rumour, 650, 5, 7));
}

fn settled_difference() {
    let mut rumour = Rumour::default();
    heard(&mut rumour, 0, 5, 7);
    heard(&mut rumour, 100, 7, 7);
    assert!(!rumour.is_pending());
    assert!(!heard(&mut rumour, 200, 7, 9));
}

fn node_that_is_ahead() {
    let mut rumour = Rumour::default();
    heard(&mut rumour, 0, 5, 7);
    assert_eq!(rumour.ahead(Time::from_millis(100), Version(5)), None);
    assert_eq!(
        rumour.ahead(Time::from_millis(200), Version(5)),
        Some(node(1))
    );
    assert_eq!(rumour.ahead(Time::from_millis(300), Version(5)), None);
    assert_eq!(rumour.ahead(Time::from_millis(900), Version(7)), None);
}

cases! {
    difference_that_lasts_is_a_reason_to_ask: lasting_difference();
    difference_that_the_store_settles_is_forgotten: settled_difference();
    node_without_a_plan_is_told_at_once: assert!(heard(&mut Rumour::default(), 0, 5, 0));
    node_that_is_ahead_is_asked_without_a_call: node_that_is_ahead();
}
