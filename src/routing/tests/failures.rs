use crate::gate::LoadReport;
use crate::membership::{Epoch, Instance};
use crate::reason::Reason;
use crate::routing::{Event, Settings};

use super::harness::{Harness, full, idle, instance, request, view};

const THREE: [(&str, &str); 3] = [
    ("one", "morava-a"),
    ("two", "morava-a"),
    ("three", "morava-a"),
];
const ZONES: [(&str, &str); 3] = [
    ("near", "morava-a"),
    ("next", "morava-b"),
    ("far", "cechy-a"),
];

fn idle_report_does_not_hide_failures() {
    let mut harness = Harness::new(&THREE);
    harness.report_all(|_| idle());
    let mut failed = 0;
    for _ in 0..300 {
        let choice = harness.choose();
        if choice.instance == "one" {
            failed += 1;
            harness.observe(&choice, Event::Failed);
            harness.observe(&choice, Event::Report(idle()));
        } else {
            harness.answer(&choice, idle());
        }
    }
    assert!(
        failed <= Settings::default().consecutive_failures,
        "{failed}"
    );
}

fn ejected_server_is_tried_again_one_call_at_a_time() {
    let mut harness = Harness::new(&THREE);
    for _ in 0..300 {
        let choice = harness.choose();
        if choice.instance == "one" {
            harness.observe(&choice, Event::Failed);
        } else {
            harness.answer(&choice, idle());
        }
    }
    harness.advance(1_500);
    let chosen: Vec<_> = (0..30).map(|_| harness.choose().instance).collect();
    let trials = chosen.iter().filter(|name| *name == "one").count();
    assert_eq!(trials, 1);
}

fn all_failing_leaves_half_of_them_in_use() {
    let mut harness = Harness::new(&THREE);
    let mut used = Vec::new();
    for _ in 0..300 {
        let choice = harness.choose();
        harness.observe(&choice, Event::Failed);
        used.push(choice.instance);
    }
    let mut last = used.split_off(200);
    last.sort();
    last.dedup();
    assert!(last.len() >= 2, "{last:?}");
}

fn all_stale_candidates_share_the_load() {
    let mut harness = Harness::new(&THREE);
    harness.report_all(|_| full());
    harness.advance(60_000);
    let mut chosen: Vec<_> = (0..30).map(|_| harness.choose().instance).collect();
    chosen.sort();
    for (name, _) in THREE {
        let count = chosen.iter().filter(|one| *one == name).count();
        assert!((5..=15).contains(&count), "{name}: {count}");
    }
}

fn all_refusing_is_refused_with_their_reason_until_they_open() {
    let mut harness = Harness::new(&THREE);
    for _ in 0..3 {
        let choice = harness.choose();
        harness.observe(&choice, Event::Refused(Reason::Draining));
    }
    let refused = harness.router.choose(harness.now, &request());
    assert_eq!(refused, Err(Reason::Draining));
    harness.advance(300);
    assert!(harness.router.choose(harness.now, &request()).is_ok());
}

/// An entry with 25 calls per second sends only a few to a server that drains for 6 s.
fn draining_server_is_asked_less_and_less() {
    let mut harness = Harness::new(&THREE);
    let mut refused = 0;
    for _ in 0..150 {
        harness.advance(40);
        let choice = harness.choose();
        if choice.instance == "one" {
            refused += 1;
            harness.observe(&choice, Event::Refused(Reason::Draining));
        } else {
            harness.answer(&choice, idle());
        }
    }
    assert!(refused <= 5, "{refused}");
}

fn refusals_of_calls_under_way_count_once() {
    let mut harness = Harness::new(&[("one", "morava-a")]);
    let under_way: Vec<_> = (0..6).map(|_| harness.choose()).collect();
    for choice in under_way {
        harness.observe(&choice, Event::Refused(Reason::Draining));
    }
    harness.advance(300);
    assert!(harness.router.choose(harness.now, &request()).is_ok());
}

fn returned_zone_is_used_at_once() {
    let mut harness = Harness::new(&ZONES);
    for _ in 0..4 {
        harness.advance(5_000);
        let choice = harness.choose();
        harness.observe(&choice, Event::Refused(Reason::ZoneOut));
    }
    harness.update(&["morava-a"], &view(&ZONES));
    harness.update(&[], &view(&ZONES));
    let chosen = harness.choose_many(50, |_| idle());
    assert!(chosen.contains(&"near".to_owned()));
}

fn zone_out_goes_elsewhere_even_when_all_others_are_full() {
    let mut harness = Harness::new(&ZONES);
    harness.report_all(|_| full());
    harness.update(&["morava-a"], &view(&ZONES));
    let chosen = harness.choose_many(50, |_| full());
    assert!(!chosen.contains(&"near".to_owned()));
    assert!(chosen.contains(&"next".to_owned()));
}

fn spent_byte_budget_keeps_calls_in_the_region() {
    let mut harness = Harness::new(&[("near", "morava-a"), ("far", "cechy-a")]);
    let crowded = LoadReport {
        queued: 200,
        ..full()
    };
    let load = |name: &str| if name == "far" { idle() } else { crowded };
    harness.report_all(load);
    let budget = Settings::default().remote_bytes_per_s;
    let mut bytes = 0.0;
    for _ in 0..10_000 {
        let choice = harness.choose();
        bytes += if choice.instance == "far" {
            1_000.0
        } else {
            0.0
        };
        harness.answer(
            &choice,
            if choice.instance == "far" {
                idle()
            } else {
                full()
            },
        );
    }
    assert!(bytes > 0.0 && bytes <= budget, "{bytes}");
}

fn restarted_instance_starts_with_a_clean_record() {
    let mut harness = Harness::new(&[("one", "morava-a")]);
    let before = harness.choose();
    harness.observe(&before, Event::Refused(Reason::Draining));
    let mut again = view(&[]);
    again.merge(Instance {
        epoch: Epoch(2),
        ..instance("one", "morava-a")
    });
    harness.update(&[], &again);
    let after = harness.choose();
    assert_ne!(after.backend, before.backend);
}

fn leaving_instance_gets_nothing_new() {
    let mut harness = Harness::new(&THREE);
    let mut changed = view(&THREE);
    changed.merge(Instance {
        state: crate::membership::State::Leaving,
        ..instance("one", "morava-a")
    });
    harness.update(&[], &changed);
    let chosen = harness.choose_many(50, |_| idle());
    assert!(!chosen.contains(&"one".to_owned()));
}

cases! {
    idle_while_failing_is_ejected: idle_report_does_not_hide_failures();
    ejection_ends_with_one_trial: ejected_server_is_tried_again_one_call_at_a_time();
    ejection_never_empties_a_service: all_failing_leaves_half_of_them_in_use();
    all_stale_share_the_load: all_stale_candidates_share_the_load();
    all_refusing_is_refused: all_refusing_is_refused_with_their_reason_until_they_open();
    zone_out_with_all_others_full: zone_out_goes_elsewhere_even_when_all_others_are_full();
    byte_budget_between_regions_holds: spent_byte_budget_keeps_calls_in_the_region();
    newer_epoch_starts_afresh: restarted_instance_starts_with_a_clean_record();
    leaving_gets_nothing: leaving_instance_gets_nothing_new();
    draining_is_asked_less_and_less: draining_server_is_asked_less_and_less();
    refusals_under_way_count_once: refusals_of_calls_under_way_count_once();
    returned_zone_is_used: returned_zone_is_used_at_once();
}
