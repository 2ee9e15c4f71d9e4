//! Errors of the store client.

use displaydoc::Display;

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Error {
    /// the store at {address} does not answer ({cause}); check --store and the platform's service
    Unreachable {
        /// Address that was called.
        address: String,
        /// What the attempt saw.
        cause: String,
    },
    /// the store's call budget is spent; try again in a moment
    Budget,
    /// the store refused the call: {cause}; see docs/STORE.md for the calls it must serve
    Refused {
        /// What the store said.
        cause: String,
    },
}

impl std::error::Error for Error {}
