//! What goes wrong in one soak, and when. Pure: a seed makes a schedule.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time at the end without any fault, in which all must recover.
pub const CALM: Duration = Duration::from_secs(6);
/// Time at the start without any fault.
const LEAD: Duration = Duration::from_secs(1);
/// Shortest and longest pause between two disturbances, in milliseconds.
const PAUSE_MS: (u64, u64) = (100, 900);
/// Shortest and longest time that one lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 2_500);
/// Largest share of the nodes that are killed at once.
const HERD_SHARE: f64 = 0.6;

/// Which connections of a node pass through a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// From other nodes, with calls.
    Peer,
    /// From other nodes, with control.
    Control,
    /// To the store.
    Store,
    /// To its backend server.
    Backend,
}

/// What happens to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// They are reset, and new ones as well.
    Cut,
    /// Nothing passes, and nobody is told.
    Silence,
    /// Answers do not come back.
    Deaf,
    /// Everything comes later.
    Delay(Duration),
}

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and started again.
    Kill,
    /// So many nodes are killed at the same time and started again.
    Herd(usize),
    /// A node is asked to stop and started again.
    Stop,
    /// A node stands still.
    Freeze,
    /// Connections of a node are harmed.
    Harm(Line, Harm),
    /// The store answers nobody.
    StoreDown,
    /// Calls of the store hang.
    StoreHangs,
    /// The store is slow.
    StoreSlow,
    /// Answers to so many writes are lost.
    AnswersLost(u32),
    /// A backend server falls back into cold start.
    ColdStart,
    /// A backend server answers everything with an error.
    Failing,
    /// A backend server works so many times slower.
    Slow(u32),
    /// The operators have a sheet accepted.
    Sheet,
}

/// One fault at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// When it begins, since the first call.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Node that it meets first.
    pub node: usize,
    /// What it is.
    pub fault: Fault,
}

impl Disturbance {
    /// When it is over.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.at + self.lasts
    }
}

/// The disturbances of `seed` for `nodes`, in the order of their beginnings. The
/// last one is over [`CALM`] before `duration` ends.
#[must_use]
pub fn draw(seed: u64, nodes: usize, duration: Duration) -> Vec<Disturbance> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = duration.saturating_sub(CALM);
    let mut at = LEAD;
    let mut drawn = Vec::new();
    while at < end {
        let lasts = millis(&mut random, LASTS_MS).min(end.saturating_sub(at));
        drawn.push(Disturbance {
            at,
            lasts,
            node: random.random_range(0..nodes.max(1)),
            fault: fault(&mut random, nodes),
        });
        at += millis(&mut random, PAUSE_MS);
    }
    drawn
}

fn fault(random: &mut ChaCha8Rng, nodes: usize) -> Fault {
    match random.random_range(0..16) {
        0 | 1 => Fault::Kill,
        2 => Fault::Herd(herd(random, nodes)),
        3 | 4 => Fault::Stop,
        5 => Fault::Freeze,
        6..=9 => Fault::Harm(line(random), harm(random)),
        10 => store_fault(random),
        11 => Fault::AnswersLost(random.random_range(1..4)),
        12 => Fault::ColdStart,
        13 => Fault::Failing,
        14 => Fault::Slow(random.random_range(2..10)),
        _ => Fault::Sheet,
    }
}

fn store_fault(random: &mut ChaCha8Rng) -> Fault {
    let faults = [Fault::StoreDown, Fault::StoreHangs, Fault::StoreSlow];
    faults.choose(random).copied().unwrap_or(Fault::StoreDown)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)] // A share of few nodes.
fn herd(random: &mut ChaCha8Rng, nodes: usize) -> usize {
    let most = (nodes as f64 * HERD_SHARE) as usize;
    random.random_range(1..=most.max(1))
}

fn line(random: &mut ChaCha8Rng) -> Line {
    let lines = [Line::Peer, Line::Control, Line::Store, Line::Backend];
    lines.choose(random).copied().unwrap_or(Line::Peer)
}

fn harm(random: &mut ChaCha8Rng) -> Harm {
    match random.random_range(0..4) {
        0 => Harm::Cut,
        1 => Harm::Silence,
        2 => Harm::Deaf,
        _ => Harm::Delay(Duration::from_millis(random.random_range(5..300))),
    }
}

fn millis(random: &mut ChaCha8Rng, bounds: (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(bounds.0..=bounds.1))
}
