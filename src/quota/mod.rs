//! Rate limits of tenants over all nodes together.
//!
//! A [`Meter`] at each entry admits or refuses calls and counts them. Entries report their counts
//! to a coordinator, whose [`Ledger`] keeps one token bucket for each tenant and tells which share
//! of the demand to admit. It also tells the standing of each tenant that is restricted, which the
//! entries tell a coordinator that does not know it, because it has just started or has not heard of
//! them. The code does no I/O. docs/design/rate-limits.md describes messages and
//! failures.

mod ledger;
mod meter;
#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use ledger::Ledger;
pub use meter::Meter;

/// Calls of one tenant at one entry since its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "UsageTuple", into = "UsageTuple")]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Calls that asked to be admitted.
    pub asked: u32,
    /// Calls that were admitted, less those that did not run.
    pub admitted: i32,
}

/// Form of a [`TenantUsage`] in a message: a list without names of fields, since many are sent.
type UsageTuple = (String, u32, i32);

impl From<UsageTuple> for TenantUsage {
    fn from((tenant, asked, admitted): UsageTuple) -> Self {
        Self {
            tenant,
            asked,
            admitted,
        }
    }
}

impl From<TenantUsage> for UsageTuple {
    fn from(usage: TenantUsage) -> Self {
        (usage.tenant, usage.asked, usage.admitted)
    }
}

/// Share of a tenant's calls that entries admit. Tenants without one are not restricted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Restriction {
    /// Name of the tenant.
    pub tenant: String,
    /// Share of its calls, 0 to 1.
    pub share: f64,
    /// Tokens of its bucket; below zero if more was admitted than the limit allows.
    #[serde(default)]
    pub level: f64,
    /// Calls a second that ask, at all entries together.
    #[serde(default)]
    pub demand_per_s: f64,
}

/// Bucket and demand of a tenant, as a coordinator told them some time ago.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Standing {
    /// Name of the tenant.
    pub tenant: String,
    /// Tokens of its bucket at that time.
    pub level: f64,
    /// Calls a second that asked then, at all entries together.
    pub demand_per_s: f64,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// What an entry reports to the coordinator.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts<'a> {
    /// Calls since the last report.
    pub usage: &'a [TenantUsage],
    /// Time in which these calls came.
    pub period: Duration,
    /// What the entry was told in the last reply.
    pub standings: &'a [Standing],
}
