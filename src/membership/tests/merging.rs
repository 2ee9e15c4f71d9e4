//! Deltas, rosters and ranks by themselves.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::clock::Time;
use crate::membership::delta::Delta;
use crate::membership::roster::{Entry, MemberStatus, Roster};
use crate::membership::text::{SheetText, TextHistory, Update};
use crate::membership::topology::Topology;
use crate::membership::{Epoch, Instance, InstanceId, Settings, State};
use crate::plan::Version;

fn entry(name: &str, zone: &str, epoch: u64, standing: MemberStatus) -> Entry {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Entry {
        instance: Instance {
            name: name.into(),
            epoch: Epoch(epoch),
            service: "odber".into(),
            region: "morava".into(),
            zone: zone.into(),
            caller: address,
            peer: address,
            control: address,
            state: State::Present,
            version: String::new(),
        },
        standing,
    }
}

fn standing() -> impl Strategy<Value = MemberStatus> {
    prop_oneof![
        Just(MemberStatus::Present),
        Just(MemberStatus::Down),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Gone),
    ]
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let one = (0_u8..5, 0_u64..4, standing());
    let one = one.prop_map(|(n, epoch, standing)| entry(&format!("n{n}"), "a", epoch, standing));
    prop::collection::vec(one, 0..40)
}

fn merged<'a>(entries: impl Iterator<Item = &'a Entry>) -> Roster {
    let mut roster = Roster::default();
    for entry in entries {
        roster.merge(Time::ZERO, entry.clone());
    }
    roster
}

fn contents(roster: &Roster) -> Vec<(InstanceId, Entry)> {
    roster
        .iter()
        .map(|(id, entry)| (id, entry.clone()))
        .collect()
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn order_and_number_of_merges_do_not_matter(entries in entries(), rotation in 0_usize..40) {
        let in_order = merged(entries.iter());
        let rotation = rotation.min(entries.len());
        let rotated = entries[rotation..].iter().chain(&entries[..rotation]);
        let in_other_order = merged(rotated.chain(entries.iter().rev()));
        prop_assert_eq!(contents(&in_order), contents(&in_other_order));
        prop_assert_eq!(in_order.digest(), in_other_order.digest());
    }

    #[test]
    fn pull_of_the_differing_buckets_makes_rosters_equal(ours in entries(), theirs in entries()) {
        let mut ours = merged(ours.iter());
        let mut theirs = merged(theirs.iter());
        for entry in theirs.differing(ours.buckets()) {
            ours.merge(Time::ZERO, entry);
        }
        for entry in ours.differing(theirs.buckets()) {
            theirs.merge(Time::ZERO, entry);
        }
        prop_assert_eq!(ours.digest(), theirs.digest());
    }

    #[test]
    fn delta_makes_the_new_text_of_the_old(
        old in prop::collection::vec(0_u8..12, 0..40),
        new in prop::collection::vec(0_u8..12, 0..40),
    ) {
        let text = |version, rows: &[u8]| {
            let rows: Vec<String> = rows.iter().map(|row| format!("row {row}\n")).collect();
            SheetText::new(Version(version), rows.concat())
        };
        let (old, new) = (text(1, &old), text(2, &new));
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Some(new.clone()));
        prop_assert_eq!(delta.apply(&new), None);
    }
}

