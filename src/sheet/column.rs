//! Columns of the sheet.

use std::fmt;

use super::row::Kind;

/// One column, in canonical order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Column {
    /// What the row declares.
    Kind,
    /// Name of what the row declares.
    Name,
    /// Region of an availability zone.
    Region,
    /// Whether an availability zone is in or out of service.
    State,
    /// Concurrent calls one backend server can hold.
    Slots,
    /// Concurrent calls during cold start.
    ColdAllowance,
    /// Steps from the cold allowance up to the slots.
    WarmSteps,
    /// Length of one step.
    WarmStepMs,
    /// Service of a route.
    Service,
    /// Method of a route.
    Method,
    /// Path prefix of a route.
    Path,
    /// Home regions of a tenant or route.
    Regions,
    /// Worth of one answered call.
    Worth,
    /// Whether a call may run more than once.
    Idempotent,
    /// Longest time a call may take.
    DeadlineMs,
    /// Whether a second copy of a call may run.
    SecondCopy,
    /// Time within which an answer has its full worth.
    ObjectiveMs,
    /// Backend servers that one call may be sent to.
    Attempts,
}

impl Column {
    /// Every column in canonical order.
    pub const ALL: [Self; 18] = [
        Self::Kind,
        Self::Name,
        Self::Region,
        Self::State,
        Self::Slots,
        Self::ColdAllowance,
        Self::WarmSteps,
        Self::WarmStepMs,
        Self::Service,
        Self::Method,
        Self::Path,
        Self::Regions,
        Self::Worth,
        Self::Idempotent,
        Self::DeadlineMs,
        Self::SecondCopy,
        Self::ObjectiveMs,
        Self::Attempts,
    ];

    /// Position in canonical order.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Heading of the column.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Name => "name",
            Self::Region => "region",
            Self::State => "state",
            Self::Slots => "slots",
            Self::ColdAllowance => "cold_allowance",
            Self::WarmSteps => "warm_steps",
            Self::WarmStepMs => "warm_step_ms",
            Self::Service => "service",
            Self::Method => "method",
            Self::Path => "path",
            Self::Regions => "regions",
            Self::Worth => "worth",
            Self::Idempotent => "idempotent",
            Self::DeadlineMs => "deadline_ms",
            Self::SecondCopy => "second_copy",
            Self::ObjectiveMs => "objective_ms",
            Self::Attempts => "attempts",
        }
    }

    /// The column with the heading `text`.
    #[must_use]
    pub fn from_heading(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|column| column.as_str() == text)
    }

    /// Whether a sheet may lack the column; its cells then count as blank.
    #[must_use]
    pub const fn is_optional(self) -> bool {
        matches!(self, Self::ObjectiveMs | Self::Attempts)
    }

    /// Whether rows of `kind` fill this column.
    #[must_use]
    pub const fn belongs_to(self, kind: Kind) -> bool {
        match self {
            Self::Kind | Self::Name => true,
            Self::Region | Self::State => matches!(kind, Kind::Zone),
            Self::Slots | Self::ColdAllowance | Self::WarmSteps | Self::WarmStepMs => {
                matches!(kind, Kind::Service)
            }
            Self::Regions => matches!(kind, Kind::Tenant | Kind::Route),
            Self::Service
            | Self::Method
            | Self::Path
            | Self::Worth
            | Self::Idempotent
            | Self::DeadlineMs
            | Self::SecondCopy
            | Self::ObjectiveMs
            | Self::Attempts => matches!(kind, Kind::Route),
        }
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
