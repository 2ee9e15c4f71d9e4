//! Buffers a short response completely before its head is sent to the caller.
//!
//! Once a caller has received the head of a response, it must get the rest of that response. Until
//! then, a response that breaks off can be replaced by that of another backend server. Input is a
//! response and a size limit; the result is a response, buffered if it fits the limit, or the error
//! that broke it off. No state is kept between calls.

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body::{Body as HttpBody, Frame};
use http_body_util::{BodyExt, Full, StreamBody};

use crate::call::{Body, BodyError};

/// Result of buffering a response.
pub(super) enum Buffered {
    /// The response may be sent to the caller.
    Ready(Response<Body>),
    /// The body broke off, and nothing was sent to the caller.
    Aborted(BodyError),
}

/// Buffers `response` if its body has at most `limit` bytes.
///
/// A longer body is passed on as a stream, with what was read of it at the front. So is a body
/// with trailers.
pub(super) async fn buffer_response(response: Response<Body>, limit: usize) -> Buffered {
    let size = response.body().size_hint();
    let exceeds_limit = |bytes: u64| usize::try_from(bytes).is_ok_and(|bytes| bytes > limit);
    if limit == 0 || size.lower() > 0 && exceeds_limit(size.lower()) {
        return Buffered::Ready(response);
    }
    let (head, mut body) = response.into_parts();
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(cut) => return Buffered::Aborted(cut),
        };
        match frame.into_data() {
            Ok(part) => buffered.extend_from_slice(&part),
            Err(trailers) => return Buffered::Ready(rejoin(head, buffered, Some(trailers), body)),
        }
        if buffered.len() > limit {
            return Buffered::Ready(rejoin(head, buffered, None, body));
        }
    }
    let whole = Full::new(buffered.freeze()).map_err(|never| match never {});
    Buffered::Ready(Response::from_parts(head, whole.boxed_unsync()))
}

/// Response whose body consists of the buffered bytes, then `frame`, then the unread rest.
fn rejoin(
    head: http::response::Parts,
    buffered: BytesMut,
    frame: Option<Frame<Bytes>>,
    rest: Body,
) -> Response<Body> {
    let first = [Frame::data(buffered.freeze())].into_iter().chain(frame);
    let first = stream::iter(first.map(Ok::<_, BodyError>));
    let rest = stream::unfold(rest, |mut rest| async move {
        let frame = rest.frame().await?;
        Some((frame, rest))
    });
    let body = StreamBody::new(futures::StreamExt::chain(first, rest));
    Response::from_parts(head, body.boxed_unsync())
}
