//! Token buckets of the tenants at the coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Counts, Restriction, Standing};
use crate::clock::Time;
use crate::plan::RateLimit;

/// Time over which saved tokens are spent, and over which a debt is paid back.
const HORIZON_S: f64 = 1.0;
/// Part of a burst that is saved. The rest covers calls that are admitted while counts travel.
const SAVED_BURST_SHARE: f64 = 0.5;
/// Fleet beyond which less is saved, because reports become rarer.
const NODES_WITH_FULL_SAVINGS: usize = 128;
/// Calls that may be saved whatever the burst, and with which a new bucket begins. Counts of a
/// tenant with a call now and then are never even.
const SAVED_CALLS_MIN: f64 = 10.0;
/// Part of a limit that a coordinator gives out while it has not heard of its nodes yet.
const NEW_COORDINATOR_PART: f64 = 0.75;
/// Time after which a silent node is not counted as heard.
const NODE_LIFETIME: Duration = Duration::from_millis(2_500);
/// Shortest and longest time over which the demand of a node is taken, in seconds.
const DEMAND_TIME_MIN_S: f64 = 0.4;
const DEMAND_TIME_MAX_S: f64 = 3.0;
/// Smallest part of a limit that is given out while a debt is paid back.
const PAYBACK_SHARE_MIN: f64 = 0.05;
/// Age from which a standing that an entry tells is void.
const STANDING_LIFETIME: Duration = Duration::from_secs(5);
/// Debt beyond this time at the full rate is forgotten.
const DEBT_MAX_S: f64 = 10.0;

/// What the coordinator knows of all entries.
#[derive(Debug, Default)]
pub struct Ledger {
    started_at: Option<Time>,
    accounts: BTreeMap<String, Account>,
    heard: BTreeMap<String, Time>,
}

/// Parts of the fleet, and of each limit that this coordinator gives out and saves.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Part of the nodes that report here.
    heard: f64,
    /// Part of each limit that is given out.
    given: f64,
    /// Part of each burst that is saved.
    saved: f64,
}

/// Bucket and demand of one tenant.
#[derive(Debug)]
struct Account {
    limit: RateLimit,
    /// Tokens; below zero if more was admitted than the limit allows.
    level: f64,
    /// Calls a second that ask, by node, over the time of its last report.
    demand_per_s: BTreeMap<String, f64>,
    updated_at: Time,
    is_restricted: bool,
    inherited: Option<Inherited>,
}

/// What another coordinator knew of a tenant, by the word of entries that reported to it before.
#[derive(Clone, Copy, Debug)]
struct Inherited {
    /// Its bucket, without what has been reported here since.
    level: f64,
    /// Its demand, which holds for the nodes that are not heard yet.
    demand_per_s: f64,
    until: Time,
}

impl Ledger {
    /// Takes in the counts of an entry. `limit` gives the limit of a tenant, and `nodes` is the size of
    /// the fleet.
    pub fn on_report(
        &mut self,
        now: Time,
        node: &str,
        counts: Counts<'_>,
        nodes: usize,
        limit: impl Fn(&str) -> Option<RateLimit>,
    ) {
        self.started_at.get_or_insert(now);
        if !self.hears(now, node) {
            self.inherit(now, counts.standings, nodes, &limit);
        }
        self.heard.insert(node.to_owned(), now);
        let seconds = counts.period.as_secs_f64();
        let seconds = seconds.clamp(DEMAND_TIME_MIN_S, DEMAND_TIME_MAX_S);
        let fleet = self.fleet(now, nodes);
        for account in self.accounts.values_mut() {
            account.demand_per_s.remove(node);
        }
        for usage in counts.usage {
            let Some(limit) = limit(&usage.tenant) else {
                self.accounts.remove(&usage.tenant);
                continue;
            };
            let account = self.account(now, &usage.tenant, limit, fleet);
            account.level -= f64::from(usage.admitted);
            let per_s = f64::from(usage.asked) / seconds;
            account.demand_per_s.insert(node.to_owned(), per_s);
        }
    }

    /// Restrictions in force.
    pub fn restrictions(&mut self, now: Time, nodes: usize) -> Vec<Restriction> {
        let fleet = self.fleet(now, nodes);
        let accounts = self.accounts.iter_mut();
        let restricted = accounts.filter_map(|(tenant, account)| {
            account.advance(now, account.limit, fleet);
            let share = account.share(fleet);
            account.log_change(tenant, share);
            (share < 1.0).then(|| Restriction {
                tenant: tenant.clone(),
                share,
                level: account.level.round(),
                demand_per_s: account.demand(fleet).round(),
            })
        });
        restricted.collect()
    }

    /// Account of a tenant, up to date.
    fn account(&mut self, now: Time, tenant: &str, limit: RateLimit, fleet: Fleet) -> &mut Account {
        let account = self
            .accounts
            .entry(tenant.to_owned())
            .or_insert_with(|| Account::new(now, limit));
        account.advance(now, limit, fleet);
        account
    }

    fn hears(&self, now: Time, node: &str) -> bool {
        let heard_at = self.heard.get(node);
        heard_at.is_some_and(|at| now.since(*at) < NODE_LIFETIME)
    }

