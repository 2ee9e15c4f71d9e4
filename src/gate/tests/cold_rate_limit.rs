//! Rate limit of a cold backend server.

use std::time::Duration;

use super::harness::{Harness, settings};
use crate::gate::{Settings, Signal};

const PER_S: u32 = 5;

/// Calls take no time, so only the rate limit delays them.
fn admitted(harness: &mut Harness, calls: usize) -> usize {
    let mut admitted = 0;
    for _ in 0..calls {
        let call_id = harness.arrive(1);
        if harness.admitted(call_id) {
            harness.answer(call_id, 0);
            admitted += 1;
        }
    }
    admitted
}

/// A gate that has run for longer than the window of the limit.
fn running(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.pass(1_000);
    harness
}

fn started() -> Harness {
    Harness::new(cold_settings())
}

fn cold() -> Harness {
    running(cold_settings())
}

fn cold_settings() -> Settings {
    Settings {
        cold_calls_per_s: Some(PER_S),
        queue_capacity: 0,
        ..settings()
    }
}

fn cold_for(millis: u64) -> Harness {
    let mut harness = cold();
    harness.sign(Signal::ColdFor(Duration::from_millis(millis)));
    harness
}

fn limit_renews_every_second() {
    let mut harness = cold();
    let first = admitted(&mut harness, 20);
    harness.pass(990);
    let early = admitted(&mut harness, 20);
    harness.pass(20);
    let second = admitted(&mut harness, 20);
    assert_eq!((first, early, second), (5, 0, 5));
}

fn limit_ends_with_reported_cold_time() {
    let mut harness = cold_for(500);
    assert_eq!(admitted(&mut harness, 20), 5);
    harness.pass(501);
    assert_eq!(admitted(&mut harness, 20), 20);
}

/// Guards against a node that is started again beside a cold server and lets in a second's calls on
/// top of those from before its end.
fn start_uses_the_window_up() {
    let mut harness = started();
    harness.sign(Signal::ColdFor(Duration::from_secs(3)));
    let at_once = admitted(&mut harness, 20);
    harness.pass(990);
    let early = admitted(&mut harness, 20);
    harness.pass(10);
    let second = admitted(&mut harness, 20);
    assert_eq!((at_once, early, second), (0, 0, 5));
}

fn counts_calls_before_the_cold() {
    let mut harness = cold_for(0);
    assert_eq!(admitted(&mut harness, 20), 20);
    harness.sign(Signal::ColdFor(Duration::from_secs(3)));
    assert_eq!(admitted(&mut harness, 20), 0);
}

fn queued_call_is_admitted() {
    let mut harness = running(Settings {
        cold_calls_per_s: Some(1),
        ..settings()
    });
    let first = harness.arrive_within(1, 5_000);
    harness.answer(first, 0);
    let second = harness.arrive_within(1, 5_000);
    assert!(!harness.admitted(second));
    let due = harness
        .gate
        .next_tick()
        .expect("the rate limit permits a call later");
    harness.pass(
        due.since(harness.now)
            .as_millis()
            .try_into()
            .expect("short"),
    );
    assert!(harness.admitted(second));
}

fn hopeless_call_is_refused_at_once() {
    let mut harness = running(Settings {
        cold_calls_per_s: Some(1),
        ..settings()
    });
    let first = harness.arrive_within(1, 5_000);
    harness.answer(first, 0);
    let second = harness.arrive_within(1, 500);
    assert!(harness.refused(second).is_some());
}

fn load_report_contains_slowdown() {
    let mut harness = Harness::serving();
    let usual = harness.gate.load_report(harness.now).service_time;
    harness.sign(Signal::SlowdownPercent(500));
    assert_eq!(
        harness.gate.load_report(harness.now).service_time,
        usual * 5
    );
}

cases! {
    cold_backend_server_gets_its_rate_every_second: limit_renews_every_second();
    rate_limit_ends_with_the_cold_time: limit_ends_with_reported_cold_time();
    calls_of_a_process_before_the_gate_may_fill_the_window: start_uses_the_window_up();
    // Guards against a fleet that lost power and serves nothing for a second when it is back.
    start_holds_up_no_server_that_has_started_too: {
        let mut harness = Harness::new(Settings {
            cold_time: Some(Duration::from_secs(3)),
            ..cold_settings()
        });
        harness.sign(Signal::ColdFor(Duration::from_millis(2_800)));
        assert_eq!(admitted(&mut harness, 20), 5);
    };
    start_holds_up_a_server_that_has_been_cold_for_longer: {
        let mut harness = Harness::new(Settings {
            cold_time: Some(Duration::from_secs(3)),
            ..cold_settings()
        });
        harness.sign(Signal::ColdFor(Duration::from_millis(1_500)));
        assert_eq!(admitted(&mut harness, 20), 0);
    };
    start_holds_up_a_server_whose_cold_did_not_begin_with_its_start: {
        let mut harness = Harness::new(Settings {
            cold_time: Some(Duration::from_secs(3)),
            ..cold_settings()
        });
        harness.sign(Signal::ColdFor(Duration::from_secs(6)));
        assert_eq!(admitted(&mut harness, 20), 0);
    };
    start_holds_up_no_server_that_is_not_cold: {
        let mut harness = started();
        harness.sign(Signal::ColdFor(Duration::ZERO));
        assert_eq!(admitted(&mut harness, 20), 20);
    };
    load_report_tells_the_wait_after_a_start: {
        let harness = started();
        assert_eq!(harness.gate.load_report(harness.now).delay, Duration::from_secs(1));
    };
    calls_before_the_cold_period_count: counts_calls_before_the_cold();
    queued_call_is_admitted_when_the_rate_permits: queued_call_is_admitted();
    call_that_would_start_too_late_is_refused_at_once: hopeless_call_is_refused_at_once();
    outdated_report_does_not_end_the_cold: {
        let mut harness = cold_for(500);
        harness.sign(Signal::ColdAtLeast(Duration::ZERO));
        assert_eq!(admitted(&mut harness, 20), 5);
    };
    outdated_report_does_not_make_an_unknown_server_warm: {
        let mut harness = cold();
        harness.sign(Signal::ColdAtLeast(Duration::ZERO));
        assert_eq!(admitted(&mut harness, 20), 5);
    };
    outdated_report_may_lengthen_the_cold: {
        let mut harness = cold_for(0);
        harness.sign(Signal::ColdAtLeast(Duration::from_millis(500)));
        assert_eq!(admitted(&mut harness, 20), 5);
    };
    new_process_may_be_cold: {
        let mut harness = cold_for(0);
        harness.sign(Signal::Boot(1));
        harness.sign(Signal::Boot(2));
        assert_eq!(admitted(&mut harness, 20), 5);
    };
    load_report_reflects_the_current_slowdown: load_report_contains_slowdown();
}
