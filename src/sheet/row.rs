//! Rows of a sheet, one declaration each.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

/// What a row declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A region.
    Region,
    /// An availability zone.
    Zone,
    /// A service.
    Service,
    /// A tenant.
    Tenant,
    /// A route.
    Route,
}

impl Kind {
    /// Every kind, in the order of the canonical text.
    pub const ALL: [Self; 5] = [
        Self::Region,
        Self::Zone,
        Self::Service,
        Self::Tenant,
        Self::Route,
    ];

    /// Word in the sheet.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Zone => "zone",
            Self::Service => "service",
            Self::Tenant => "tenant",
            Self::Route => "route",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// What the row declares.
    pub kind: Kind,
    /// Service of a route; empty for other kinds.
    pub service: String,
    /// Name, unique within kind and service.
    pub name: String,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Route => write!(f, "route {} of service {}", self.name, self.service),
            kind => write!(f, "{kind} {}", self.name),
        }
    }
}

/// One declaration without its key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Row {
    /// A region.
    Region,
    /// An availability zone.
    Zone(Zone),
    /// A service.
    Service(Service),
    /// A tenant.
    Tenant(Tenant),
    /// A route.
    Route(Route),
}

impl Row {
    /// What the row declares.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Region => Kind::Region,
            Self::Zone(_) => Kind::Zone,
            Self::Service(_) => Kind::Service,
            Self::Tenant(_) => Kind::Tenant,
            Self::Route(_) => Kind::Route,
        }
    }
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// Region it lies in.
    pub region: String,
    /// Whether it takes new work.
    pub in_service: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Concurrent calls one backend server can hold.
    pub slots: u32,
    /// Concurrent calls during cold start.
    pub cold_allowance: u32,
    /// Steps from the allowance up to the slots.
    pub warm_steps: u32,
    /// Length of one step.
    pub warm_step_ms: u32,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tenant {
    /// Home regions.
    pub home: Home,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Method it matches; every method when absent.
    pub method: Option<Method>,
    /// Path prefix it matches.
    pub path: String,
    /// Home regions.
    pub home: Home,
    /// Worth of one answered call.
    pub worth: u32,
    /// Whether a call may run more than once; by method when absent.
    pub idempotent: Option<bool>,
    /// Longest time a call may take.
    pub deadline_ms: u32,
    /// Whether a second copy of an idempotent call may run.
    pub second_copy: bool,
    /// Time within which an answer has its full worth; the whole of the longest
    /// time when absent.
    #[serde(default)]
    pub objective_ms: Option<u32>,
    /// Backend servers that one call may be sent to; as nodes allow when absent.
    #[serde(default)]
    pub attempts: Option<u32>,
}

/// Regions that may serve and store a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Home {
    /// Every region of the sheet.
    All,
    /// These regions only.
    Named(BTreeSet<String>),
}

/// Methods that a route can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// GET
    Get,
    /// HEAD
    Head,
    /// POST
    Post,
    /// PUT
    Put,
    /// PATCH
    Patch,
    /// DELETE
    Delete,
    /// OPTIONS
    Options,
}

impl Method {
    /// Every method.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// Word in the sheet.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
            Self::Options => "OPTIONS",
        }
    }
}

impl From<Method> for http::Method {
    fn from(method: Method) -> Self {
        match method {
            Method::Get => Self::GET,
            Method::Head => Self::HEAD,
            Method::Post => Self::POST,
            Method::Put => Self::PUT,
            Method::Patch => Self::PATCH,
            Method::Delete => Self::DELETE,
            Method::Options => Self::OPTIONS,
        }
    }
}
