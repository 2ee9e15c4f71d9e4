//! What one node announces of itself and its backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Counts the starts and re-announcements of one instance. Higher is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Announcement of one instance, as the store keeps it and peers spread it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: String,
    /// Newest announcement wins.
    pub epoch: Epoch,
    /// Service its backend server belongs to.
    pub service: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
    /// Address for the control service between nodes.
    pub control: SocketAddr,
    /// Whether it takes work.
    pub state: State,
    /// Version of the backend server's software; empty if it did not say.
    #[serde(default)]
    pub version: String,
}

impl Instance {
    /// Whether `other` says the same, whatever the epoch.
    #[must_use]
    pub fn equals_ignoring_epoch(&self, other: &Self) -> bool {
        let epoch = self.epoch;
        *self
            == Self {
                epoch,
                ..other.clone()
            }
    }
}

/// What an instance announces of its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// Takes new work.
    Present,
    /// Takes no new work and finishes what it has.
    Leaving,
}
