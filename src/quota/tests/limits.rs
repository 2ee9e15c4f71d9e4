//! Overrun and shortfall of limits, each under a load that broke one or could.

use std::time::Duration;

use super::fleet::{Killed, Load, Outcome};
use crate::clock::Time;
use crate::plan::RateLimit;
use crate::quota::{Counts, Ledger, Meter, Restriction, TenantUsage};

/// Seeds of each load; `MONSOONCOVE_SEEDS` plays more by hand.
const SEEDS: u64 = 6;
/// Part of its calls that a tenant within its limit, and of its limit that one beyond it, may lose.
const SHORTFALL_MAX: f64 = 0.03;

const SECOND: Duration = Duration::from_secs(1);

const LIMIT: RateLimit = RateLimit {
    per_s: 224.0,
    burst: 224.0,
};

/// A large tenant within its limit, whose demand becomes several times as great.
const HOT: Load = Load {
    nodes: 88,
    entries: 60,
    limit: LIMIT,
    usual_per_s: 140.0,
    hot_per_s: 1_050.0,
    hot_from: Duration::from_secs(6),
    coordinator_dies: None,
    cut_from: None,
    callers_move: None,
    killed: None,
    length: Duration::from_secs(24),
};

/// The process of the coordinator, killed soon after the demand has become as great.
const COORDINATOR_KILLED: Killed = Killed {
    at: Duration::from_millis(6_600),
    nodes: 1,
    down_for: Duration::from_millis(500),
};

/// More than half of all processes, the coordinator's among them, killed at that moment.
const HERD_KILLED: Killed = Killed {
    nodes: 48,
    down_for: Duration::from_secs(2),
    ..COORDINATOR_KILLED
};

/// A few nodes with a tenant whose demand becomes 7.5 times as great, 4.7 times its limit.
const FEW_NODES: Load = Load {
    nodes: 6,
    entries: 6,
    limit: RateLimit {
        per_s: 60.0,
        burst: 20.0,
    },
    usual_per_s: 37.5,
    hot_per_s: 281.25,
    ..HOT
};

const CALM: Load = Load {
    hot_per_s: HOT.usual_per_s,
    ..HOT
};

/// A small tenant: far less than a call a second and node.
const SMALL: Load = Load {
    limit: RateLimit {
        per_s: 5.0,
        burst: 5.0,
    },
    usual_per_s: 3.0,
    hot_per_s: 22.0,
    entries: 12,
    ..HOT
};

