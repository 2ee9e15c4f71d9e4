//! How long calls of each kind usually run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Kind;

/// Weight of a new sample.
const SMOOTHING: f64 = 0.1;
/// Kinds remembered.
const KINDS_MAX: usize = 256;
/// Share of the usual time that a call must be given. Calls of one kind differ.
const SHARE: f64 = 0.8;

/// Usual times of calls by kind, in microseconds.
#[derive(Debug, Default)]
pub(super) struct Work {
    usual: BTreeMap<Kind, f64>,
}

impl Work {
    /// A call of `kind` ran for `time` on a machine of usual speed.
    pub(super) fn sample(&mut self, kind: Kind, time: Duration) {
        if kind == Kind::UNTOLD {
            return;
        }
        let micros = time.as_secs_f64() * 1e6;
        if let Some(usual) = self.usual.get_mut(&kind) {
            *usual += (micros - *usual) * SMOOTHING;
        } else if self.usual.len() < KINDS_MAX {
            self.usual.insert(kind, micros);
        }
    }

    /// Time that a call of `kind` usually runs; zero when unknown.
    pub(super) fn usual(&self, kind: Kind) -> Duration {
        let micros = self.usual.get(&kind).copied().unwrap_or_default();
        Duration::from_secs_f64(micros / 1e6)
    }

    /// Least time that a call of `kind` is expected to run; zero when unknown.
    pub(super) fn least(&self, kind: Kind) -> Duration {
        self.usual(kind).mul_f64(SHARE)
    }
}
