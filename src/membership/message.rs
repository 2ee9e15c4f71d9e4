//! What nodes tell one another.

use serde::{Deserialize, Serialize};

use super::delta::Delta;
use super::roster::{Entry, MemberStatus};
use super::text::TextId;
use super::{Epoch, InstanceId};

/// Heartbeat, and the answer to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: InstanceId,
    /// Its announcement in force.
    pub epoch: Epoch,
    /// Its newest plan text.
    pub plan: TextId,
    /// Digest of its roster.
    pub roster: u64,
    /// What it holds of the receiver; nothing when it has not heard of it.
    pub held: Option<Held>,
}

/// Standing of an instance under one announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    /// The announcement.
    pub epoch: Epoch,
    /// The standing.
    pub standing: MemberStatus,
}

/// Changes of plan and view.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct News {
    /// Who sends it.
    pub from: InstanceId,
    /// Its newest plan text.
    pub plan: TextId,
    /// How to make that text of the one before.
    pub delta: Option<Delta>,
    /// Entries that changed.
    pub entries: Vec<Entry>,
    /// Instances that do not answer the sender.
    pub accusations: Vec<Accusation>,
}

/// One node's word that another does not answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accusation {
    /// Who does not answer.
    pub accused: InstanceId,
    /// Its announcement.
    pub epoch: Epoch,
}
