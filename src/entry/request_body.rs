//! Body of a caller's request.
//!
//! A connection that closes while its caller still sends is reset, and a caller that sends its whole
//! request before it reads loses the response. What is left of a body that nobody reads any more,
//! after an early response or a refusal, is therefore read and discarded up to a bound.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::call::BodyError;

/// Longest time for which the rest of a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest rest of a body that is read, in bytes.
const DISCARD_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Request body whose rest is discarded when it is dropped.
pub(super) struct RequestBody {
    /// `None` at its end.
    incoming: Option<Incoming>,
    /// Whether the caller sends the body without waiting for a `100 Continue`.
    is_sent_unasked: bool,
}

impl RequestBody {
    /// Body of a request without one.
    pub(super) const fn empty() -> Self {
        Self {
            incoming: None,
            is_sent_unasked: false,
        }
    }

    pub(super) fn new(incoming: Incoming, headers: &HeaderMap) -> Self {
        Self {
            incoming: (!incoming.is_end_stream()).then_some(incoming),
            is_sent_unasked: !headers.contains_key(header::EXPECT),
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let frame = std::task::ready!(Pin::new(incoming).poll_frame(context));
        if !matches!(frame, Some(Ok(_))) {
            self.incoming = None;
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|_| BodyError::Caller)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let rest = self.incoming.take().filter(|rest| !rest.is_end_stream());
        if let Some(rest) = rest
            && self.is_sent_unasked
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(timeout(DISCARD_TIMEOUT, discard(rest)));
        }
    }
}

/// Reads up to the end, the bound or an error.
async fn discard(rest: Incoming) {
    let mut rest = Limited::new(rest, DISCARD_LIMIT_BYTES);
    while let Some(Ok(_)) = rest.frame().await {}
}
