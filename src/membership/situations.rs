//! Where the data path reads the plan in force and the instances known.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Situation;
use super::direct::Bulletin;
use crate::plan::Version;

/// Source of the newest [`Situation`]; cheap to ask for every call.
pub trait Situations: Send + Sync + 'static {
    /// Plan and instances as they are known now.
    fn situation(&self) -> Arc<Situation>;

    /// Takes note that the link to `instance` is dead.
    fn suspect(&self, instance: &str);

    /// Takes note of the plan of the node that serves other nodes at `node`.
    fn heard(&self, _node: SocketAddr, _version: Version) {}

    /// Takes in what another node knows of the operators' records, and tells
    /// what this one does.
    fn bulletin(&self, _theirs: Bulletin) -> Bulletin {
        Bulletin::default()
    }
}

/// A situation that is replaced by hand.
#[derive(Debug, Default)]
pub struct Snapshot(ArcSwap<Situation>);

impl Snapshot {
    /// Starts with `situation`.
    #[must_use]
    pub fn new(situation: Situation) -> Self {
        Self(ArcSwap::from_pointee(situation))
    }

    /// Replaces the situation.
    pub fn replace(&self, situation: Situation) {
        self.0.store(Arc::new(situation));
    }
}

impl Situations for Snapshot {
    fn situation(&self) -> Arc<Situation> {
        self.0.load_full()
    }

    fn suspect(&self, _instance: &str) {}
}
