//! Admission of calls by the rate limits of their tenants, at one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Restriction, Standing, TenantUsage};
use crate::clock::Time;
use crate::plan::RateLimit;
use crate::token_bucket::TokenBucket;

/// Time for which restrictions hold after they were heard.
const RESTRICTION_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time constant of the moving average of admitted calls.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Calls since the last report from which a jump of the demand is told at once.
const JUMP_MIN: u32 = 3;
/// Time between two reports of a tenant that is restricted.
const RESTRICTED_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Ratio to the calls of the report before that counts as a jump.
const JUMP_RATIO: u32 = 2;
/// Shortest and longest delay that a refused caller is told.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Counts and admits the calls of an entry.
#[derive(Debug, Default)]
pub struct Meter {
    tenants: BTreeMap<String, Usage>,
    /// When the coordinator was last heard.
    heard_at: Option<Time>,
    reported_at: Time,
    /// Time of the last report that was replied to.
    unreported_since: Option<Time>,
}

/// Calls of one tenant.
#[derive(Debug)]
struct Usage {
    asked: u32,
    admitted: i32,
    /// Counts of a report that has no reply yet.
    in_report: Option<(u32, i32)>,
    /// Calls that asked in the report before.
    asked_before: u32,
    /// Calls a second that were admitted, as a moving average.
    admitted_per_s: f64,
    share: f64,
    /// Part of the next call that may be admitted.
    credit: f64,
    /// Limit of this entry while no coordinator is heard.
    own_part: Option<TokenBucket>,
    /// Bucket and demand that the coordinator told last.
    told: Option<Told>,
}

/// What a coordinator told of a tenant at all entries.
#[derive(Clone, Copy, Debug)]
struct Told {
    level: f64,
    demand_per_s: f64,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            asked: 0,
            admitted: 0,
            in_report: None,
            asked_before: 0,
            admitted_per_s: 0.0,
            share: 1.0,
            credit: 1.0,
            own_part: None,
            told: None,
        }
    }
}

