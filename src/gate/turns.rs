//! Start-time fair queueing between tenants.
//!
//! Each queued call of a tenant gets a turn: the later of the virtual time and the end of the
//! tenant's last turn. The virtual time follows the calls that start. A tenant that asks for more
//! than its share gets ever later turns; one that asks for less has its turn at once.

use std::collections::BTreeMap;

use super::TenantId;

/// Turn of a call; the earliest starts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn(u64);

/// Turns of the tenants that have calls in the queue, or had them lately.
#[derive(Debug, Default)]
pub(super) struct Turns {
    virtual_time: u64,
    /// End of the last turn of each tenant that lies ahead.
    ends: BTreeMap<TenantId, u64>,
}

impl Turns {
    /// Turn that a call would get now.
    pub(super) fn peek(&self, tenant: Option<TenantId>) -> Turn {
        let end = tenant.and_then(|tenant| self.ends.get(&tenant));
        Turn(end.map_or(self.virtual_time, |&end| end.max(self.virtual_time)))
    }

    /// Gives a call its turn. Calls of no tenant have theirs at once.
    pub(super) fn take(&mut self, tenant: Option<TenantId>) -> Turn {
        let turn = self.peek(tenant);
        if let Some(tenant) = tenant {
            self.ends.insert(tenant, turn.0 + 1);
        }
        turn
    }

    /// Takes back the turn of a call that left the queue without a start.
    pub(super) fn give_back(&mut self, tenant: Option<TenantId>) {
        if let Some(end) = tenant.and_then(|tenant| self.ends.get_mut(&tenant)) {
            *end = end.saturating_sub(1);
        }
    }

    /// Follows a call that starts.
    pub(super) fn start(&mut self, turn: Turn) {
        self.virtual_time = self.virtual_time.max(turn.0);
        let virtual_time = self.virtual_time;
        self.ends.retain(|_, end| *end > virtual_time);
    }
}
