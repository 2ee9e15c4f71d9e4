//! What is said to a node beside calls, and what it answers.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;

use crate::backend::registry::{Reaction, Report};

/// What is said to a node beside calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// The platform asks whether the node is ready.
    Ready,
    /// A backend server reports.
    Report(Report),
    /// A backend server leaves.
    Leave {
        /// Name of the process.
        process: String,
        /// When it was started, in milliseconds since 1970, where it said so.
        born_ms: Option<u64>,
    },
    /// It cannot be read, for this reason.
    Unreadable(String),
    /// There is nothing at this path.
    Unknown,
}

/// What a node answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Whether it is ready.
    Ready(bool),
    /// It has taken the word of the backend server in.
    Taken(Reaction),
    /// A backend server leaves, and that does not hold yet; it is to say so again.
    NotKept,
    /// It could not read it, for this reason.
    Unreadable(String),
    /// There is nothing at this path.
    Unknown,
}

/// Translates the words of a platform.
pub trait Host: fmt::Debug + Send + Sync + 'static {
    /// Reads what is said to the node.
    fn read(&self, request: &Request<Bytes>) -> Word;

    /// Writes what the node answers.
    fn write(&self, reply: &Reply) -> Response<Full<Bytes>>;
}
