//! Choices by what can still be in time.

use std::time::Duration;

use super::harness::{Harness, ask, idle};
use crate::gate::LoadReport;
use crate::routing::{Ask, Choice, Settings};

const PAIR: [(&str, &str); 2] = [("near", "morava-a"), ("next", "morava-b")];
const FAR: [(&str, &str); 2] = [("near", "morava-a"), ("far", "cechy-a")];

fn settings() -> Settings {
    Settings {
        remote_surcharge: Duration::from_millis(80),
        late_surcharge: Duration::from_millis(300),
        patience_max: Duration::from_millis(200),
        service_time_half_life: Duration::from_secs(1),
        calls_half_life: 1e3,
        ..Settings::default()
    }
}

/// Work of 60 ms, begun after `delay_ms`.
fn load(delay_ms: u64) -> LoadReport {
    LoadReport {
        service_time: Duration::from_millis(60),
        delay: Duration::from_millis(delay_ms),
        ..idle()
    }
}

fn told(instances: &[(&str, &str)], near_delay_ms: u64) -> Harness {
    let mut harness = Harness::with(&settings(), instances);
    for (name, _) in instances {
        let delay_ms = if *name == "near" { near_delay_ms } else { 0 };
        harness.router.told(harness.now, name, &load(delay_ms));
    }
    harness
}

fn choose(harness: &mut Harness, objective_ms: u64) -> Choice {
    let ask = Ask {
        objective: Some(harness.now + Duration::from_millis(objective_ms)),
        ..ask()
    };
    let choice = harness.router.choose(harness.now, &ask);
    choice.expect("a backend server")
}

fn chosen(instances: &[(&str, &str)], near_delay_ms: u64, objective_ms: u64) -> String {
    let mut harness = told(instances, near_delay_ms);
    choose(&mut harness, objective_ms).instance
}

fn near_again_after_the_spell() {
    let mut harness = told(&PAIR, 100);
    assert_eq!(choose(&mut harness, 300).instance, "next");
    harness.pass(100);
    let ask = ask();
    let choice = harness.router.choose(harness.now, &ask);
    assert_eq!(choice.expect("a backend server").instance, "near");
}

fn patience_with_another() -> Duration {
    let mut harness = told(&PAIR, 0);
    let patience = choose(&mut harness, 300).patience;
    patience.expect("there is another")
}

cases! {
    slow_spell_sends_calls_to_the_next_zone: assert_eq!(chosen(&PAIR, 100, 300), "next");
    near_server_is_chosen_again_when_its_spell_has_ended: near_again_after_the_spell();
    call_that_is_in_time_all_the_same_stays_in_its_region:
        assert_eq!(chosen(&FAR, 60, 400), "near");
    call_that_would_be_late_crosses_to_another_region:
        assert_eq!(chosen(&FAR, 120, 180), "far");
    bytes_cost_more_than_a_little_time: assert_eq!(chosen(&FAR, 100, 2_000), "near");
    patience_is_the_lead_over_the_next_best: {
        let patience = patience_with_another();
        assert!(patience >= Duration::from_millis(5), "{patience:?}");
        assert!(patience <= Duration::from_millis(40), "{patience:?}");
    };
    patience_covers_the_wait_that_was_expected: {
        let mut harness = told(&FAR, 60);
        let patience = choose(&mut harness, 400).patience.expect("there is another");
        assert!(patience >= Duration::from_millis(60), "{patience:?}");
    };
    only_backend_server_is_waited_for_without_bound: {
        let mut harness = told(&[("near", "morava-a")], 100);
        assert_eq!(choose(&mut harness, 300).patience, None);
    };
}
