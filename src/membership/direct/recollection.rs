//! Keeps acknowledged departures beyond this process, and finds them again after a restart.
//!
//! A departure is kept once the store holds the announcement that tells it, or a witness has
//! confirmed it. A witness counts only if it has run for some time: one that has just started may
//! have lost what it was told together with this node.
//!
//! A node that the store has no announcement of is not always a new one. Its lease may have ended
//! while the store was away, and those of its witnesses with it, so it asks again while their
//! announcements return. A fleet that starts for the first time has nothing to recall and must not
//! wait for it: a node takes itself for a part of one if the store answered at once, has no record of
//! an earlier start, and no witness is old.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

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
/// Time in which nodes whose lease ended while the store was away are announced again, and in which
/// a node that knows few others hears of them.
const RETURN_TIME: Duration = Duration::from_secs(10);
/// Time after which a node that took its fleet for a new one makes sure of it.
const NEW_FLEET_CHECK_DELAY: Duration = Duration::from_secs(5);
/// Witnesses that show whether the fleet is new: one of the region and one of another.
const NEW_FLEET_WITNESSES: usize = 2;
/// Time between two looks for witnesses meanwhile.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

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
    /// listed from the store; passes on what is known so far.
    pub async fn recollect(&self, on_news: impl Fn(Recollection)) -> Recollection {
        let previous = self.shared.previous_stored().await;
        let is_announced = previous.is_some();
        let mut inquiry = Inquiry {
            stored: previous.and_then(|previous| previous.announcement.departed),
            ..Inquiry::default()
        };
        if is_announced {
            self.ask_witnesses(WITNESSES_ASKED, &mut inquiry, &on_news)
                .await;
            // Without witnesses, the store alone could keep a departure.
            let is_complete = inquiry.witnesses.is_empty() || inquiry.is_complete();
            return inquiry.recollection(is_complete);
        }
        let may_be_new = !self.shared.has_missed_store() && !self.shared.start.is_earlier();
        if may_be_new && self.is_new_fleet(&mut inquiry, &on_news).await {
            on_news(inquiry.recollection(true));
            sleep(NEW_FLEET_CHECK_DELAY).await;
            if self.is_new_fleet(&mut inquiry, &on_news).await {
                return inquiry.recollection(true);
            }
        }
        on_news(inquiry.recollection(false));
        let returned_at = Instant::now() + RETURN_TIME;
        while Instant::now() < returned_at {
            self.ask_witnesses(WITNESSES_ASKED, &mut inquiry, &on_news)
                .await;
            sleep(RETURN_CHECK_INTERVAL).await;
        }
        inquiry.recollection(inquiry.is_complete())
    }

    /// Whether nobody who could remember anything has run for longer than this node.
    async fn is_new_fleet(&self, inquiry: &mut Inquiry, on_news: &impl Fn(Recollection)) -> bool {
        self.ask_witnesses(NEW_FLEET_WITNESSES, inquiry, on_news)
            .await;
        !inquiry.replies.values().any(is_sound)
    }

    /// Asks the first `count` witnesses of this moment, but for those that have replied before.
    async fn ask_witnesses(
        &self,
        count: usize,
        inquiry: &mut Inquiry,
        on_news: &impl Fn(Recollection),
    ) {
        inquiry.witnesses = self.shared.witnesses(count);
        let Some(Transport(transport)) = self.transport.get() else {
            return;
        };
        let own = self.shared.own_departures(Vec::new());
        let mut asked: FuturesUnordered<_> = inquiry
            .unheard()
            .map(|witness| {
                let reply = ask(transport.as_ref(), witness, own.clone());
                async move { (witness, reply.await) }
            })
            .collect();
        while let Some((witness, reply)) = asked.next().await {
            if let Some(reply) = reply {
                inquiry.replies.insert(witness, reply);
                on_news(inquiry.recollection(false));
            }
        }
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

/// Whether the witness that replied remembers what it was told before this node started.
fn is_sound(reply: &Departures) -> bool {
    reply.uptime >= WITNESS_UPTIME_MIN
}

/// What the store and the witnesses have told so far.
#[derive(Debug, Default)]
struct Inquiry {
    /// The departure that the announcement in the store tells.
    stored: Option<DepartedProcess>,
    /// Those that are asked, in the order of their ranks.
    witnesses: Vec<SocketAddr>,
    replies: BTreeMap<SocketAddr, Departures>,
}

impl Inquiry {
    /// Witnesses that have not replied.
    fn unheard(&self) -> impl Iterator<Item = SocketAddr> {
        let witnesses = self.witnesses.clone().into_iter();
        witnesses.filter(|witness| !self.replies.contains_key(witness))
    }

    /// Whether all that are told of each departure have replied and remember. One of them that
    /// knows nothing may not have been reached.
    fn is_complete(&self) -> bool {
        let remembers = |witness| self.replies.get(witness).is_some_and(is_sound);
        let mut told = self.witnesses.iter().take(WITNESSES_TOLD);
        !self.witnesses.is_empty() && told.all(remembers)
    }

    /// Joins what the store tells with what the witnesses do.
    fn recollection(&self, is_complete: bool) -> Recollection {
        let replies = self.replies.values();
        let told = replies.flat_map(|reply| &reply.processes);
        let mut departed: Vec<DepartedProcess> = told.chain(&self.stored).cloned().collect();
        departed.sort_by_key(|departed| departed.born_ms);
        departed.dedup();
        Recollection {
            departed,
            stored: self.stored.clone(),
            is_complete,
        }
    }
}
