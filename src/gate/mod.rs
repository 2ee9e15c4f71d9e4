//! Admission to one backend server. Pure: given time and events, returns actions.
//!
//! Every call to a backend server passes the [`Gate`] beside it, so the gate
//! knows exactly how much the server has in hand. Entries may hold stale
//! reports; limits, cold allowance, drain and availability zone are enforced
//! here.

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

use std::time::Duration;

use crate::clock::Time;
use crate::reason::Reason;

pub use admission::Gate;
pub use lifecycle::State;
pub use load_report::LoadReport;
pub use settings::Settings;

/// Key of one arrival, chosen by whoever reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What calls are alike in the time they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallClass(pub u64);

impl CallClass {
    /// Of a call that nothing is told of.
    pub const UNKNOWN: Self = Self(0);
}

/// A call that asks for admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Key of the call at this gate.
    pub call_id: CallId,
    /// Stated worth of an answer.
    pub worth: u32,
    /// When the answer is of no use any more.
    pub deadline: Time,
    /// Until when the answer has its full worth, where it matters.
    pub objective: Option<Time>,
    /// Calls of one class run for a like time.
    pub class: CallClass,
    /// When the entry wants the call back unless it has been begun.
    pub start_deadline: Option<Time>,
}

/// What is to be done with a call that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the call to the backend server.
    Admit(CallId),
    /// Answer that the call was not run.
    Refuse(CallId, Reason),
    /// Ask the backend server how fast it is now; [`Signal::SlowdownPercent`] tells.
    QueryLoad,
}

/// How an admitted call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered {
        /// Time the backend server took.
        service_time: Duration,
    },
    /// The backend server failed the call.
    Failed,
    /// The backend server refused the call without running it.
    Shed,
    /// No connection could be made.
    Unreachable,
    /// The caller withdrew.
    Cancelled,
}

/// What was learned of the backend server besides the outcome of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Hash of the boot id seen on an answer or at the health endpoint.
    Boot(u64),
    /// It says that it is cold.
    Cold,
    /// It says for how long it will be cold; zero when it is not.
    ColdFor(Duration),
    /// Work that is begun now takes this many hundredths of its usual time.
    SlowdownPercent(u32),
    /// It says that it is serving.
    Serving,
    /// It takes connections.
    Reachable,
    /// It says that it is draining.
    Draining,
    /// Its health endpoint fails.
    Unhealthy,
}
