//! Subsets bound what a node follows and calls, whatever the size of the fleet, and leave no
//! backend server without entries that prefer it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::Time;
use crate::membership::{ClusterSnapshot, View};
use crate::routing::{Location, Router, Settings};

use super::harness::{Harness, idle, instance, plan, request};

const ZONES: [&str; 4] = ["morava-a", "morava-b", "cechy-a", "cechy-b"];

fn names(zone: &str, servers: usize) -> impl Iterator<Item = String> {
    (0..servers).map(move |number| format!("{zone}-{number}"))
}

fn fleet(servers_per_zone: usize) -> View {
    let mut view = View::default();
    for zone in ZONES {
        for name in names(zone, servers_per_zone) {
            view.merge(instance(&name, zone));
        }
    }
    view
}

fn harness(servers_per_zone: usize) -> Harness {
    let mut harness = Harness::new(&[]);
    harness.update(&[], &fleet(servers_per_zone));
    harness
}

fn followed_by(entry: &str, view: &View) -> Vec<String> {
    let location = Location {
        instance: entry.to_owned(),
        region: "morava".to_owned(),
        zone: "morava-a".to_owned(),
    };
    let mut router = Router::new(Settings::default(), location, 1);
    let snapshot = ClusterSnapshot {
        plan: Arc::new(plan(&[])),
        view: Arc::new(view.clone()),
    };
    router.update(Time::ZERO, &snapshot);
    router.followed().into_keys().collect()
}

/// Calls that end at once; the names chosen.
fn chosen(harness: &mut Harness, calls: usize) -> BTreeSet<String> {
    harness.choose_many(calls, |_| idle()).into_iter().collect()
}

cases! {
    small_fleet_is_followed_whole_within_the_region: {
        let harness = harness(2);
        let followed: Vec<String> = harness.router.followed().into_keys().collect();
        let region = names("morava-a", 2).chain(names("morava-b", 2));
        assert_eq!(followed, region.collect::<Vec<_>>());
    };
    followed_gates_do_not_grow_with_the_fleet: {
        let expected = Settings::default().zone_subset + Settings::default().region_subset;
        for servers_per_zone in [12, 70, 210] {
            let followed = harness(servers_per_zone).router.followed();
            assert_eq!(followed.len(), expected, "{servers_per_zone} servers a zone");
        }
    };
    calls_go_to_the_subset_while_it_is_usable: {
        let mut harness = harness(70);
        let subset: BTreeSet<String> = harness.router.followed().into_keys().collect();
        let local: BTreeSet<String> = chosen(&mut harness, 400)
            .into_iter()
            .filter(|name| name.starts_with("morava"))
            .collect();
        assert!(local.is_subset(&subset), "{local:?}");
    };
    lost_subset_is_replaced_by_the_next_in_rank: {
        let mut harness = harness(70);
        for name in harness.router.followed().into_keys() {
            harness.router.on_link_lost(harness.now, &name);
        }
        let next = harness.router.choose(harness.now, &request()).expect("a backend server");
        assert!(next.instance.starts_with("morava"), "{}", next.instance);
    };
    every_server_of_a_large_zone_is_followed: {
        let view = fleet(32);
        let mut followers: BTreeMap<String, u32> = BTreeMap::new();
        for entry in names("morava-a", 32) {
            for name in followed_by(&entry, &view) {
                *followers.entry(name).or_default() += 1;
            }
        }
        let unfollowed: Vec<String> = names("morava-a", 32)
            .filter(|name| !followers.contains_key(name))
            .collect();
        assert_eq!(unfollowed, Vec::<String>::new());
    };
}