fn outcomes(load: Load) -> Vec<Outcome> {
    let seeds = std::env::var("MONSOONCOVE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    (0..seeds).map(|seed| load.play(seed)).collect()
}

/// Guards against a window in which more runs than the operators' rule allows.
fn never_overruns(load: Load) {
    for (seed, outcome) in outcomes(load).iter().enumerate() {
        assert!(outcome.worst_window <= 1.0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a tenant beyond its limit that gets less than the limit.
fn serves_up_to_the_limit(load: Load) {
    let outcomes = outcomes(load);
    let ran: f64 = outcomes.iter().map(|outcome| outcome.late_ran).sum();
    let seconds = load.length.as_secs_f64() / 3.0;
    let mean = ran / f64::from(u32::try_from(outcomes.len()).expect("few seeds")) / seconds;
    let least = load.limit.per_s * (1.0 - SHORTFALL_MAX);
    assert!(mean >= least, "{mean} a second, {least} at least");
}

/// Guards against refusals of a tenant that keeps to its limit.
fn refuses_nothing(load: Load) {
    for (seed, outcome) in outcomes(load).iter().enumerate() {
        let refused = outcome.asked - outcome.ran;
        let allowed = outcome.asked * SHORTFALL_MAX;
        assert!(refused <= allowed, "seed {seed}: {outcome:?}");
    }
}

fn usage(asked: u32, admitted: i32) -> [TenantUsage; 1] {
    [TenantUsage {
        tenant: "mill".into(),
        asked,
        admitted,
    }]
}

/// A lower limit has to bind soon, though the bucket was full.
fn lowered_limit_binds_at_once() {
    let mut ledger = Ledger::default();
    let lower = RateLimit {
        per_s: 20.0,
        burst: 20.0,
    };
    let usage = usage(100, 100);
    let counts = Counts {
        usage: &usage,
        period: SECOND,
        ..Counts::default()
    };
    for second in 1..6 {
        let now = Time::from_millis(second * 1_000);
        ledger.on_report(now, "a", counts, 1, |_| Some(LIMIT));
        assert!(ledger.restrictions(now, 1).is_empty());
    }
    let now = Time::from_millis(6_000);
    ledger.on_report(now, "a", counts, 1, |_| Some(lower));
    let restrictions = ledger.restrictions(now, 1);
    assert!(restrictions[0].share < 0.3, "{restrictions:?}");
}

fn refunded_call_is_not_counted() {
    let mut meter = Meter::default();
    meter.on_reply(Time::ZERO, &[]);
    for _ in 0..3 {
        assert_eq!(meter.admit(Time::ZERO, "mill", LIMIT, 1), Ok(()));
    }
    meter.refund("mill");
    assert_eq!(meter.take_usage(Time::from_millis(500)).0, usage(3, 2));
}

fn lost_report_is_repeated() {
    let mut meter = Meter::default();
    meter.on_reply(Time::ZERO, &[]);
    assert_eq!(meter.admit(Time::ZERO, "mill", LIMIT, 1), Ok(()));
    assert_eq!(meter.take_usage(Time::from_millis(500)).0, usage(1, 1));
    assert_eq!(meter.admit(Time::ZERO, "mill", LIMIT, 1), Ok(()));
    let (counts, period) = meter.take_usage(Time::from_millis(1_000));
    assert_eq!(
        (counts.as_slice(), period),
        (usage(2, 2).as_slice(), SECOND)
    );
    meter.on_reply(Time::from_millis(1_000), &[]);
    assert_eq!(meter.take_usage(Time::from_millis(1_500)).0, []);
}

fn restriction_ends_with_the_next_reply() {
    let mut meter = Meter::default();
    let restriction = Restriction {
        tenant: "mill".into(),
        share: 0.0,
        ..Restriction::default()
    };
    meter.on_reply(Time::ZERO, &[restriction]);
    let mut admitted = || meter.admit(Time::ZERO, "mill", LIMIT, 1).is_ok();
    assert!(admitted());
    assert!(!admitted() && !admitted());
    meter.on_reply(Time::ZERO, &[]);
    assert!(meter.admit(Time::ZERO, "mill", LIMIT, 1).is_ok());
}

/// Without a coordinator every entry keeps to its part.
fn silent_coordinator_leaves_an_even_part() {
    let mut meter = Meter::default();
    let admitted = (0..1_000).filter(|second| {
        let now = Time::from_millis(second * 10);
        meter.admit(now, "mill", LIMIT, 112).is_ok()
    });
    // Half of 224 / 112 a second for ten seconds, and a burst of one.
    assert!((9..=12).contains(&admitted.count()));
}

cases! {
    hot_tenant_never_overruns: never_overruns(HOT);
    hot_tenant_gets_its_limit: serves_up_to_the_limit(HOT);
    tenant_within_its_limit_is_not_refused: refuses_nothing(CALM);
    hot_small_tenant_never_overruns: never_overruns(SMALL);
    hot_small_tenant_gets_its_limit: serves_up_to_the_limit(SMALL);
    small_tenant_within_its_limit_is_not_refused:
        refuses_nothing(Load { hot_per_s: 3.0, ..SMALL });
    hot_tenant_at_two_entries_gets_its_limit: serves_up_to_the_limit(Load { entries: 2, ..HOT });
    hot_tenant_at_two_entries_never_overruns: never_overruns(Load { entries: 2, ..HOT });
    lost_coordinator_gives_no_second_burst:
        never_overruns(Load { coordinator_dies: Some(Duration::from_secs(9)), ..HOT });
    lost_coordinator_costs_nothing_within_the_limit:
        refuses_nothing(Load { coordinator_dies: Some(Duration::from_secs(9)), ..CALM });
    coordinator_that_is_killed_and_returns_gives_out_no_more:
        never_overruns(Load { killed: Some(COORDINATOR_KILLED), ..FEW_NODES });
    coordinator_of_many_that_is_killed_and_returns_gives_out_no_more:
        never_overruns(Load { killed: Some(COORDINATOR_KILLED), ..HOT });
    herd_that_is_killed_and_returns_gives_out_no_more:
        never_overruns(Load { killed: Some(HERD_KILLED), ..HOT });
    killed_coordinator_costs_a_tenant_within_its_limit_nothing:
        refuses_nothing(Load {
            killed: Some(COORDINATOR_KILLED),
            hot_per_s: FEW_NODES.usual_per_s,
            ..FEW_NODES
        });
    killed_herd_costs_a_tenant_within_its_limit_nothing:
        refuses_nothing(Load { killed: Some(HERD_KILLED), ..CALM });
    killed_coordinator_leaves_the_limit_in_force:
        serves_up_to_the_limit(Load { killed: Some(COORDINATOR_KILLED), ..HOT });
    two_halves_of_a_cut_fleet_never_overrun:
        never_overruns(Load { cut_from: Some(30), ..HOT });
    callers_that_move_get_their_limit:
        serves_up_to_the_limit(Load { callers_move: Some(Duration::from_secs(12)), entries: 30, ..HOT });
    callers_that_move_never_overrun:
        never_overruns(Load { callers_move: Some(Duration::from_secs(12)), entries: 30, ..HOT });
    large_fleet_never_overruns: never_overruns(Load { nodes: 295, entries: 200, ..HOT });
    lowered_limit_binds: lowered_limit_binds_at_once();
    call_that_did_not_run_is_given_back: refunded_call_is_not_counted();
    counts_of_a_lost_report_are_told_again: lost_report_is_repeated();
    restriction_lasts_until_the_next_reply: restriction_ends_with_the_next_reply();
    entry_alone_keeps_to_its_part: silent_coordinator_leaves_an_even_part();
}
