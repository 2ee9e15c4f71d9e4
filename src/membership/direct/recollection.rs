//! Keeps acknowledged departures beyond this process, and finds them again after a restart.
//!
//! A departure is kept once the store holds the announcement that tells it, or a witness has
//! confirmed it. A witness counts only if it has run for some time: one that has just started may
//! have lost what it was told together with this node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{DepartedProcess, Departures, GossipTransport, Membership, Transport};

/// Witnesses that are told of a departure.
const WITNESSES_TOLD: usize = 3;
/// Witnesses that are asked after a restart; the ranks may have changed since.
const WITNESSES_ASKED: usize = 5;
/// Longest wait for one witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait until a departure is kept by anyone.
const KEEP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a witness has to have run.
const WITNESS_UPTIME_MIN: Duration = Duration::from_secs(10);

/// What a node acknowledged before it was started again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recollection {
    /// The processes that left, the last one at the end.
    pub departed: Vec<DepartedProcess>,
    /// The one that the announcement in the store tells.
    pub stored: Option<DepartedProcess>,
    /// Whether nothing can be missing.
    pub is_complete: bool,
}

impl Membership {
    /// Keeps departures beyond this process; returns whether the store or a witness has them now.
    pub async fn keep_departures(&self, processes: Vec<DepartedProcess>) -> bool {
        let Some(last) = processes.last().cloned() else {
            return true;
        };
        let mut confirmed = self.tell_witnesses(&last, processes);
        let kept = async {
            tokio::select! {
                () = self.shared.wait_until_stored(&last) => {}
                Some(()) = confirmed.recv() => {}
            }
        };
        timeout(KEEP_TIMEOUT, kept).await.is_ok()
    }

    /// Tells each witness, whoever confirms first.
    fn tell_witnesses(
        &self,
        last: &DepartedProcess,
        processes: Vec<DepartedProcess>,
    ) -> mpsc::Receiver<()> {
        let (confirm, confirmed) = mpsc::channel(WITNESSES_TOLD);
        let Some(Transport(transport)) = self.transport.get() else {
            return confirmed;
        };
        let own = self.shared.own_departures(processes);
        for witness in self.shared.witnesses(WITNESSES_TOLD) {
            let transport = Arc::clone(transport);
            let (own, last, confirm) = (own.clone(), last.clone(), confirm.clone());
            tokio::spawn(async move {
                let reply = ask(transport.as_ref(), witness, own).await;
                if reply.is_some_and(|reply| reply.processes.contains(&last)) {
                    // Whoever waited may have given up.
                    let _ = confirm.send(()).await;
                }
            });
        }
        confirmed
    }

    /// What this node acknowledged before its restart. Waits until the announcements have been
    /// listed from the store; passes on what is known so far with each reply of a witness.
    pub async fn recollect(&self, on_reply: impl Fn(Recollection)) -> Recollection {
        let Some(previous) = self.shared.previous_stored().await else {
            return Recollection {
                is_complete: true,
                ..Recollection::default()
            };
        };
        let stored = previous.announcement.departed;
        let Some(Transport(transport)) = self.transport.get() else {
            return recollection_of(stored.as_ref(), &[]);
        };
        let own = self.shared.own_departures(Vec::new());
        let witnesses = self.shared.witnesses(WITNESSES_ASKED);
        let mut replies = vec![None; witnesses.len()];
        let asked = witnesses.into_iter().enumerate();
        let mut asked: FuturesUnordered<_> = asked
            .map(|(rank, witness)| {
                let reply = ask(transport.as_ref(), witness, own.clone());
                async move { (rank, reply.await) }
            })
            .collect();
        while let Some((rank, reply)) = asked.next().await {
            if reply.is_some() {
                replies[rank] = reply;
                on_reply(Recollection {
                    is_complete: false,
                    ..recollection_of(stored.as_ref(), &replies)
                });
            }
        }
        recollection_of(stored.as_ref(), &replies)
    }
}

async fn ask(
    transport: &dyn GossipTransport,
    witness: SocketAddr,
    own: Departures,
) -> Option<Departures> {
    let exchange = transport.exchange_departures(witness, own);
    timeout(WITNESS_TIMEOUT, exchange).await.ok().flatten()
}

/// Joins what the store tells with what the witnesses do, `replies` being in the order of ranks.
fn recollection_of(
    stored: Option<&DepartedProcess>,
    replies: &[Option<Departures>],
) -> Recollection {
    let told = replies.iter().flatten().flat_map(|reply| &reply.processes);
    let mut departed: Vec<DepartedProcess> = told.chain(stored).cloned().collect();
    departed.sort_by_key(|departed| departed.born_ms);
    departed.dedup();
    let is_sound = |reply: &Departures| reply.uptime >= WITNESS_UPTIME_MIN;
    let mut told = replies.iter().take(WITNESSES_TOLD).flatten();
    Recollection {
        departed,
        stored: stored.cloned(),
        is_complete: replies.is_empty() || told.any(is_sound),
    }
}
