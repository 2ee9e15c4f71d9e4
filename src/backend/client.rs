//! Short traits between a node and its backend server.

use displaydoc::Display;
use futures::future::BoxFuture;
use http::{Request, Response};

use crate::call::{Body, UnsentProof};

/// The backend server takes no connection ({cause}); see whether it runs at --backend-server
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub struct Unreachable {
    /// What the attempt saw.
    pub cause: String,
}

impl std::error::Error for Unreachable {}

/// Why a request got no answer.
#[derive(Debug)]
pub enum Failure {
    /// No byte of it was written.
    Unsent(UnsentProof),
    /// The connection broke after that.
    Broken,
}

/// Connects to the backend server.
pub trait Client: Send + Sync + 'static {
    /// A connection that is ready for one request. A `fresh` one has not been
    /// idle for so long that the backend server may be closing it.
    fn connect(&self, fresh: bool) -> BoxFuture<'_, Result<Box<dyn Connection>, Unreachable>>;
}

/// A connection that is ready for one request.
pub trait Connection: Send {
    /// Sends the request and waits for the head of the answer. Dropping the
    /// future or the answer's body cancels the request.
    fn send(
        self: Box<Self>,
        request: Request<Body>,
    ) -> BoxFuture<'static, Result<Response<Body>, Failure>>;
}
