//! Budgets that follow from the bounds of a platform.

use std::time::Duration;

use super::{Bounds, Settings};

fn within(checks_per_s: f64, retry_ratio: f64) -> Settings {
    Settings::default().within(Bounds {
        checks_per_s,
        retry_ratio,
        ..Bounds::default()
    })
}

/// Health checks a second that a backend server gets at most.
fn checks(settings: &Settings) -> f64 {
    let regular = 1.0 / settings.registry.probe_interval.as_secs_f64();
    regular + settings.registry.gate.load_queries_per_s
}

fn extra(settings: &Settings) -> f64 {
    settings.tuning.routing.retry_ratio + settings.tuning.routing.hedge_ratio
}

/// Share of a platform's grace in which backend servers may still be at work.
const WORK_SHARE: f64 = 5.0 / 6.0;

fn cold_rate_factor(cold_rate_factor: f64) -> f64 {
    let bounds = Bounds {
        cold_rate_factor,
        ..Bounds::default()
    };
    Settings::default().within(bounds).registry.cold_rate_factor
}

/// Limit of hedged requests, as a share of the calls.
fn hedges(percent: f64) -> f64 {
    let settings = within(60.0, 0.2).with_hedge_percent(percent);
    settings.tuning.routing.hedge_ratio
}

cases! {
    operators_limit_hedges: assert!((hedges(2.0) - 0.02).abs() < 1e-9);
    platform_bounds_the_operators_limit: assert!(hedges(50.0) <= 0.06 + 1e-9);
    hedges_are_switched_off: {
        let settings = Settings::default().with_hedge_percent(0.0);
        assert!(settings.tuning.entry.hedge_after_share <= 0.0);
    };
    cold_servers_get_what_the_platform_allows: assert!((cold_rate_factor(1.5) - 1.5).abs() < 1e-9);
    cold_servers_get_no_less_than_they_bear: assert!((cold_rate_factor(0.5) - 1.0).abs() < 1e-9);
    stop_leaves_backend_servers_their_share_of_the_grace: {
        for seconds in [2, 6, 10, 30] {
            let grace = Duration::from_secs(seconds);
            let settings = Settings::default().with_grace(grace);
            assert!(settings.grace > grace.mul_f64(WORK_SHARE), "{seconds} s");
            assert!(settings.grace < grace, "{seconds} s");
            assert!(settings.linger < settings.grace / 2, "{seconds} s");
        }
    };
    checks_stay_below_their_bound: {
        for bound in [1.0, 5.0, 20.0, 60.0, 500.0] {
            let checks = checks(&within(bound, 0.2));
            assert!(checks <= bound * 0.75, "{checks} of {bound}");
        }
    };
    wide_bound_does_not_raise_what_is_needed: {
        let wide = within(500.0, 0.2);
        assert_eq!(wide.registry, Settings::default().registry);
    };
    retries_and_copies_stay_below_their_bound: {
        for bound in [0.0, 0.05, 0.2, 1.0] {
            let extra = extra(&within(60.0, bound));
            assert!(extra <= bound * 0.75, "{extra} of {bound}");
        }
    };
}
