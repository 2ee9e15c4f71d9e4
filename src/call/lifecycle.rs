//! States of a call and the steps between them.

use std::fmt;
use std::time::Duration;

use crate::clock::Time;

use super::{Permit, Reason};

/// A call in state `S`.
#[derive(Debug)]
pub struct Call<S> {
    deadline: Time,
    state: S,
}

/// Its headers have arrived.
#[derive(Debug)]
pub struct Received;

/// Service, route and home regions are known and allow it here.
#[derive(Debug)]
pub struct Routed {
    worth: u32,
}

/// The gate has let it through.
#[derive(Debug)]
pub struct Admitted {
    permit: Permit,
}

/// The backend server may have seen it.
#[derive(Debug)]
pub struct Dispatched {
    permit: Permit,
    dispatched_at: Time,
}

/// The backend server has sent the head of its answer.
#[derive(Debug)]
pub struct Answered {
    permit: Permit,
    service_time: Duration,
}

/// The call certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
}

/// The call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    loss: Loss,
}

/// How the outcome of a call was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Loss {
    /// The connection to the backend server broke.
    BackendServer = 1,
    /// The link between the nodes broke.
    Link = 2,
    /// No answer came before the deadline.
    Deadline = 3,
    /// An owner of the idempotency key cannot be asked.
    Claim = 4,
    /// The caller's request body broke off.
    Request = 5,
}

impl Loss {
    /// Name used in headers, metrics and refusal bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BackendServer => "backend-lost",
            Self::Link => "link-lost",
            Self::Deadline => "deadline",
            Self::Claim => "claim-unknown",
            Self::Request => "request-cut",
        }
    }

    /// The loss with this number on the wire; an unknown number is a lost link.
    #[must_use]
    pub const fn from_number(number: u8) -> Self {
        match number {
            1 => Self::BackendServer,
            3 => Self::Deadline,
            4 => Self::Claim,
            5 => Self::Request,
            _ => Self::Link,
        }
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Proof that a request never left for the backend server.
#[derive(Debug)]
pub struct UnsentProof(());

impl UnsentProof {
    /// Only the client of the backend server can tell.
    pub(crate) const fn from_client() -> Self {
        Self(())
    }
}

/// Proof that the backend server refused a request before running it.
#[derive(Debug)]
pub struct ShedProof(());

impl ShedProof {
    /// Only the head of an answer can tell, read by the dialect.
    pub(crate) const fn from_response_head() -> Self {
        Self(())
    }
}

impl NotRun {
    /// Why it was refused.
    #[must_use]
    pub const fn reason(self) -> Reason {
        self.reason
    }

    /// The word of another node's gate, which proved it there.
    pub(crate) const fn reported_by_gate(reason: Reason) -> Self {
        Self { reason }
    }
}

impl UnknownOutcome {
    /// How the outcome was lost.
    #[must_use]
    pub const fn loss(self) -> Loss {
        self.loss
    }

    /// An outcome lost by something outside this node.
    #[must_use]
    pub const fn of(loss: Loss) -> Self {
        Self { loss }
    }
}

impl<S> Call<S> {
    /// When the call is worth nothing any more.
    #[must_use]
    pub const fn deadline(&self) -> Time {
        self.deadline
    }
}

impl Call<Received> {
    /// A call whose headers have arrived.
    #[must_use]
    pub const fn receive(deadline: Time) -> Self {
        Self {
            deadline,
            state: Received,
        }
    }

    /// Takes the call in, at most until `deadline`.
    #[must_use]
    pub fn route(self, worth: u32, deadline: Time) -> Call<Routed> {
        Call {
            deadline: self.deadline.min(deadline),
            state: Routed { worth },
        }
    }

    /// Refuses it.
    #[must_use]
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason }
    }
}

impl Call<Routed> {
    /// Worth of one answer.
    #[must_use]
    pub const fn worth(&self) -> u32 {
        self.state.worth
    }

    /// Lets it through the gate.
    #[must_use]
    pub fn admit(self, permit: Permit) -> Call<Admitted> {
        Call {
            deadline: self.deadline,
            state: Admitted { permit },
        }
    }

    /// Refuses it.
    #[must_use]
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason }
    }
}

impl Call<Admitted> {
    /// The next step may put a byte on the way to the backend server.
    #[must_use]
    pub fn dispatch(self, now: Time) -> Call<Dispatched> {
        Call {
            deadline: self.deadline,
            state: Dispatched {
                permit: self.state.permit,
                dispatched_at: now,
            },
        }
    }

    /// Refuses it because of something learned after it was admitted.
    #[must_use]
    pub fn refuse(self, reason: Reason) -> NotRun {
        self.state.permit.finish_cancelled();
        NotRun { reason }
    }

    /// Refuses it because the backend server takes no connection.
    #[must_use]
    pub fn unreachable(self) -> NotRun {
        self.state.permit.finish_unreachable();
        NotRun {
            reason: Reason::Unreachable,
        }
    }
}

impl Call<Dispatched> {
    /// The head of the answer is here.
    #[must_use]
    pub fn answer(self, now: Time) -> Call<Answered> {
        Call {
            deadline: self.deadline,
            state: Answered {
                service_time: now.since(self.state.dispatched_at),
                permit: self.state.permit,
            },
        }
    }

    /// The request came back unsent.
    #[must_use]
    pub fn unsent(self, _proof: UnsentProof) -> NotRun {
        self.state.permit.finish_unreachable();
        NotRun {
            reason: Reason::Unreachable,
        }
    }

    /// The backend server refused it before running it.
    #[must_use]
    pub fn shed(self, _proof: ShedProof) -> NotRun {
        self.state.permit.finish_shed();
        NotRun {
            reason: Reason::Shed,
        }
    }

    /// Nobody can tell whether it ran.
    #[must_use]
    pub fn lose(self, loss: Loss) -> UnknownOutcome {
        self.state.permit.finish_failed();
        UnknownOutcome { loss }
    }
}

impl Call<Answered> {
    /// Time from dispatch to the head of the answer.
    #[must_use]
    pub const fn service_time(&self) -> Duration {
        self.state.service_time
    }

    /// The answer is whole.
    pub fn finish(self) {
        self.state.permit.finish_answered(self.state.service_time);
    }

    /// The answer broke off.
    pub fn fail(self) {
        self.state.permit.finish_failed();
    }
}
