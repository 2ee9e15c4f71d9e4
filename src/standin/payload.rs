//! Bodies that tell whose they are.
//!
//! Every byte of a body follows from the id of its request, so a mixed-up, cut
//! or altered body is seen by whoever knows the id.

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::HeaderName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Names the request, from the caller to the backend server and back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// On a request: the number of bytes wanted in the answer.
pub const ANSWER_BYTES: HeaderName = HeaderName::from_static("x-answer-bytes");
/// On a request: comma-separated regions it must stay in.
pub const HOME: HeaderName = HeaderName::from_static("x-home-regions");
/// On an answer: digest of the request body that was received.
pub const BODY_DIGEST: HeaderName = HeaderName::from_static("x-body-digest");
/// On an answer: region of the backend server that ran the request.
pub const RAN_IN: HeaderName = HeaderName::from_static("x-ran-in");

const WORD_BYTES: usize = 8;
/// Spreads consecutive numbers over all bits.
const ODD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const CHUNK_BYTES: usize = 16 * 1024;

/// Seed that tells bodies of requests from bodies of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Sent by the caller.
    Request,
    /// Sent by the backend server.
    Answer,
}

/// Bytes `from..to` of the body of `id`.
#[must_use]
pub fn slice(id: &str, side: Side, from: usize, to: usize) -> Bytes {
    let seed = xxh3_64_with_seed(id.as_bytes(), side as u64);
    let first = from / WORD_BYTES;
    let last = to.div_ceil(WORD_BYTES);
    let mut words = Vec::with_capacity((last - first) * WORD_BYTES);
    for index in first..last {
        let word = seed.wrapping_add(index as u64).wrapping_mul(ODD_FACTOR);
        words.extend_from_slice(&word.to_le_bytes());
    }
    let skipped = from - first * WORD_BYTES;
    Bytes::from(words).slice(skipped..skipped + (to - from))
}

/// The body of `id` in chunks.
pub fn chunks(id: String, side: Side, bytes: usize) -> impl Stream<Item = Bytes> {
    stream::iter((0..bytes).step_by(CHUNK_BYTES))
        .map(move |from| slice(&id, side, from, bytes.min(from + CHUNK_BYTES)))
}
