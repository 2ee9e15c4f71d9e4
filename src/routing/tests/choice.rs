use crate::plan::{Regions, key};
use crate::reason::Reason;
use crate::routing::{Event, SelectionRequest, Settings};

use super::harness::{Harness, SLOTS, full, idle, request, view};

const NEAR: [(&str, &str); 2] = [("near-1", "morava-a"), ("near-2", "morava-a")];
const FAR: [(&str, &str); 3] = [
    ("near", "morava-a"),
    ("next", "morava-b"),
    ("far", "cechy-a"),
];

fn idle_near_server_is_preferred() {
    let mut harness = Harness::new(&FAR);
    harness.report_all(|_| idle());
    let chosen = harness.choose_many(20, |_| idle());
    assert!(chosen.iter().all(|name| name == "near"), "{chosen:?}");
}

fn full_near_server_spills_to_the_next_zone() {
    let mut harness = Harness::new(&FAR);
    let near = harness.choose();
    assert_eq!(near.instance, "near");
    harness.answer(&near, full());
    assert_eq!(harness.choose().instance, "next");
}

fn own_calls_in_flight_count_before_any_report() {
    let mut harness = Harness::new(&NEAR);
    harness.report_all(|_| idle());
    let mut chosen: Vec<_> = (0..2 * SLOTS).map(|_| harness.choose().instance).collect();
    chosen.sort();
    let first = chosen.iter().filter(|name| *name == "near-1").count();
    assert_eq!(first, SLOTS as usize);
}

fn home_regions_bind() {
    let mut harness = Harness::new(&[("far", "cechy-a")]);
    let mut regions = Regions::NONE;
    regions.insert(key::Region(0));
    let request = SelectionRequest {
        regions,
        ..request()
    };
    let refused = harness.router.choose(harness.now, &request);
    assert_eq!(refused, Err(Reason::Region));
}

fn zone_out_is_not_chosen() {
    let mut harness = Harness::new(&FAR);
    harness.update(&["morava-a"], &view(&FAR));
    let chosen = harness.choose_many(20, |_| idle());
    assert!(!chosen.contains(&"near".to_owned()), "{chosen:?}");
}

fn every_zone_out_is_refused_as_such() {
    let mut harness = Harness::new(&NEAR);
    harness.update(&["morava-a"], &view(&NEAR));
    let refused = harness.router.choose(harness.now, &request());
    assert_eq!(refused, Err(Reason::ZoneOut));
}

fn probes_stay_within_their_bytes() {
    let mut harness = Harness::new(&FAR);
    harness.choose();
    let mut probes = 0;
    for _ in 0..10_000 {
        harness.advance(1);
        harness.choose_many(1, |_| idle());
        probes += u32::from(harness.router.probe(harness.now).is_some());
    }
    let settings = Settings::default();
    let budget = settings.probe_bytes_per_s * 11.0 / settings.probe_bytes;
    assert!(f64::from(probes) <= budget, "{probes}");
    assert!(probes > 0);
}

fn vanished_backend_server_is_forgotten() {
    let mut harness = Harness::new(&NEAR);
    let gone = harness.choose();
    let left: Vec<_> = NEAR
        .into_iter()
        .filter(|(name, _)| *name != gone.instance)
        .collect();
    harness.update(&[], &view(&left));
    harness.observe(&gone, Event::Failed);
    let chosen = harness.choose_many(10, |_| idle());
    assert!(!chosen.contains(&gone.instance));
}

fn failing_server_is_ejected_but_never_the_last() {
    let mut harness = Harness::new(&NEAR);
    for _ in 0..40 {
        let choice = harness.choose();
        harness.observe(&choice, Event::Failed);
        harness.observe(&choice, Event::Report(idle()));
    }
    assert!(harness.router.choose(harness.now, &request()).is_ok());
}

fn retries_stay_within_their_budget() {
    let mut harness = Harness::new(&NEAR);
    let now = harness.now;
    let mut retries = 0;
    for _ in 0..10_000 {
        harness.router.on_call(now, key::Service(0));
        retries += u32::from(harness.router.take_retry_token(now, key::Service(0)));
    }
    assert!((300..=500).contains(&retries), "{retries}");
}

cases! {
    idle_and_near_comes_first: idle_near_server_is_preferred();
    full_zone_spills: full_near_server_spills_to_the_next_zone();
    own_dispatches_count: own_calls_in_flight_count_before_any_report();
    region_outside_home_is_refused: home_regions_bind();
    zone_out_gets_nothing: zone_out_is_not_chosen();
    all_zones_out_is_refused: every_zone_out_is_refused_as_such();
    probe_budget_holds: probes_stay_within_their_bytes();
    vanished_server_is_ignored: vanished_backend_server_is_forgotten();
    ejection_leaves_a_server: failing_server_is_ejected_but_never_the_last();
    retry_budget_holds: retries_stay_within_their_budget();
}
