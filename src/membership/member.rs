//! Membership of one node, from its start to its leave.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::announcer::Announcer;
use super::control::Condition;
use super::core::{self, Core};
use super::driver::Driver;
use super::follower::Follower;
use super::handle::Publisher;
use super::server::{self, Server};
use super::{Epoch, Handle, Instance, Settings};
use crate::clock::Clock;
use crate::store::Client;
use crate::task::spawn_until;

/// Suspicions that may wait to be looked at.
const SUSPICION_QUEUE: usize = 256;

/// A started membership.
pub struct Member {
    handle: Handle,
    driver: Arc<Driver>,
    departures: mpsc::Sender<oneshot::Sender<()>>,
}

impl Member {
    /// Access for the other slices.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Withdraws this node: peers are told at once, then the announcement is
    /// taken out of the store.
    pub async fn leave(&self) {
        self.driver.leave().await;
        let (done, finished) = oneshot::channel();
        if self.departures.send(done).await.is_ok() {
            // Membership that has ended has nothing left to withdraw.
            let _ = finished.await;
        }
    }
}

/// Starts membership of this node.
///
/// It runs until `shutdown`, so that peers learn of a [`Member::leave`] and are
/// answered while the node finishes its work.
pub async fn start<C: Client>(
    settings: Settings,
    client: C,
    listener: TcpListener,
    report: impl Fn() -> Condition + Send + Sync + 'static,
    shutdown: CancellationToken,
) -> Member {
    let client = Arc::new(client);
    let (suspicions, suspected) = mpsc::channel(SUSPICION_QUEUE);
    let (departures, departed) = mpsc::channel(1);
    let publisher = Publisher::new();
    let handle = publisher.handle(suspicions);
    let clock = Clock::start();
    let core = Core::new(core_settings(&settings), clock.now());
    let driver = Arc::new(Driver::new(core, clock, publisher, settings.compile));
    let server = Server {
        driver: Arc::clone(&driver),
        report: Arc::new(report),
    };
    let announcer = Announcer::new(settings.clone(), Arc::clone(&driver), Arc::clone(&client));
    let follower = Follower::new(settings, Arc::clone(&driver), client);
    spawn_until(&shutdown, announcer.run(departed));
    spawn_until(&shutdown, follower.run());
    spawn_until(&shutdown, Arc::clone(&driver).run(suspected));
    tokio::spawn(server::serve(listener, server, shutdown));
    Member {
        handle,
        driver,
        departures,
    }
}

fn core_settings(settings: &Settings) -> core::Settings {
    core::Settings {
        instance: Instance {
            epoch: first_epoch(),
            ..settings.instance.clone()
        },
        join: settings.join.clone(),
        seed: settings.seed,
        timing: settings.timing,
    }
}

/// A restarted instance keeps nothing, so the time of day makes its epoch
/// higher than the last; a clock that is behind is made up for as soon as a
/// peer or the store shows the epoch before.
fn first_epoch() -> Epoch {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    Epoch(u64::try_from(millis).unwrap_or(u64::MAX))
}
