//! Selection of backend servers that can still meet the objective.

use std::time::Duration;

use super::harness::{Harness, idle, request};
use crate::gate::LoadReport;
use crate::routing::{Choice, SelectionRequest, Settings};

const PAIR: [(&str, &str); 2] = [("near", "morava-a"), ("next", "morava-b")];
const FAR: [(&str, &str); 2] = [("near", "morava-a"), ("far", "cechy-a")];

fn settings() -> Settings {
    Settings {
        remote_penalty: Duration::from_millis(80),
        lateness_penalty: Duration::from_millis(300),
        queue_timeout_max: Duration::from_millis(200),
        service_time_half_life: Duration::from_secs(1),
        load_half_life: 1e3,
        ..Settings::default()
    }
}

/// Load report with a service time of 60 ms and calls started after `delay_ms`.
fn load(delay_ms: u64) -> LoadReport {
    LoadReport {
        service_time: Duration::from_millis(60),
        delay: Duration::from_millis(delay_ms),
        ..idle()
    }
}

fn harness_with_reports(instances: &[(&str, &str)], near_delay_ms: u64) -> Harness {
    let mut harness = Harness::with_settings(&settings(), instances);
    for (name, _) in instances {
        let delay_ms = if *name == "near" { near_delay_ms } else { 0 };
        harness
            .router
            .on_load_report(harness.now, name, &load(delay_ms));
    }
    harness
}

fn choose(harness: &mut Harness, objective_ms: u64) -> Choice {
    let request = SelectionRequest {
        objective: Some(harness.now + Duration::from_millis(objective_ms)),
        ..request()
    };
    let choice = harness.router.choose(harness.now, &request);
    choice.expect("a backend server")
}

fn chosen(instances: &[(&str, &str)], near_delay_ms: u64, objective_ms: u64) -> String {
    let mut harness = harness_with_reports(instances, near_delay_ms);
    choose(&mut harness, objective_ms).instance
}

fn near_is_chosen_after_the_delay() {
    let mut harness = harness_with_reports(&PAIR, 100);
    assert_eq!(choose(&mut harness, 300).instance, "next");
    harness.advance(100);
    let request = request();
    let choice = harness.router.choose(harness.now, &request);
    assert_eq!(choice.expect("a backend server").instance, "near");
}

fn patience_with_alternative() -> Duration {
    let mut harness = harness_with_reports(&PAIR, 0);
    let queue_timeout = choose(&mut harness, 300).queue_timeout;
    queue_timeout.expect("there is another")
}

cases! {
    slow_spell_sends_calls_to_the_next_zone: assert_eq!(chosen(&PAIR, 100, 300), "next");
    near_server_is_chosen_again_when_its_spell_has_ended: near_is_chosen_after_the_delay();
    call_that_is_in_time_all_the_same_stays_in_its_region:
        assert_eq!(chosen(&FAR, 60, 400), "near");
    call_that_would_be_late_crosses_to_another_region:
        assert_eq!(chosen(&FAR, 120, 180), "far");
    bytes_cost_more_than_a_little_time: assert_eq!(chosen(&FAR, 100, 2_000), "near");
    patience_is_the_lead_over_the_next_best: {
        let queue_timeout = patience_with_alternative();
        assert!(queue_timeout >= Duration::from_millis(5), "{queue_timeout:?}");
        assert!(queue_timeout <= Duration::from_millis(40), "{queue_timeout:?}");
    };
    patience_covers_the_wait_that_was_expected: {
        let mut harness = harness_with_reports(&FAR, 60);
        let queue_timeout = choose(&mut harness, 400).queue_timeout.expect("there is another");
        assert!(queue_timeout >= Duration::from_millis(60), "{queue_timeout:?}");
    };
    only_backend_server_is_waited_for_without_bound: {
        let mut harness = harness_with_reports(&[("near", "morava-a")], 100);
        assert_eq!(choose(&mut harness, 300).queue_timeout, None);
    };
}