    /// Takes over what an entry was told before it reported here.
    fn inherit(
        &mut self,
        now: Time,
        standings: &[Standing],
        nodes: usize,
        limit: impl Fn(&str) -> Option<RateLimit>,
    ) {
        let fleet = self.fleet(now, nodes);
        for standing in standings {
            let age = Duration::from_millis(standing.age_ms);
            let Some(limit) = limit(&standing.tenant).filter(|_| age < STANDING_LIFETIME) else {
                continue;
            };
            let account = self.account(now, &standing.tenant, limit, fleet);
            account.inherit(now, standing, age);
        }
    }

    fn fleet(&mut self, now: Time, nodes: usize) -> Fleet {
        self.forget_silent(now);
        let heard = (number(self.heard.len()) / number(nodes).max(1.0)).min(1.0);
        let given = heard.max(self.least_part(now));
        let hundreds = nodes.div_ceil(NODES_WITH_FULL_SAVINGS).max(1);
        Fleet {
            heard,
            given,
            saved: given * SAVED_BURST_SHARE / number(hundreds),
        }
    }

    /// Part of each limit that is given out at least. Another coordinator may hear the nodes that do
    /// not report here, but a new one has not heard all of its own yet.
    fn least_part(&self, now: Time) -> f64 {
        let is_new = self
            .started_at
            .is_none_or(|started_at| now.since(started_at) < NODE_LIFETIME);
        if is_new { NEW_COORDINATOR_PART } else { 0.0 }
    }

    fn forget_silent(&mut self, now: Time) {
        self.heard.retain(|_, at| now.since(*at) < NODE_LIFETIME);
        for account in self.accounts.values_mut() {
            account
                .demand_per_s
                .retain(|node, _| self.heard.contains_key(node));
        }
    }
}

impl Account {
    /// Begins with a few calls only: another coordinator may have given the burst out.
    fn new(now: Time, limit: RateLimit) -> Self {
        Self {
            limit,
            level: SAVED_CALLS_MIN,
            demand_per_s: BTreeMap::new(),
            updated_at: now,
            is_restricted: false,
            inherited: None,
        }
    }

    fn advance(&mut self, now: Time, limit: RateLimit, fleet: Fleet) {
        let seconds = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.limit = limit;
        self.inherited = self.inherited.filter(|inherited| now < inherited.until);
        // The rest is given out where the other nodes still report.
        let part = match self.inherited {
            Some(_) => fleet.heard,
            None => fleet.given,
        };
        let debt_max = limit.per_s * DEBT_MAX_S;
        let saved = (limit.burst * fleet.saved).max(SAVED_CALLS_MIN);
        let refill = |level: f64| (level + limit.per_s * part * seconds).clamp(-debt_max, saved);
        self.level = refill(self.level);
        if let Some(inherited) = &mut self.inherited {
            inherited.level = refill(inherited.level);
        }
    }

    /// Takes over a standing, unless what is known already is worse.
    fn inherit(&mut self, now: Time, standing: &Standing, age: Duration) {
        let level = standing.level + self.limit.per_s * age.as_secs_f64();
        let known = self.inherited.unwrap_or(Inherited {
            level: self.level,
            demand_per_s: 0.0,
            until: now,
        });
        self.level -= (known.level - level).max(0.0);
        self.inherited = Some(Inherited {
            level: known.level.min(level),
            demand_per_s: known.demand_per_s.max(standing.demand_per_s),
            until: now + NODE_LIFETIME,
        });
    }

    fn log_change(&mut self, tenant: &str, share: f64) {
        let is_restricted = share < 1.0;
        if is_restricted == self.is_restricted {
            return;
        }
        self.is_restricted = is_restricted;
        let RateLimit { per_s, burst } = self.limit;
        if is_restricted {
            log::info!(
                "tenant {tenant} is beyond its rate limit: {:.1} calls a second ask, {per_s} and a \
                 burst of {burst} may run; {:.0}% are admitted",
                self.heard_demand(),
                share * 100.0
            );
        } else {
            log::info!("tenant {tenant} is within its rate limit again");
        }
    }

    fn heard_demand(&self) -> f64 {
        self.demand_per_s.values().sum()
    }

    /// Calls a second that ask, at the nodes that are heard and at those that another coordinator has
    /// heard.
    fn demand(&self, fleet: Fleet) -> f64 {
        let inherited = self.inherited.map_or(0.0, |known| known.demand_per_s);
        self.heard_demand() + inherited * (1.0 - fleet.heard)
    }

    /// Share of the demand that the rate, and what is saved or owed, allow.
    fn share(&self, fleet: Fleet) -> f64 {
        let part = match self.inherited {
            Some(_) => 1.0,
            None => fleet.given,
        };
        let per_s = self.limit.per_s * part;
        let allowed = per_s + self.level / HORIZON_S;
        let allowed = allowed.max(per_s * PAYBACK_SHARE_MIN);
        let demand = self.demand(fleet);
        if allowed >= demand {
            1.0
        } else {
            allowed / demand
        }
    }
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
