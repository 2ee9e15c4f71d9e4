//! Which version a call may go to.

use std::time::Duration;

use super::{Directive, Phase};
use crate::clock::Time;

/// Age from which a directive that has not ended the roll-out is no longer followed.
const DIRECTIVE_LIFETIME: Duration = Duration::from_millis(2_500);

/// Versions to which one call may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Every version.
    Any,
    /// The target version.
    Target,
    /// Every other version. A target version that is not condemned may stand in when no backend
    /// server of another version is left.
    Old {
        /// Whether the target version was rolled back.
        is_final: bool,
    },
}

impl Lane {
    /// Whether a backend server of `version` is in the lane. One of unknown version may be of the
    /// target version.
    #[must_use]
    pub fn admits(self, version: &str, target: &str) -> bool {
        let may_be_target = version.is_empty() || version == target;
        match self {
            Self::Any => true,
            Self::Target => version == target,
            Self::Old { .. } => !may_be_target,
        }
    }
}

/// Division of a service's calls between two versions.
#[derive(Clone, Debug)]
pub struct Split {
    target: String,
    directive: Option<(Directive, Time)>,
}

impl Split {
    /// The split of a service whose order names `target`, before any directive.
    #[must_use]
    pub const fn new(target: String) -> Self {
        Self {
            target,
            directive: None,
        }
    }

    /// Version that the service moves to.
    #[must_use]
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Takes in a directive; one for another order is ignored, and none replaces a rollback of
    /// the same order other than [`Phase::Done`], which the store records.
    pub fn on_directive(&mut self, now: Time, directive: &Directive) {
        if directive.target_version != self.target {
            return;
        }
        let is_rolled_back = self.phase() == Some(Phase::RolledBack);
        if is_rolled_back && !directive.phase.is_final() {
            return;
        }
        self.directive = Some((directive.clone(), now));
    }

    /// Phase that was heard of last.
    #[must_use]
    pub fn phase(&self) -> Option<Phase> {
        self.directive
            .as_ref()
            .map(|(directive, _)| directive.phase)
    }

    /// Lane of one call. `pick` is a uniform random number from 0 to 1. A retry does not go to a
    /// canary, which may have failed the call.
    #[must_use]
    pub fn lane(&self, now: Time, is_idempotent: bool, is_retry: bool, pick: f64) -> Lane {
        let Some((directive, heard_at)) = &self.directive else {
            return Lane::Old { is_final: false };
        };
        match directive.phase {
            Phase::Done => return Lane::Target,
            Phase::RolledBack => return Lane::Old { is_final: true },
            Phase::Canary | Phase::Cutover => {}
        }
        let is_fresh = now.since(*heard_at) < DIRECTIVE_LIFETIME;
        let may_be_bad = is_retry && directive.phase == Phase::Canary;
        let may_go = !may_be_bad && (is_idempotent || !directive.idempotent_only);
        if is_fresh && may_go && pick < directive.share {
            Lane::Target
        } else {
            Lane::Old { is_final: false }
        }
    }
}
