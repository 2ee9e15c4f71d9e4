//! W3C trace context.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, HeaderName, HeaderValue};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const SAMPLED_FLAG: u8 = 1;
const TRACEPARENT_LENGTH: usize = 55;

/// Source of ids that are unique with overwhelming probability.
#[derive(Debug)]
pub struct IdGenerator {
    seed: u64,
    counter: AtomicU64,
    sampled_per_10k: u32,
}

impl IdGenerator {
    /// Ids drawn from `seed`, which must differ between nodes and their starts.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            counter: AtomicU64::new(1),
            sampled_per_10k: 0,
        }
    }

    /// Keeps `kept` of 10,000 traces that start here.
    #[must_use]
    pub const fn sample_per_10k(mut self, per_10k: u32) -> Self {
        self.sampled_per_10k = per_10k;
        self
    }

    fn is_sampled(&self, id: u128) -> bool {
        id % 10_000 < u128::from(self.sampled_per_10k)
    }

    /// A fresh id, never zero.
    pub fn next_id(&self) -> u64 {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        xxh3_64_with_seed(&count.to_le_bytes(), self.seed).max(1)
    }
}

/// Place of one span within a trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Shared by all spans of the trace.
    pub id: u128,
    /// Span that caused this one; zero at the root.
    pub parent: u64,
    /// This span.
    pub span: u64,
    /// Whether an earlier hop keeps the trace.
    pub sampled: bool,
}

impl Trace {
    /// Continues the trace named in `headers`, or starts one.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap, ids: &IdGenerator) -> Self {
        let span = ids.next_id();
        let remote = headers
            .get(TRACEPARENT)
            .and_then(|value| parse(value.as_bytes()));
        match remote {
            Some(parent) => Self { span, ..parent },
            None => Self::root(span, ids),
        }
    }

    fn root(span: u64, ids: &IdGenerator) -> Self {
        let id = u128::from(ids.next_id()) << 64 | u128::from(ids.next_id());
        Self {
            id,
            parent: 0,
            span,
            sampled: ids.is_sampled(id),
        }
    }

    /// A span caused by this one.
    #[must_use]
    pub fn child(self, ids: &IdGenerator) -> Self {
        Self {
            parent: self.span,
            span: ids.next_id(),
            ..self
        }
    }

    /// Names this span as the cause of what the receiver does.
    pub fn write_headers(self, headers: &mut HeaderMap) {
        let text = format!(
            "00-{:032x}-{:016x}-{:02x}",
            self.id,
            self.span,
            u8::from(self.sampled)
        );
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.insert(TRACEPARENT, value);
        }
    }
}

/// Accepts version 00 only, in lower case, as the recommendation demands.
fn parse(value: &[u8]) -> Option<Trace> {
    let text = std::str::from_utf8(value).ok()?;
    if text.len() != TRACEPARENT_LENGTH || !text.starts_with("00-") {
        return None;
    }
    let id = hex(text.get(3..35)?)?;
    let parent = u64::try_from(hex(text.get(36..52)?)?).ok()?;
    let flags = u8::try_from(hex(text.get(53..55)?)?).ok()?;
    let has_separators = [35, 52].iter().all(|&index| value[index] == b'-');
    (has_separators && id != 0 && parent != 0).then_some(Trace {
        id,
        parent,
        span: 0,
        sampled: flags & SAMPLED_FLAG != 0,
    })
}

fn hex(text: &str) -> Option<u128> {
    let is_lower_hex = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    is_lower_hex.then(|| u128::from_str_radix(text, 16).ok())?
}
