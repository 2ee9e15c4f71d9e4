//! What a platform allows, and how much of it a node uses.

use std::time::Duration;

use super::Settings;

/// Share of the health checks that are made at even intervals.
const REGULAR_SHARE: f64 = 0.2;
/// Share of them that may be made before calls.
const ASKED_SHARE: f64 = 0.5;
/// Share of the calls beyond the first that may be retries; as many again may be
/// second copies. Nodes do not agree on each, so a part stays free.
const RETRY_SHARE: f64 = 0.3;

/// Bounds on the calls that a platform's backend servers get beside those of
/// callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Health checks a second of one backend server.
    pub checks_per_s: f64,
    /// Calls of one service beyond the first, for each call of a caller.
    pub retry_ratio: f64,
    /// Calls that a cold backend server may get for each call a second that it is stated to bear.
    pub cold_rate_factor: f64,
    /// Largest share of a service's calls, 0 to 1, for a version that may be bad.
    pub exposure_share: f64,
    /// Calls that such a version may get in addition.
    pub exposure_slack: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            checks_per_s: 60.0,
            retry_ratio: 0.2,
            cold_rate_factor: 1.0,
            exposure_share: 0.1,
            exposure_slack: 50,
        }
    }
}

impl Settings {
    /// The same with budgets that keep to `bounds`.
    #[must_use]
    pub fn within(mut self, bounds: Bounds) -> Self {
        let checks_per_s = bounds.checks_per_s.max(1.0);
        let regular = Duration::from_secs_f64(1.0 / (checks_per_s * REGULAR_SHARE));
        let registry = &mut self.registry;
        registry.probe_interval = registry.probe_interval.max(regular);
        let asked = checks_per_s * ASKED_SHARE;
        registry.gate.load_queries_per_s = registry.gate.load_queries_per_s.min(asked);
        registry.cold_rate_factor = bounds.cold_rate_factor.max(1.0);
        let routing = &mut self.tuning.routing;
        let extra = bounds.retry_ratio.max(0.0) * RETRY_SHARE;
        routing.retry_ratio = routing.retry_ratio.min(extra);
        routing.hedge_ratio = routing.hedge_ratio.min(extra);
        let rollout = &mut self.coordination.rollout;
        rollout.exposure_share = bounds.exposure_share.clamp(0.0, 1.0);
        rollout.exposure_slack = bounds.exposure_slack;
        self
    }
}
