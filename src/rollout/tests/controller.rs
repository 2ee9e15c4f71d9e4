//! Exposure, time to roll back and wrong rollbacks over seeds.

use std::time::Duration;

use super::fleet::{Behaviour, Fleet, Outcome, PERIOD, SMALL};
use crate::clock::Time;
use crate::plan::Rollout;
use crate::rollout::{Controller, Phase, RouteTally, Settings, State, VersionReport};

/// Seeds of each case; `MONSOONCOVE_SEEDS` plays more by hand.
const SEEDS: u64 = 20;

fn outcomes(fleet: Fleet, behaviour: Behaviour) -> Vec<Outcome> {
    let seeds = std::env::var("MONSOONCOVE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    (0..seeds).map(|seed| fleet.play(behaviour, seed)).collect()
}

/// Bounds that operators state, for every seed.
fn check_exposure(outcomes: &[Outcome]) {
    for (seed, outcome) in outcomes.iter().enumerate() {
        let allowed = 0.1 * f64::from(outcome.calls) + 50.0;
        let exposed = f64::from(outcome.exposed);
        assert!(exposed <= allowed, "seed {seed}: {exposed} over {allowed}");
        assert_eq!(outcome.late, 0, "seed {seed}");
    }
}

/// A bad version is rolled back with every seed.
fn bad_version(fleet: Fleet, behaviour: Behaviour) {
    let outcomes = outcomes(fleet, behaviour);
    for (seed, outcome) in outcomes.iter().enumerate() {
        assert_eq!(outcome.ended, Some(Phase::RolledBack), "seed {seed}");
    }
    check_exposure(&outcomes);
}

/// A version whose failures the canary hardly sees: most seeds roll it back, and with none it gets
/// more calls than a bad version may get.
fn hidden_fault(behaviour: Behaviour) {
    let outcomes = outcomes(SMALL, behaviour);
    check_exposure(&outcomes);
    let longest = outcomes.iter().map(|outcome| outcome.ended_after).max();
    let most = outcomes.iter().map(|outcome| outcome.exposed).max();
    let is_found = |one: &&Outcome| one.ended == Some(Phase::RolledBack);
    let found = outcomes.iter().filter(is_found).count();
    println!("{found} rolled back, after {longest:?} and {most:?} calls at most");
    assert!(found * 2 > outcomes.len(), "{found} of {}", outcomes.len());
}

/// Few failures may stay unseen, but never with more calls than a bad version may get.
fn barely_bad_version() {
    let behaviour = Behaviour {
        failures: 0.02,
        ..Behaviour::GOOD
    };
    let outcomes = outcomes(SMALL, behaviour);
    check_exposure(&outcomes);
    let found = outcomes
        .iter()
        .filter(|one| one.ended == Some(Phase::RolledBack));
    println!("found {} of {}", found.count(), outcomes.len());
}

fn good_version(fleet: Fleet) {
    let outcomes = outcomes(fleet, Behaviour::GOOD);
    check_exposure(&outcomes);
    let wrong = outcomes
        .iter()
        .filter(|one| one.ended == Some(Phase::RolledBack))
        .count();
    assert!(wrong * 100 <= outcomes.len(), "{wrong} rolled back");
    for (seed, outcome) in outcomes.iter().enumerate() {
        assert!(outcome.ended.is_some(), "seed {seed}: not ended");
        assert!(outcome.ended_after <= PERIOD, "seed {seed}: {outcome:?}");
    }
}

fn failing(failures: f64) -> Behaviour {
    Behaviour {
        failures,
        ..Behaviour::GOOD
    }
}

fn slow(slowness: f64) -> Behaviour {
    Behaviour {
        slowness,
        ..Behaviour::GOOD
    }
}

fn large() -> Fleet {
    Fleet {
        servers: 147,
        calls_per_s: 900.0,
        ..SMALL
    }
}

fn interrupted() -> Fleet {
    Fleet {
        coordinator_dies: Some(Duration::from_secs(4)),
        ..SMALL
    }
}

fn order() -> Rollout {
    Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: PERIOD,
    }
}

fn gate(version: &str, accepting: bool, order_age_ms: u64) -> VersionReport {
    VersionReport {
        service: "odber".into(),
        version: version.into(),
        order_age_ms,
        accepting,
        in_hand: 1,
        ..VersionReport::default()
    }
}