cases! {
    change_of_one_row_travels_as_that_row: {
        let rows: Vec<String> = (0..5_000).map(|row| format!("route,/path/{row},1\n")).collect();
        let old = rows.concat();
        let new = old.replace("/path/2500,1", "/path/2500,2");
        let mut texts = TextHistory::default();
        texts.push(SheetText::new(Version(1), old));
        let before = texts.stamp();
        texts.push(SheetText::new(Version(2), new));
        let Update::Delta(delta) = texts.update(before) else {
            panic!("the whole text was sent");
        };
        assert!(delta.size_bytes() < 100);
        assert!(texts.apply(&delta).is_some());
    };
    peer_with_an_unknown_text_is_sent_the_whole: {
        let mut texts = TextHistory::default();
        texts.push(SheetText::new(Version(3), "sheet\n".into()));
        let unknown = SheetText::new(Version(1), "other\n".into()).stamp();
        assert!(matches!(texts.update(unknown), Update::Full(_)));
        assert_eq!(texts.update(texts.stamp()), Update::Current);
    };
    instance_that_is_down_for_long_counts_as_gone: {
        let mut roster = merged([entry("n", "a", 1, MemberStatus::Down)].iter());
        roster.prune(Time::ZERO + Duration::from_mins(9));
        assert_eq!(roster.get(InstanceId::of("n")).unwrap().standing, MemberStatus::Down);
        roster.prune(Time::ZERO + Duration::from_mins(10));
        assert_eq!(roster.get(InstanceId::of("n")).unwrap().standing, MemberStatus::Gone);
        assert_eq!(roster.digest(), 0);
    };
    gone_instance_of_an_older_epoch_does_not_come_back: {
        let mut roster = merged([entry("n", "a", 2, MemberStatus::Gone)].iter());
        assert!(!roster.merge(Time::ZERO, entry("n", "a", 2, MemberStatus::Present)));
        assert!(roster.merge(Time::ZERO, entry("n", "a", 3, MemberStatus::Present)));
    };
    zone_of_many_has_two_relays_whoever_asks: {
        let entries: Vec<Entry> = (0..85)
            .map(|n| entry(&format!("n{n}"), "a", 1, MemberStatus::Present))
            .collect();
        let roster = merged(entries.iter());
        let relays_seen_by = |n: usize| Topology::new(entries[n].id(), &roster).relays;
        assert_eq!(relays_seen_by(0).len(), 2);
        assert_eq!(relays_seen_by(0), relays_seen_by(84));
    };
    every_instance_has_two_monitors_in_its_zone_and_two_beside: {
        let entries: Vec<Entry> = (0..40)
            .map(|n| entry(&format!("n{n}"), ["a", "b"][n % 2], 1, MemberStatus::Present))
            .collect();
        let roster = merged(entries.iter());
        for watched in &entries {
            let watching = entries.iter().filter(|other| {
                let topology = Topology::new(other.id(), &roster);
                topology.targets.contains_key(&watched.id())
            });
            let (own, beside): (Vec<&Entry>, Vec<&Entry>) =
                watching.partition(|other| other.instance.zone == watched.instance.zone);
            assert_eq!((own.len(), beside.len()), (2, 2));
        }
    };
    every_instance_watches_four_others: {
        let entries: Vec<Entry> = (0..40)
            .map(|n| entry(&format!("n{n}"), ["a", "b"][n % 2], 1, MemberStatus::Present))
            .collect();
        let roster = merged(entries.iter());
        for watching in &entries {
            let topology = Topology::new(watching.id(), &roster);
            assert_eq!(topology.targets.len(), 4);
        }
    };
    roles_of_850_nodes_in_ten_zones: {
        let places = [("x", 3_usize), ("y", 3), ("z", 4)];
        let zones: Vec<(&str, String)> = places
            .iter()
            .flat_map(|(region, count)| {
                (0..*count).map(move |zone| (*region, format!("{region}-{zone}")))
            })
            .collect();
        let entries: Vec<Entry> = (0..850)
            .map(|n| {
                let (region, zone) = &zones[n % 10];
                let mut entry = entry(&format!("n{n}"), zone, 1, MemberStatus::Present);
                entry.instance.region = (*region).to_owned();
                entry
            })
            .collect();
        let roster = merged(entries.iter());
        let topologies: Vec<Topology> = entries
            .iter()
            .step_by(7)
            .map(|entry| Topology::new(entry.id(), &roster))
            .collect();
        assert!(topologies.iter().all(|topology| topology.targets.len() <= 5));
        let relays: Vec<InstanceId> = topologies.iter().flat_map(|topology| topology.relays.clone()).collect();
        let relays: std::collections::BTreeSet<InstanceId> = relays.into_iter().collect();
        assert_eq!(relays.len(), 20);
        let peers = relays.iter().map(|relay| Topology::new(*relay, &roster).peers.len());
        assert!(peers.max() <= Some(7));
        let followers = relays.iter().filter(|relay| Topology::new(**relay, &roster).is_follower());
        assert_eq!(followers.count(), 6);
    };
    renewals_of_the_whole_fleet_stay_under_one_rate: {
        let settings = Settings::default();
        for nodes in [6_u32, 96, 850, 5_000] {
            let interval = settings.renewal_interval(nodes as usize);
            let rate = f64::from(nodes) / interval.as_secs_f64();
            assert!(rate <= settings.fleet_renewals_per_second + 1e-6);
        }
    };
}
