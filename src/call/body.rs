//! Bodies on their way through a node.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::combinators::UnsyncBoxBody;

/// A body of either direction.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum BodyError {
    /// the caller stopped sending; send the whole request again
    Caller,
    /// the backend server stopped sending; ask again if the call may run twice
    BackendServer,
    /// the link between two nodes broke; ask again if the call may run twice
    Link,
    /// a node sent frames out of order; compare the versions of both nodes
    Malformed,
    /// the deadline passed; allow the route more time in the sheet
    Deadline,
    /// the call was withdrawn; nothing is left to do
    Withdrawn,
}

impl std::error::Error for BodyError {}
