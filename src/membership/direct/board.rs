//! Exchanges bulletins with other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Bulletin, Handle, Neighbours, Rumour, Shared, Situation};
use crate::membership::Situations;
use crate::plan::Version;

/// Versions heard that may wait to be looked at; more come with the next calls.
pub(super) const HEARD_QUEUE: usize = 64;
/// Time between two looks at differences that last.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without the store after which other nodes are asked.
const STORE_SILENCE: Duration = Duration::from_millis(700);

/// A version that another node told.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heard {
    pub(super) node: SocketAddr,
    pub(super) version: Version,
}

/// What the data path sees of direct membership.
#[derive(Debug)]
pub struct Board {
    pub(super) handle: Handle,
    pub(super) shared: Arc<Shared>,
    pub(super) heard: mpsc::Sender<Heard>,
}

impl Situations for Board {
    fn situation(&self) -> Arc<Situation> {
        self.handle.situation()
    }

    fn suspect(&self, instance: &str) {
        self.handle.suspect(instance);
    }

    fn heard(&self, node: SocketAddr, version: Version) {
        if version != self.handle.situation().plan.version {
            // When the queue is full, the next call tells it again.
            let _ = self.heard.try_send(Heard { node, version });
        }
    }

    fn bulletin(&self, theirs: Bulletin) -> Bulletin {
        self.shared.bulletin(theirs)
    }
}

/// Exchanges bulletins until dropped.
pub(super) async fn run(
    shared: Arc<Shared>,
    handle: Handle,
    neighbours: Arc<dyn Neighbours>,
    mut heard: mpsc::Receiver<Heard>,
) {
    let mut rumour = Rumour::default();
    loop {
        let told = tokio::select! {
            told = heard.recv() => told,
            () = sleep(LOOK_INTERVAL), if shared.needs_news(&rumour, STORE_SILENCE) => None,
        };
        let now = shared.clock.now();
        let own = handle.situation().plan.version;
        let node = match told {
            Some(told) => {
                let due = rumour.heard(now, own, told.node, told.version);
                due.then_some(told.node)
            }
            None => rumour.ahead(now, own).or_else(|| anyone(&shared, &handle)),
        };
        if let Some(node) = node {
            exchange(&shared, neighbours.as_ref(), node).await;
            rumour.settled(handle.situation().plan.version);
        }
    }
}

/// Any node in the view, while the store tells nothing.
fn anyone(shared: &Shared, handle: &Handle) -> Option<SocketAddr> {
    if !shared.store_is_silent(STORE_SILENCE) {
        return None;
    }
    let situation = handle.situation();
    let others: Vec<SocketAddr> = situation
        .view
        .iter()
        .filter(|instance| instance.name != shared.name)
        .map(|instance| instance.peer)
        .collect();
    others.choose(&mut rand::rng()).copied()
}

async fn exchange(shared: &Shared, neighbours: &dyn Neighbours, node: SocketAddr) {
    let own = shared.bulletin(Bulletin {
        version: Version::default(),
        records: None,
    });
    if let Some(theirs) = neighbours.exchange(node, own).await {
        shared.bulletin(theirs);
    }
}
