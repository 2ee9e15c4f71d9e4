//! Each case provokes one failure, in virtual time.

use std::time::Duration;

use super::fleet::Fleet;
use crate::plan::Version;

const REGIONS: [&str; 3] = ["morava", "cechy", "slezsko"];
const ONE_SECOND: Duration = Duration::from_secs(1);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn three_regions() -> Fleet {
    Fleet::settled(&REGIONS, 4)
}

fn zones() -> impl Iterator<Item = String> {
    REGIONS
        .iter()
        .flat_map(|region| ["a", "b"].map(|zone| format!("{region}-{zone}")))
}

fn keep_all_in_view(fleet: &mut Fleet, count: u64) {
    let end = fleet.now + seconds(count);
    while fleet.now < end {
        fleet.run(Duration::from_millis(50));
        assert!(fleet.live().all(|node| node.view.len() == 24));
    }
}

cases! {
    accepted_plan_is_in_force_everywhere_within_a_second: {
        let mut fleet = three_regions();
        fleet.store.accept(2);
        assert!(fleet.run_until(ONE_SECOND, |fleet| fleet.all_have_plan(2)));
    };
    plan_reaches_all_within_three_seconds_while_a_relay_of_each_zone_dies: {
        let mut fleet = three_regions();
        fleet.store.accept(2);
        for zone in zones() {
            let relay = fleet.relays(&zone).remove(0);
            fleet.crash(&relay);
        }
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
    };
    plan_reaches_all_within_three_seconds_while_both_relays_of_a_zone_die: {
        let mut fleet = three_regions();
        fleet.store.accept(2);
        for relay in fleet.relays("cechy-a") {
            fleet.crash(&relay);
        }
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
    };
    relay_that_is_paused_is_done_without_and_wakes_to_the_newest_plan: {
        let mut fleet = three_regions();
        let relay = fleet.relays("morava-a").remove(0);
        fleet.pause(&relay);
        fleet.store.accept(2);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
        fleet.store.accept(3);
        fleet.run(seconds(60));
        assert!(fleet.all_have_plan(3));
        fleet.resume(&relay);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(3)));
    };
    crashed_process_is_out_of_every_view_within_a_second: {
        let mut fleet = three_regions();
        fleet.crash("cechy-b-2");
        assert!(fleet.run_until(ONE_SECOND, |fleet| fleet.no_view_contains("cechy-b-2")));
    };
    host_that_falls_silent_is_out_of_every_view_within_a_second: {
        let mut fleet = three_regions();
        fleet.pause("cechy-b-2");
        assert!(fleet.run_until(ONE_SECOND, |fleet| fleet.no_view_contains("cechy-b-2")));
    };
    crashed_zone_is_out_of_every_view_within_a_second_and_a_half: {
        let mut fleet = three_regions();
        for n in 0..4 {
            fleet.pause(&format!("cechy-b-{n}"));
        }
        let evicted = |fleet: &Fleet| (0..4).all(|n| fleet.no_view_contains(&format!("cechy-b-{n}")));
        assert!(fleet.run_until(Duration::from_millis(1_500), evicted));
    };
    crashed_node_returns_without_help: {
        let mut fleet = three_regions();
        fleet.crash("cechy-b-2");
        fleet.run(seconds(30));
        fleet.start("cechy-b-2", "cechy", "cechy-b", Vec::new());
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_views_contain("cechy-b-2")));
    };
    word_of_one_node_evicts_nobody: {
        let mut fleet = three_regions();
        fleet.is_cut = Box::new(|from, to| {
            let ends = [from.name.as_str(), to.name.as_str()];
            ends.contains(&"cechy-b-2") && ends.contains(&"cechy-b-0")
        });
        for _ in 0..200 {
            fleet.run(Duration::from_millis(100));
            assert!(fleet.all_views_contain("cechy-b-2"));
            assert!(fleet.all_views_contain("cechy-b-0"));
        }
    };
    store_outage_evicts_nobody_for_a_moment: {
        let mut fleet = three_regions();
        fleet.store.down = true;
        keep_all_in_view(&mut fleet, 120);
        fleet.store.down = false;
        keep_all_in_view(&mut fleet, 5);
    };
    lapsed_lease_alone_evicts_nobody_for_a_moment: {
        let mut fleet = three_regions();
        fleet.cut_off_from_store("cechy-b-2");
        keep_all_in_view(&mut fleet, 60);
        assert!(!fleet.store.names().contains(&&"cechy-b-2".to_owned()));
    };
    node_paused_past_its_lease_announces_itself_anew_before_anything_else: {
        let mut fleet = three_regions();
        let before = fleet.node("cechy-b-2").core.instance().epoch;
        fleet.pause("cechy-b-2");
        fleet.run(seconds(60));
        assert!(fleet.no_view_contains("cechy-b-2"));
        let now = fleet.now;
        fleet.resume("cechy-b-2");
        let node = fleet.node("cechy-b-2");
        let mut actions = Vec::new();
        node.core.receive_news(now, super::empty_news(), &mut actions);
        assert!(node.core.instance().epoch > before);
        assert_eq!(actions.first(), Some(&crate::membership::core::Action::Reannounce));
        assert!(fleet.run_until(seconds(2), |fleet| fleet.all_views_contain("cechy-b-2")));
    };
    leaving_node_is_out_of_every_view_within_two_seconds: {
        let mut fleet = three_regions();
        fleet.leave("cechy-b-2");
        assert!(fleet.run_until(seconds(2), |fleet| fleet.no_view_contains("cechy-b-2")));
        fleet.run(seconds(30));
        assert!(fleet.no_view_contains("cechy-b-2"));
    };
    leaving_node_is_out_of_every_view_with_the_store_down: {
        let mut fleet = three_regions();
        fleet.store.down = true;
        fleet.leave("cechy-b-2");
        assert!(fleet.run_until(seconds(2), |fleet| fleet.no_view_contains("cechy-b-2")));
    };
    leaving_relay_is_out_of_every_view_within_two_seconds: {
        let mut fleet = three_regions();
        let relay = fleet.relays("cechy-a").remove(0);
        fleet.leave(&relay);
        assert!(fleet.run_until(seconds(2), |fleet| fleet.no_view_contains(&relay)));
    };
    new_node_learns_from_a_peer_while_the_store_is_down: {
        let mut fleet = three_regions();
        fleet.store.down = true;
        let peer = fleet.find("slezsko-a-1");
        fleet.start("cechy-b-9", "cechy", "cechy-b", vec![peer]);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(1) && fleet.all_views_contain("cechy-b-9")));
        assert_eq!(fleet.node("cechy-b-9").view.len(), 25);
    };
    new_node_without_store_or_peer_has_no_plan: {
        let mut fleet = Fleet::empty(1);
        fleet.store.accept(1);
        fleet.store.down = true;
        fleet.start("cechy-b-0", "cechy", "cechy-b", Vec::new());
        fleet.run(seconds(10));
        assert_eq!(fleet.node("cechy-b-0").core.version(), Version(0));
    };
    node_restarted_with_the_store_down_is_known_again: {
        let mut fleet = three_regions();
        fleet.store.down = true;
        fleet.crash("cechy-b-2");
        fleet.run(seconds(5));
        let peer = fleet.find("cechy-a-1");
        fleet.start("cechy-b-2", "cechy", "cechy-b", vec![peer]);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(1) && fleet.all_views_contain("cechy-b-2")));
    };
    store_with_an_older_answer_takes_nobody_back: {
        let mut fleet = three_regions();
        fleet.store.set_stale(true);
        fleet.store.accept(2);
        fleet.run(seconds(2));
        assert!(fleet.all_have_plan(1));
        fleet.store.set_stale(false);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
        fleet.store.accept(1);
        fleet.run(seconds(10));
        assert!(fleet.all_have_plan(2));
    };
    region_parted_for_an_hour_has_the_newest_plan_three_seconds_after_healing: {
        let mut fleet = Fleet::settled(&["morava", "cechy"], 2);
        fleet.is_cut = Box::new(|from, to| from.region != to.region);
        for n in 0..2 {
            fleet.cut_off_from_store(&format!("cechy-a-{n}"));
            fleet.cut_off_from_store(&format!("cechy-b-{n}"));
        }
        fleet.run(seconds(60));
        fleet.store.accept(2);
        fleet.run(seconds(3_540));
        let region = |fleet: &Fleet, name: &str, version| fleet.live()
            .filter(|node| node.core.instance().region == name)
            .all(|node| node.core.version() == Version(version));
        assert!(region(&fleet, "morava", 2));
        assert!(region(&fleet, "cechy", 1));
        assert!(fleet.live().all(|node| node.view.len() == 8));
        fleet.is_cut = Box::new(|_, _| false);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
    };
    every_node_replaced_one_after_another_keeps_plan_and_view: {
        let mut fleet = three_regions();
        for region in REGIONS {
            for zone in ["a", "b"] {
                for n in 0..4 {
                    let zone = format!("{region}-{zone}");
                    let name = format!("{zone}-{n}");
                    fleet.leave(&name);
                    fleet.run(ONE_SECOND);
                    fleet.crash(&name);
                    fleet.start(&format!("{name}-new"), region, &zone, Vec::new());
                    fleet.run(seconds(2));
                }
            }
        }
        fleet.store.accept(2);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
        assert!(fleet.live().all(|node| node.view.len() == 24));
        assert!(fleet.live().all(|node| node.view.iter().all(|name| name.ends_with("-new"))));
    };
    node_found_dead_by_a_call_is_out_of_that_nodes_choice_until_it_answers: {
        let mut fleet = three_regions();
        fleet.is_cut = Box::new(|from, to| {
            from.region != to.region && [&from.region, &to.region].contains(&&"cechy".to_owned())
        });
        fleet.suspect("morava-a-0", "cechy-b-2");
        fleet.run(ONE_SECOND);
        assert!(!fleet.node("morava-a-0").view.contains("cechy-b-2"));
        assert!(fleet.node("slezsko-a-0").view.contains("cechy-b-2"));
        fleet.is_cut = Box::new(|_, _| false);
        assert!(fleet.run_until(seconds(2), |fleet| fleet.all_views_contain("cechy-b-2")));
    };
    suspicion_of_a_healthy_node_evicts_it_nowhere: {
        let mut fleet = three_regions();
        for _ in 0..20 {
            fleet.suspect("morava-a-0", "cechy-b-2");
            fleet.run(Duration::from_millis(100));
            assert!(fleet.all_views_contain("cechy-b-2"));
        }
    };
    two_nodes_of_each_region_follow_the_store: {
        let mut fleet = Fleet::settled(&REGIONS, 8);
        fleet.run(seconds(10));
        let now = fleet.now;
        let following = fleet.live().filter(|node| node.core.follows_store(now)).count();
        assert_eq!(following, 6);
    };
    plan_reaches_all_while_those_that_follow_the_store_die: {
        let mut fleet = three_regions();
        fleet.run(seconds(5));
        fleet.store.accept(2);
        let now = fleet.now;
        let following: Vec<String> = fleet
            .live()
            .filter(|node| node.core.follows_store(now))
            .map(|node| node.core.instance().name.clone())
            .collect();
        for name in following {
            fleet.crash(&name);
        }
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
    };
    zone_cut_from_the_rest_learns_the_plan_from_the_store: {
        let mut fleet = three_regions();
        fleet.is_cut = Box::new(|from, to| {
            from.zone != to.zone && [from.zone.as_str(), &to.zone].contains(&"cechy-b")
        });
        fleet.run(seconds(10));
        fleet.store.accept(2);
        assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have_plan(2)));
        fleet.is_cut = Box::new(|_, _| false);
        let all_visible = |fleet: &Fleet| fleet.live().all(|node| node.view.len() == 24);
        assert!(fleet.run_until(seconds(5), all_visible));
    };
}
