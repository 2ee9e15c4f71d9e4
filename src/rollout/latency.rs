//! Distribution of response times in logarithmic buckets.

use std::time::Duration;

/// Number of buckets.
const BUCKETS: usize = 36;
/// Upper end of the first bucket, in seconds.
const FIRST_S: f64 = 0.001;
/// Ratio between the ends of neighbouring buckets.
const RATIO: f64 = 1.3;

/// Counts of response times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Histogram {
    counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

impl Histogram {
    /// Adds one response time.
    pub fn record(&mut self, time: Duration) {
        self.counts[bucket(time)] += 1;
    }

    /// Adds `count` response times to a bucket; the last bucket takes those beyond it.
    pub fn add(&mut self, bucket: u8, count: u32) {
        let index = usize::from(bucket).min(BUCKETS - 1);
        self.counts[index] = self.counts[index].saturating_add(count);
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in self.counts.iter_mut().zip(other.counts) {
            *own = own.saturating_add(other);
        }
    }

    /// Buckets that are not empty, for a message.
    #[must_use]
    pub fn filled(&self) -> Vec<(u8, u32)> {
        let counts = (0..).zip(self.counts);
        counts.filter(|&(_, count)| count > 0).collect()
    }

    /// Number of response times.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|&count| u64::from(count)).sum()
    }

    /// Number of response times in `bucket` and beyond.
    #[must_use]
    pub fn count_from(&self, bucket: usize) -> u64 {
        let counts = self.counts.iter().skip(bucket);
        counts.map(|&count| u64::from(count)).sum()
    }

    /// First bucket from which at most `share` of the response times lie.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
    pub fn bucket_above(&self, share: f64) -> usize {
        let allowed = self.total() as f64 * share;
        let is_rare = |&bucket: &usize| self.count_from(bucket) as f64 <= allowed;
        (0..BUCKETS).find(is_rare).unwrap_or(BUCKETS)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)] // Clamped to the buckets.
fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_S;
    if ratio <= 1.0 {
        return 0;
    }
    (ratio.ln() / RATIO.ln()).ceil().min((BUCKETS - 1) as f64) as usize
}
