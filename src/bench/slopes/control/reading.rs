//! What nodes and store have counted at one moment.

use std::io;
use std::time::Instant;

use futures::future::try_join_all;
use serde::Serialize;

use super::status;
use crate::bench::fleet::Fleet;
use crate::bench::http::Client;
use crate::bench::process::Process as ChildProcess;
use crate::bench::slopes::Usage as Process;
use crate::membership::Traffic;
use crate::standin::store::Counters;

/// Thread of a node that carries control.
const CONTROL_THREAD: &str = "control";

/// Counters of all nodes and of the store.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When it was taken.
    pub at: Instant,
    /// Counters of the store.
    pub store: Counters,
    nodes: Vec<Node>,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    relay: bool,
    traffic: Traffic,
    cpu_seconds: f64,
    resident_bytes: u64,
}

/// Cost of control to one role, a second.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Usage {
    /// Nodes in that role.
    pub nodes: usize,
    /// Bytes between nodes, sent and received, mean over the role.
    pub bytes_per_s: f64,
    /// The same, of the costliest node.
    pub bytes_per_s_max: f64,
    /// Calls between nodes, made and answered, mean over the role.
    pub messages_per_s: f64,
    /// Processor time of the control thread, in percent of a core, mean.
    pub cpu_percent: f64,
    /// The same, of the costliest node.
    pub cpu_percent_max: f64,
    /// Resident memory of the whole process, of the largest node.
    pub resident_mb_max: f64,
}

impl Reading {
    /// Reads everything.
    ///
    /// # Errors
    ///
    /// Fails when a node or the store does not answer.
    pub async fn take(fleet: &Fleet) -> io::Result<Self> {
        let statuses = try_join_all(fleet.upstreams().iter().map(status)).await?;
        let mut nodes = Vec::new();
        for (upstream, status) in fleet.upstreams().iter().zip(statuses) {
            let id = upstream.node().and_then(ChildProcess::id);
            let id = id.ok_or_else(|| io::Error::other("a node has ended"))?;
            nodes.push(Node {
                relay: status.relay,
                traffic: status.traffic,
                cpu_seconds: Process::of_thread(id, CONTROL_THREAD)?.as_secs_f64(),
                resident_bytes: Process::of_process(id)?.resident_bytes,
            });
        }
        Ok(Self {
            at: Instant::now(),
            store: counters(fleet).await?,
            nodes,
        })
    }

    /// Cost between two readings, of relays or of all other nodes.
    #[must_use]
    pub fn usage(&self, before: &Self, relay: bool) -> Usage {
        let seconds = (self.at - before.at).as_secs_f64();
        let mut usage = Usage::default();
        for (now, then) in self.nodes.iter().zip(&before.nodes) {
            if now.relay == relay && then.relay == relay {
                usage.add(now, then, seconds);
            }
        }
        usage.finish()
    }
}

impl Usage {
    fn add(&mut self, now: &Node, then: &Node, seconds: f64) {
        let bytes = |node: &Node| as_float(node.traffic.bytes_in + node.traffic.bytes_out);
        let bytes = (bytes(now) - bytes(then)) / seconds;
        let messages = as_float(now.traffic.messages - then.traffic.messages) / seconds;
        let cpu = (now.cpu_seconds - then.cpu_seconds) / seconds * 100.0;
        self.nodes += 1;
        self.bytes_per_s += bytes;
        self.bytes_per_s_max = self.bytes_per_s_max.max(bytes);
        self.messages_per_s += messages;
        self.cpu_percent += cpu;
        self.cpu_percent_max = self.cpu_percent_max.max(cpu);
        let resident = as_float(now.resident_bytes) / 1e6;
        self.resident_mb_max = self.resident_mb_max.max(resident);
    }

    fn finish(mut self) -> Self {
        let nodes = f64::from(u32::try_from(self.nodes.max(1)).unwrap_or(u32::MAX));
        self.bytes_per_s /= nodes;
        self.messages_per_s /= nodes;
        self.cpu_percent /= nodes;
        self
    }
}

/// Reads the counters of the store.
///
/// # Errors
///
/// Fails when it does not answer.
pub async fn counters(fleet: &Fleet) -> io::Result<Counters> {
    Client::default().get(fleet.store(), "/-/counters").await
}

/// `count` for arithmetic on rates.
#[expect(clippy::cast_precision_loss, reason = "counters stay far below 2^52")]
pub const fn as_float(count: u64) -> f64 {
    count as f64
}
