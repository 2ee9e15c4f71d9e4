//! Why a call was refused before any byte of it reached a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason why a call was certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[repr(u8)]
pub enum Reason {
    /// The gate's queue is full of calls of equal or higher worth.
    Overloaded = 1,
    /// The call cannot finish before its deadline.
    Deadline = 2,
    /// The availability zone is out of service.
    ZoneOut = 3,
    /// The backend server or its node is draining.
    Draining = 4,
    /// The plans of entry and gate differ in a way that matters.
    StalePlan = 5,
    /// The region is not a home region of the call.
    Region = 6,
    /// The backend server does not accept connections.
    Unreachable = 7,
    /// The backend server itself refused before running the call.
    Shed = 8,
    /// The entry recalled the call while it was queued.
    Recalled = 9,
    /// No eligible backend server is known.
    NoBackendServer = 10,
    /// No service of that name is in the plan.
    UnknownService = 11,
    /// No route of the service covers the request.
    UnknownRoute = 12,
    /// No tenant of that name is in the plan.
    UnknownTenant = 13,
    /// The call has passed too many nodes.
    TooManyHops = 14,
    /// The request is malformed.
    Malformed = 15,
    /// The node has no plan yet.
    NoPlan = 16,
    /// The same idempotency key is already running or has run.
    Duplicate = 17,
    /// The node has just started and does not know which nodes hold idempotency keys.
    Starting = 18,
    /// The gate cannot start the call before the entry's start deadline.
    LateTurn = 19,
    /// The call has no API key that the plan knows.
    Unauthenticated = 20,
    /// The tenant has used up its rate limit.
    RateLimited = 21,
}

impl Reason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 21] = [
        Self::Overloaded,
        Self::Deadline,
        Self::ZoneOut,
        Self::Draining,
        Self::StalePlan,
        Self::Region,
        Self::Unreachable,
        Self::Shed,
        Self::Recalled,
        Self::NoBackendServer,
        Self::UnknownService,
        Self::UnknownRoute,
        Self::UnknownTenant,
        Self::TooManyHops,
        Self::Malformed,
        Self::NoPlan,
        Self::Duplicate,
        Self::Starting,
        Self::LateTurn,
        Self::Unauthenticated,
        Self::RateLimited,
    ];

    /// Reason with this number on the wire, if there is one.
    #[must_use]
    pub fn from_number(number: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| *reason as u8 == number)
    }

    /// Whether the gate accepts no calls for now. The entry then sends it none for a while, so
    /// retries at other gates cannot add up.
    #[must_use]
    pub const fn is_gate_closed(self) -> bool {
        matches!(self, Self::ZoneOut | Self::Draining | Self::Unreachable)
    }

    /// Whether another backend server may take the call.
    #[must_use]
    pub const fn is_retryable_elsewhere(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::ZoneOut
                | Self::Draining
                | Self::StalePlan
                | Self::Unreachable
                | Self::Shed
                | Self::Recalled
                | Self::LateTurn
                | Self::NoPlan
                | Self::NoBackendServer
        )
    }

    /// Name used in headers, metrics and refusal bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::ZoneOut => "zone-out",
            Self::Draining => "draining",
            Self::StalePlan => "stale-plan",
            Self::Region => "region",
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Recalled => "recalled",
            Self::NoBackendServer => "no-backend-server",
            Self::UnknownService => "unknown-service",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownTenant => "unknown-tenant",
            Self::TooManyHops => "too-many-hops",
            Self::Malformed => "malformed",
            Self::NoPlan => "no-plan",
            Self::Duplicate => "duplicate",
            Self::Starting => "starting",
            Self::LateTurn => "late-turn",
            Self::Unauthenticated => "unauthenticated",
            Self::RateLimited => "rate-limited",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
