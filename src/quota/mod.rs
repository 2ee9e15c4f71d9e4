//! Rate limits of tenants over all nodes together.
//!
//! A [`Meter`] at each entry admits or refuses calls and counts them. Entries report their counts
//! to a coordinator, whose [`Ledger`] keeps one token bucket for each tenant and tells which share
//! of the demand to admit. The code does no I/O. docs/design/rate-limits.md describes messages and
//! failures.

mod ledger;
mod meter;
#[cfg(test)]
mod tests;

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
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Restriction {
    /// Name of the tenant.
    pub tenant: String,
    /// Share of its calls, 0 to 1.
    pub share: f64,
}
