//! Calls of one block, drawn from the seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;

use super::scenario::{MEAN_WORK, SLOTS, Scenario, WARM_UP, WARM_UP_LOAD};

/// Time after its arrival at which an answer is of no use any more.
pub(super) const DEADLINE: Duration = Duration::from_millis(500);
/// Request kinds: share of calls and worth of an answer.
const KINDS: [(f64, u32); 3] = [(0.6, 1), (0.3, 3), (0.1, 10)];

/// One call to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) entry: usize,
    pub(super) work: Duration,
    pub(super) worth: u32,
}

/// Draws the calls of one block in order of time.
pub(super) fn draw(scenario: Scenario, seconds: u32, entries: usize, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = Time::ZERO + WARM_UP + Duration::from_secs(seconds.into());
    let mut at = Time::ZERO;
    let mut arrivals = Vec::new();
    while at < end {
        let measured = at >= Time::ZERO + WARM_UP;
        let load = if measured {
            scenario.load()
        } else {
            WARM_UP_LOAD
        };
        at = at + gap(&mut random, load, entries);
        arrivals.push(Arrival {
            at,
            entry: random.random_range(0..entries),
            work: work(&mut random),
            worth: worth(&mut random),
        });
    }
    arrivals
}

/// Time to the next call of a Poisson process.
fn gap(random: &mut ChaCha8Rng, load: f64, servers: usize) -> Duration {
    let slots = f64::from(SLOTS) * f64::from(u32::try_from(servers).unwrap_or(u32::MAX));
    let per_s = load * slots / MEAN_WORK.as_secs_f64();
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_s)
}

/// Between half and one and a half of the mean.
fn work(random: &mut ChaCha8Rng) -> Duration {
    MEAN_WORK.mul_f64(random.random_range(0.5..1.5))
}

fn worth(random: &mut ChaCha8Rng) -> u32 {
    let mut left: f64 = random.random_range(0.0..1.0);
    for (share, worth) in KINDS {
        left -= share;
        if left < 0.0 {
            return worth;
        }
    }
    1
}
