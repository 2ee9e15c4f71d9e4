//! How the calls of the store are put into HTTP.
//!
//! The client decides when to call, how long to wait and what to try again. A
//! [`Protocol`] only writes requests and reads answers.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};

use crate::store::{Error, Lease, Listing, Outcome, Record, Revision, Watched, Write};

/// One call.
#[derive(Clone, Copy, Debug)]
pub enum Call<'a> {
    /// Reads one key.
    Get {
        /// Key to read.
        key: &'a str,
    },
    /// Reads keys that start with a prefix.
    List {
        /// Start of the keys.
        prefix: &'a str,
        /// Last key of the page before.
        after: Option<&'a str>,
    },
    /// Writes one key.
    Write(&'a Write),
    /// Takes a lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Extends a lease.
    Renew {
        /// Lease to extend.
        lease: Lease,
    },
    /// Ends a lease.
    Revoke {
        /// Lease to end.
        lease: Lease,
    },
    /// Waits for changes.
    Watch {
        /// Start of the keys.
        prefix: &'a str,
        /// Changes up to this revision are known.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// To [`Call::Get`].
    Record(Option<Record>),
    /// To [`Call::List`].
    Page(Page),
    /// To [`Call::Write`].
    Written(Outcome),
    /// To [`Call::Grant`].
    Granted(Lease),
    /// To [`Call::Renew`]: whether the lease still existed.
    Renewed(bool),
    /// To [`Call::Revoke`].
    Revoked,
    /// To [`Call::Watch`].
    Watched(Watched),
}

/// A part of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// What was read.
    pub listing: Listing,
    /// Key after which the next part begins, if there is one.
    pub next: Option<String>,
}

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly had no effect.
    NoEffect(Error),
    /// The request may have had its effect.
    Unknown(Error),
    /// The store answered that it will not do it.
    Final(Error),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NoEffect(error) | Failure::Unknown(error) | Failure::Final(error) => error,
        }
    }
}

/// Writes requests and reads answers.
pub trait Protocol: fmt::Debug + Send + Sync + 'static {
    /// The request of `call`; its target is the path and query only.
    ///
    /// # Errors
    ///
    /// Fails when the call cannot be put into a request.
    fn request(&self, call: &Call<'_>) -> Result<Request<Bytes>, Failure>;

    /// Era that an answer names; `None` for a store without eras.
    ///
    /// # Errors
    ///
    /// Tells what was found in place of a number.
    fn era(&self, _headers: &HeaderMap) -> Result<Option<u32>, String> {
        Ok(None)
    }

    /// The answer to `call`.
    ///
    /// # Errors
    ///
    /// Tells what became of a call that was not carried out.
    fn answer(&self, call: &Call<'_>, status: StatusCode, body: &Bytes) -> Result<Answer, Failure>;
}

/// The error of a call that the store did not carry out.
#[must_use]
pub fn refused(cause: &dyn fmt::Display) -> Error {
    Error::Refused {
        cause: cause.to_string(),
    }
}