impl Meter {
    /// Admits a call of a tenant with `limit`, in a fleet of `nodes`.
    ///
    /// # Errors
    ///
    /// Returns the time after which a call is likely to be admitted.
    pub fn admit(
        &mut self,
        now: Time,
        tenant: &str,
        limit: RateLimit,
        nodes: usize,
    ) -> Result<(), Duration> {
        let is_heard = self
            .heard_at
            .is_some_and(|heard_at| now.since(heard_at) < RESTRICTION_LIFETIME);
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), Usage::default());
        }
        let Some(usage) = self.tenants.get_mut(tenant) else {
            return Ok(());
        };
        usage.asked += 1;
        let is_admitted = if is_heard {
            usage.own_part = None;
            usage.take_credit()
        } else {
            usage.take_own_part(now, limit, nodes)
        };
        if !is_admitted {
            return Err(usage.retry_after(now.since(self.reported_at)));
        }
        usage.admitted += 1;
        Ok(())
    }

    /// Takes back an admission: the call did not run.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.admitted -= 1;
        }
    }

    /// Whether the next report should not wait: the demand of a tenant has jumped, or its share
    /// has to be known better.
    #[must_use]
    pub fn is_report_overdue(&self, now: Time, tenant: &str) -> bool {
        self.tenants.get(tenant).is_some_and(|usage| {
            let has_jumped = usage.asked / JUMP_RATIO > usage.asked_before;
            let is_restricted = usage.share < 1.0;
            let is_old = now.since(self.reported_at) >= RESTRICTED_REPORT_INTERVAL;
            usage.asked >= JUMP_MIN && (has_jumped || is_restricted && is_old)
        })
    }

    /// Counts to report, and the time in which they came. They count again in the next report
    /// unless [`Self::on_reply`] follows.
    pub fn take_usage(&mut self, now: Time) -> (Vec<TenantUsage>, Duration) {
        let elapsed = now.since(self.reported_at);
        self.reported_at = now;
        let since = *self.unreported_since.get_or_insert(now);
        let mut taken = Vec::new();
        for (tenant, usage) in &mut self.tenants {
            let (asked, admitted) = usage.in_report.take().unwrap_or_default();
            let counts = (asked + usage.asked, admitted + usage.admitted);
            usage.average(elapsed);
            usage.asked_before = usage.asked;
            usage.asked = 0;
            usage.admitted = 0;
            if counts == (0, 0) {
                continue;
            }
            usage.in_report = Some(counts);
            taken.push(TenantUsage {
                tenant: tenant.clone(),
                asked: counts.0,
                admitted: counts.1,
            });
        }
        (taken, now.since(since))
    }

    /// What the coordinator told last, for one that does not know it.
    #[must_use]
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        let Some(heard_at) = self.heard_at else {
            return Vec::new();
        };
        let age_ms = u64::try_from(now.since(heard_at).as_millis()).unwrap_or(u64::MAX);
        let standing = |(tenant, usage): (&String, &Usage)| {
            let told = usage.told?;
            Some(Standing {
                tenant: tenant.clone(),
                level: told.level,
                demand_per_s: told.demand_per_s,
                age_ms,
            })
        };
        self.tenants.iter().filter_map(standing).collect()
    }

    /// Takes in the reply to the last report: all restrictions in force.
    pub fn on_reply(&mut self, now: Time, restrictions: &[Restriction]) {
        self.heard_at = Some(now);
        self.unreported_since = Some(self.reported_at);
        for usage in self.tenants.values_mut() {
            usage.in_report = None;
            usage.share = 1.0;
            usage.told = None;
        }
        for restriction in restrictions {
            let tenant = restriction.tenant.clone();
            let usage = self.tenants.entry(tenant).or_default();
            usage.share = restriction.share.clamp(0.0, 1.0);
            usage.told = Some(Told {
                level: restriction.level,
                demand_per_s: restriction.demand_per_s,
            });
        }
        self.tenants.retain(|_, usage| !usage.is_idle());
    }
}

impl Usage {
    /// Admits `share` of the calls, evenly.
    fn take_credit(&mut self) -> bool {
        if self.share >= 1.0 {
            self.credit = 1.0;
            return true;
        }
        self.credit = (self.credit + self.share).min(1.0 + self.share);
        let is_enough = self.credit >= 1.0;
        if is_enough {
            self.credit -= 1.0;
        }
        is_enough
    }

    /// Admits half of an even part of the limit, and half of what this entry admitted before. Over
    /// all entries that is no more than the limit.
    fn take_own_part(&mut self, now: Time, limit: RateLimit, nodes: usize) -> bool {
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let before = self.admitted_per_s.min(limit.per_s);
        let per_s = f64::midpoint(limit.per_s / nodes, before);
        let bucket = self
            .own_part
            .get_or_insert_with(|| TokenBucket::new_full(per_s.max(1.0), per_s, now));
        bucket.try_take(now, 1.0)
    }

    fn average(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds > 0.0 {
            let weight = 1.0 - (-seconds / AVERAGE_TIME.as_secs_f64()).exp();
            let per_s = f64::from(self.admitted.max(0)) / seconds;
            self.admitted_per_s += (per_s - self.admitted_per_s) * weight;
        }
    }

    /// Time until the credit suffices at the present demand.
    fn retry_after(&self, since_report: Duration) -> Duration {
        let seconds = since_report.as_secs_f64().max(0.1);
        let asked_per_s = f64::from(self.asked) / seconds;
        let calls = (1.0 - self.credit).max(0.0) / self.share.max(0.01);
        let wait = Duration::try_from_secs_f64(calls / asked_per_s.max(0.1));
        let wait = wait.unwrap_or(RETRY_AFTER_MAX);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    fn is_idle(&self) -> bool {
        let is_quiet = self.asked == 0 && self.admitted == 0 && self.admitted_per_s < 0.01;
        is_quiet && self.share >= 1.0 && self.told.is_none()
    }
}
