//! Backend server processes that have left, and who remembers them. No I/O.
//!
//! An acknowledged departure binds the node also after its process is gone. The announcement in the
//! store tells the last one. Because the store may not answer then, a node also tells a few other
//! nodes, its witnesses, and asks them when it starts again. Witnesses are the nodes that rank
//! highest for its name, alternately in other regions and in other availability zones of its own.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::DepartedProcess;
use crate::membership::{Instance, InstanceId};

/// Processes of one node that are remembered.
const PROCESSES_MAX: usize = 16;
/// Nodes whose departures are remembered.
const INSTANCES_MAX: usize = 4_096;

/// Processes of one address that have left, in the order in which they did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartedProcesses(VecDeque<DepartedProcess>);

impl DepartedProcesses {
    /// The process that left last.
    #[must_use]
    pub fn last(&self) -> Option<&DepartedProcess> {
        self.0.back()
    }

    /// All that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = &DepartedProcess> {
        self.0.iter()
    }

    /// Whether this start of `process`, or a later one, has left.
    #[must_use]
    pub fn contains(&self, process: &str, born_ms: Option<u64>) -> bool {
        self.iter()
            .any(|departed| departed.process == process && departed.is_of(born_ms))
    }

    /// Remembers a departure. A late word of an earlier start does not undo that of a later one.
    pub fn remember(&mut self, mut departed: DepartedProcess) {
        let same = |known: &DepartedProcess| known.process == departed.process;
        if let Some(at) = self.0.iter().position(same)
            && let Some(known) = self.0.remove(at)
        {
            let starts = known.born_ms.zip(departed.born_ms);
            departed.born_ms = starts.map(|(known, new)| known.max(new));
        }
        if self.0.len() == PROCESSES_MAX {
            self.0.pop_front();
        }
        self.0.push_back(departed);
    }
}

impl DepartedProcess {
    /// Whether a start of this process is the one that left, or an earlier one. A name may be used
    /// again by a later start.
    #[must_use]
    pub fn is_of(&self, born_ms: Option<u64>) -> bool {
        match (born_ms, self.born_ms) {
            (Some(born), Some(departed)) => born <= departed,
            _ => true,
        }
    }
}

/// Departures that one node acknowledged, as it tells them to a witness and as the witness replies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// The node that acknowledged them.
    pub instance: String,
    /// The processes that left, in the order in which they did.
    pub processes: Vec<DepartedProcess>,
    /// Time for which the sender has run. A witness remembers nothing from before its start.
    pub uptime: Duration,
}

/// Departures that other nodes acknowledged, as this node remembers them for these.
#[derive(Debug, Default)]
pub struct DepartureLog {
    by_instance: BTreeMap<String, DepartedProcesses>,
}

impl DepartureLog {
    /// Remembers what a node acknowledged; returns all that it is known to have acknowledged.
    pub fn merge(&mut self, theirs: &Departures) -> Vec<DepartedProcess> {
        let is_known = self.by_instance.contains_key(&theirs.instance);
        if !is_known && (theirs.processes.is_empty() || self.by_instance.len() >= INSTANCES_MAX) {
            return Vec::new();
        }
        let known = self.by_instance.entry(theirs.instance.clone()).or_default();
        for departed in &theirs.processes {
            if !known.contains(&departed.process, departed.born_ms) {
                known.remember(departed.clone());
            }
        }
        known.iter().cloned().collect()
    }
}

/// Ranks the witnesses of one node.
#[derive(Clone, Copy, Debug)]
pub struct Witnesses<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Region it runs in.
    pub region: &'a str,
    /// Availability zone it runs in.
    pub zone: &'a str,
}

impl Witnesses<'_> {
    /// Addresses of the first `count` witnesses among `nodes`, best first.
    #[must_use]
    pub fn choose<'a>(
        &self,
        nodes: impl Iterator<Item = &'a Instance>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let (mut remote, mut near, mut own_zone) = (Vec::new(), Vec::new(), Vec::new());
        for node in nodes.filter(|node| node.name != self.name) {
            let place = if node.region != self.region {
                &mut remote
            } else if node.zone != self.zone {
                &mut near
            } else {
                &mut own_zone
            };
            place.push((self.rank(node), node.peer));
        }
        for place in [&mut remote, &mut near, &mut own_zone] {
            place.sort_unstable_by(|a, b| b.cmp(a));
        }
        let longest = remote.len().max(near.len());
        let alternating = (0..longest).flat_map(|at| [near.get(at), remote.get(at)]);
        let ranked = alternating.flatten().chain(&own_zone);
        ranked.map(|&(_, peer)| peer).take(count).collect()
    }

    fn rank(&self, node: &Instance) -> u64 {
        InstanceId::of(&node.name).score(InstanceId::of(self.name))
    }
}
