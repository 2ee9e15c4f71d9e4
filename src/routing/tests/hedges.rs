//! The limit of hedged requests, without a network.

use std::time::Duration;

use super::harness::{Harness, request};
use crate::plan::key;
use crate::reason::Reason;
use crate::routing::{Event, Settings};

const SERVICE: key::Service = key::Service(0);

fn settings(hedge_ratio: f64) -> Settings {
    Settings {
        hedge_ratio,
        hedge_burst: 1.0,
        retry_ratio: 0.1,
        ..Settings::default()
    }
}

fn harness(settings: &Settings) -> Harness {
    let instances = [("odber-1", "morava-a"), ("odber-2", "morava-a")];
    Harness::with_settings(settings, &instances)
}

/// Hedged requests among so many calls, one every 10 ms.
fn hedges(settings: &Settings, calls: u32) -> u32 {
    let mut harness = harness(settings);
    let mut sent = 0;
    for _ in 0..calls {
        harness.advance(10);
        let now = harness.now;
        harness.router.on_call(now, SERVICE);
        sent += u32::from(harness.router.take_hedge_token(now, SERVICE));
    }
    sent
}

/// Load: a full service. A hedge then would make the overload worse and longer.
fn overloaded_service_gets_no_hedge() {
    let mut harness = harness(&settings(0.5));
    let now = harness.now;
    harness.router.on_call(now, SERVICE);
    let choice = harness.router.choose(now, &request()).expect("a choice");
    let refused = Event::Refused(Reason::Overloaded);
    harness.router.observe(now, choice.backend, &refused);
    assert!(!harness.router.take_hedge_token(now, SERVICE));
    let later = now + Duration::from_millis(1_100);
    assert!(harness.router.take_hedge_token(later, SERVICE));
}

/// Load: a third of the service fails, so retries need their budget.
fn spent_retry_budget_gets_no_hedge() {
    let settings = Settings {
        retry_floor_per_s: 0.0,
        ..settings(0.5)
    };
    let mut harness = harness(&settings);
    let now = harness.now;
    while harness.router.take_retry_token(now, SERVICE) {}
    assert!(!harness.router.take_hedge_token(now, SERVICE));
}

cases! {
    limit_of_zero_sends_none: assert_eq!(hedges(&Settings { hedge_burst: 0.0, ..settings(0.0) }, 1_000), 0);
    limit_of_one_percent_holds: assert!((9..=11).contains(&hedges(&settings(0.01), 1_000)));
    limit_of_five_percent_holds: assert!((49..=51).contains(&hedges(&settings(0.05), 1_000)));
    full_service_is_not_hedged: overloaded_service_gets_no_hedge();
    retries_come_before_hedges: spent_retry_budget_gets_no_hedge();
}
