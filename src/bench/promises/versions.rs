//! Plan versions as nodes report them, against those accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Ledger, Promise};
use crate::clock::Time;
use crate::plan::Version;

/// Time within which an accepted plan must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Seen {
    since: Time,
    version: Version,
}

/// Follows the plan versions of nodes.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    accepted: Vec<(Time, Version)>,
    nodes: BTreeMap<SocketAddr, Seen>,
}

impl Versions {
    /// A sheet was accepted.
    pub fn accept(&mut self, now: Time, version: Version) {
        self.accepted.push((now, version));
    }

    /// A node runs since now: it was started, or resumed after a pause.
    pub fn resume(&mut self, now: Time, node: SocketAddr) {
        let seen = Seen {
            since: now,
            version: Version::default(),
        };
        self.nodes.entry(node).or_insert(seen).since = now;
    }

    /// A node reported its version; the report was asked for at `asked`.
    pub fn observe(
        &mut self,
        asked: Time,
        node: SocketAddr,
        version: Version,
        ledger: &mut Ledger,
    ) {
        let due = self.due(asked, node);
        let Some(seen) = self.nodes.get_mut(&node) else {
            return;
        };
        let reverted = version < seen.version;
        seen.version = seen.version.max(version);
        ledger.add(Promise::InForce, 1, u64::from(reverted || version < due));
    }

    /// Version that `node` must have in force at `now`.
    fn due(&self, now: Time, node: SocketAddr) -> Version {
        let since = self.nodes.get(&node).map_or(now, |seen| seen.since);
        let due = |accepted: Time| accepted.max(since) + IN_FORCE_TIMEOUT <= now;
        let versions = self.accepted.iter().filter(|(accepted, _)| due(*accepted));
        versions
            .map(|(_, version)| *version)
            .max()
            .unwrap_or_default()
    }
}
