//! News that nodes exchange: the operators' records and the changes of the roster.

use std::net::SocketAddr;

use futures::future::BoxFuture;

use super::{Departures, PackedRecords, RosterChanges};
use crate::plan::Version;

/// What one node tells another of the operators' records and of the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanRecords {
    /// Plan version of the records: revision of their newest change.
    pub version: Version,
    /// The records; `None` if the receiver already has this version or a newer one.
    pub records: Option<PackedRecords>,
    /// Store revision up to which the sender knows the roster; zero if it asks for none.
    pub roster_revision: u64,
    /// Changes of the roster that the receiver does not have.
    pub roster: Option<RosterChanges>,
}

/// What a node pushes to its subscribers: how new its knowledge is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Version of its plan records.
    pub plan: Version,
    /// Store revision up to which it knows the roster.
    pub roster_revision: u64,
    /// Its distance to the store, see [`Relays`](super::Relays).
    pub distance: u32,
}

/// Receives the progress of a relay.
pub type OnProgress = Box<dyn FnMut(Progress) + Send>;

/// Passes news between nodes.
pub trait GossipTransport: Send + Sync + 'static {
    /// Gives `records` to the node at `address` and returns what that node
    /// knows; nothing when it does not say in time.
    fn exchange(
        &self,
        address: SocketAddr,
        records: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>>;

    /// Tells the node at `address` which departures this node acknowledged, and returns all that
    /// it remembers of them; nothing when it does not say in time.
    fn exchange_departures(
        &self,
        address: SocketAddr,
        own: Departures,
    ) -> BoxFuture<'_, Option<Departures>>;

    /// Passes the progress of the node at `address` to `on_progress` until the subscription
    /// breaks.
    fn subscribe(&self, address: SocketAddr, on_progress: OnProgress) -> BoxFuture<'_, ()>;
}
