//! Seeded open-loop arrivals.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Kind, Settings, Target};

/// Share of the calls that start at any node, also one outside the home
/// regions.
const ANYWHERE: f64 = 0.05;
/// Nodes a caller knows, to be tried in turn when one is not listening.
const KNOWN_TARGETS: usize = 3;

/// One call that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub due: Duration,
    /// Index of its kind.
    pub kind: usize,
    /// Nodes to try.
    pub targets: Vec<SocketAddr>,
}

/// All calls of a run, in the order in which they are due.
#[derive(Debug)]
pub struct Schedule<'a> {
    settings: &'a Settings,
    rng: ChaCha8Rng,
    due: Duration,
}

impl<'a> Schedule<'a> {
    /// The calls of `settings`.
    #[must_use]
    pub fn new(settings: &'a Settings) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            due: Duration::ZERO,
        }
    }

    fn targets(&mut self, kind: &Kind) -> Vec<SocketAddr> {
        let anywhere = self.rng.random_bool(ANYWHERE);
        let all = &self.settings.targets;
        let mut addresses: Vec<_> = all
            .iter()
            .filter(|target| anywhere || is_home(kind, target))
            .map(|target| target.address)
            .collect();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(KNOWN_TARGETS);
        addresses
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.due += Duration::from_secs_f64(-uniform.ln() / self.settings.rate);
        if self.due >= self.settings.duration || self.settings.kinds.is_empty() {
            return None;
        }
        let kind = self.rng.random_range(0..self.settings.kinds.len());
        let targets = self.targets(&self.settings.kinds[kind]);
        Some(Arrival {
            due: self.due,
            kind,
            targets,
        })
    }
}

fn is_home(kind: &Kind, target: &Target) -> bool {
    match &target.region {
        Some(region) => kind.home.is_empty() || kind.home.contains(region),
        None => true,
    }
}
