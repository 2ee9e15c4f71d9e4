//! Admission control for one backend server.
//!
//! The gate receives calls, their outcomes and signals from the backend server, each with the
//! current time, and returns actions: admit, refuse or query the load. It performs no I/O and reads
//! no clock. It keeps the running calls, a priority queue, an adaptive concurrency limit, a rate
//! limit for a cold server, a backoff after failures and the server's lifecycle state.
//!
//! Every call to a backend server passes the [`Gate`] beside it, so the gate knows exactly how many
//! calls the server runs. Entries may act on stale load reports; therefore the concurrency limit,
//! the cold allowance, drains and the availability zone's state are enforced here.

mod admission;
mod backoff;
mod boot_ids;
mod cold_rate_limit;
mod estimate;
mod latency_collapse;
mod lifecycle;
mod limit;
mod load_query;
mod load_report;
mod queue;
mod service_times;
mod settings;
mod slowdown;
mod start;
#[cfg(test)]
mod tests;
mod turns;

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

pub use admission::Gate;
pub use lifecycle::State;
pub use load_report::LoadReport;
pub use settings::Settings;

/// Identifies one call at a gate. Chosen by the code that reports the arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Class of calls with a similar service time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallClass(pub u64);

impl CallClass {
    /// Class of a call about which nothing is known.
    pub const UNKNOWN: Self = Self(0);
}

/// Tenant whose calls share their turns at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// A call that requests admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the call at this gate.
    pub call_id: CallId,
    /// Worth of the call according to the plan; higher values are served first.
    pub worth: u32,
    /// Time after which a response is useless.
    pub deadline: Time,
    /// Time until which a response has its full worth, if the route has an objective.
    pub objective: Option<Time>,
    /// Class whose service time the call shares.
    pub class: CallClass,
    /// Tenant of the call. Tenants share the starts evenly among calls of one worth.
    pub tenant: Option<TenantId>,
    /// Time by which the call must start; otherwise it is refused so that its entry can use another
    /// gate.
    pub start_deadline: Option<Time>,
}

/// Action the caller of the gate must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the backend server.
    Admit(CallId),
    /// Report that the call was not run.
    Refuse(CallId, Reason),
    /// Send a load query to the backend server; the answer is reported as
    /// [`Signal::SlowdownPercent`].
    QueryLoad,
}

/// Outcome of an admitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server responded.
    Answered {
        /// Time the backend server took.
        service_time: Duration,
    },
    /// The backend server failed the call.
    Failed,
    /// The backend server refused the call without running it.
    Shed,
    /// No connection could be established.
    Unreachable,
    /// The caller cancelled the call.
    Cancelled,
}

/// Observation about the backend server other than the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Hash of the boot ID seen in a response or at the health endpoint.
    Boot(u64),
    /// The server reports that it is cold.
    Cold,
    /// Time for which the server reports that it will be cold; zero if it is not cold.
    ColdFor(Duration),
    /// The same from a report that may be outdated: it does not end the cold sooner.
    ColdAtLeast(Duration),
    /// Service time of work started now, in percent of the usual service time.
    SlowdownPercent(u32),
    /// The server reports that it is serving.
    Serving,
    /// The server accepts connections.
    Reachable,
    /// The server reports that it is draining.
    Draining,
    /// The health check failed.
    Unhealthy,
}