/// Without servers of the target version, the old ones must not be given up.
fn no_cutover_without_target_servers(accepting: bool) {
    let settings = Settings::default();
    let mut controller = Controller::resume(order(), State::Running, settings, Time::ZERO);
    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        controller.on_report(now, "old", gate("v1", true, second * 1_000));
        controller.on_report(
            now,
            "new",
            gate(if accepting { "v3" } else { "v2" }, false, 0),
        );
        assert_eq!(controller.step(now, true), Phase::Canary);
    }
}

/// A coordinator whose write the store has not confirmed might have been succeeded.
fn no_cutover_without_the_store() {
    let settings = Settings::default();
    let mut controller = Controller::resume(order(), State::Running, settings, Time::ZERO);
    let now = Time::from_millis(60_000);
    controller.on_report(now, "old", gate("v1", true, 60_000));
    controller.on_report(now, "new", gate("v2", true, 60_000));
    assert_eq!(controller.step(now, false), Phase::Canary);
    assert_eq!(controller.step(now, true), Phase::Cutover);
}

/// A call of the old version that runs long holds the end up, but not for ever.
fn old_version_finishes_first() {
    let settings = Settings::default();
    let mut controller = Controller::resume(order(), State::Running, settings, Time::ZERO);
    let start = Time::from_millis(60_000);
    controller.on_report(start, "old", gate("v1", true, 60_000));
    controller.on_report(start, "new", gate("v2", true, 60_000));
    controller.step(start, true);
    let busy = start + Duration::from_secs(1);
    controller.on_report(busy, "old", gate("v1", false, 61_000));
    assert!(!controller.is_complete(busy));
    let idle = VersionReport {
        in_hand: 0,
        ..gate("v1", false, 62_000)
    };
    let later = start + Duration::from_secs(2);
    controller.on_report(later, "old", idle);
    assert!(!controller.is_complete(later));
    let answers = RouteTally {
        route: "order".into(),
        answered: 40,
        ..RouteTally::default()
    };
    let answering = VersionReport {
        routes: vec![answers],
        ..gate("v2", true, 62_000)
    };
    controller.on_report(later, "new", answering);
    assert!(controller.is_complete(later));
    assert!(controller.is_complete(start + settings.drain_timeout));
}

/// What another coordinator has recorded in the store is final.
fn recorded_end_is_adopted(state: State, phase: Phase) {
    let settings = Settings::default();
    let mut controller = Controller::resume(order(), State::Running, settings, Time::ZERO);
    controller.adopt(state);
    assert_eq!(controller.step(Time::from_millis(60_000), true), phase);
    controller.adopt(State::Running);
    assert_eq!(controller.step(Time::from_millis(61_000), true), phase);
}

cases! {
    good_version_is_done_in_time: good_version(SMALL);
    good_version_is_done_in_time_in_a_large_fleet: good_version(large());
    good_version_is_done_though_the_coordinator_dies: good_version(interrupted());
    version_that_fails_a_fifth_is_rolled_back: bad_version(SMALL, failing(0.2));
    version_three_times_as_slow_is_rolled_back: bad_version(SMALL, slow(3.0));
    version_that_fails_is_rolled_back_though_the_coordinator_dies:
        bad_version(interrupted(), failing(0.2));
    version_that_fails_on_one_route_of_ten_is_rolled_back:
        hidden_fault(Behaviour { route: Some(3), ..failing(0.6) });
    version_that_fails_under_all_calls_is_rolled_back:
        hidden_fault(Behaviour { above_share: 0.5, ..failing(0.3) });
    version_that_fails_after_half_the_period_is_rolled_back:
        bad_version(SMALL, Behaviour { after: PERIOD / 2, ..failing(0.3) });
    slow_version_in_a_large_fleet_is_rolled_back: bad_version(large(), slow(3.0));
    version_that_fails_two_percent_keeps_within_the_exposure: barely_bad_version();
    unknown_target_version_gets_no_cutover: no_cutover_without_target_servers(true);
    target_version_that_takes_no_work_gets_no_cutover: no_cutover_without_target_servers(false);
    cutover_waits_for_the_store: no_cutover_without_the_store();
    done_waits_for_calls_of_the_old_version: old_version_finishes_first();
    rollback_in_the_store_is_final: recorded_end_is_adopted(State::RolledBack, Phase::RolledBack);
    done_in_the_store_is_final: recorded_end_is_adopted(State::Done, Phase::Done);
}
