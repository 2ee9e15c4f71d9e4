//! Reads a short answer whole before its head goes to the caller.
//!
//! A caller that has seen the head of an answer must get the rest of it. As
//! long as nothing was sent, an answer that breaks off can be replaced by that
//! of another backend server.

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body::{Body as HttpBody, Frame};
use http_body_util::{BodyExt, Full, StreamBody};

use crate::call::{Body, BodyError};

/// What came of holding an answer.
pub(super) enum Held {
    /// It may go to the caller.
    Ready(Response<Body>),
    /// It broke off, and nothing of it was sent.
    Broken(BodyError),
}

/// Reads `response` whole if it has at most `limit` bytes.
pub(super) async fn hold(response: Response<Body>, limit: usize) -> Held {
    let expected = response.body().size_hint();
    let long = |bytes: u64| usize::try_from(bytes).is_ok_and(|bytes| bytes > limit);
    if limit == 0 || expected.lower() > 0 && long(expected.lower()) {
        return Held::Ready(response);
    }
    let (head, mut body) = response.into_parts();
    let mut kept = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(cut) => return Held::Broken(cut),
        };
        match frame.into_data() {
            Ok(part) => kept.extend_from_slice(&part),
            Err(trailers) => return Held::Ready(joined(head, kept, Some(trailers), body)),
        }
        if kept.len() > limit {
            return Held::Ready(joined(head, kept, None, body));
        }
    }
    let whole = Full::new(kept.freeze()).map_err(|never| match never {});
    Held::Ready(Response::from_parts(head, whole.boxed_unsync()))
}

/// What was read, then what is still to come.
fn joined(
    head: http::response::Parts,
    kept: BytesMut,
    frame: Option<Frame<Bytes>>,
    rest: Body,
) -> Response<Body> {
    let first = [Frame::data(kept.freeze())].into_iter().chain(frame);
    let first = stream::iter(first.map(Ok::<_, BodyError>));
    let rest = stream::unfold(rest, |mut rest| async move {
        let frame = rest.frame().await?;
        Some((frame, rest))
    });
    let body = StreamBody::new(futures::StreamExt::chain(first, rest));
    Response::from_parts(head, body.boxed_unsync())
}
