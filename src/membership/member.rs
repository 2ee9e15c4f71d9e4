//! Membership of one node, from its start to its leave.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::announcer::Announcer;
use super::control::GateStatus;
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
const SUSPICION_QUEUE_LEN: usize = 256;

/// A started membership.
pub struct Membership {
    handle: Handle,
    driver: Arc<Driver>,
    leave_sender: mpsc::Sender<oneshot::Sender<()>>,
}

impl Membership {
    /// Access for the other slices.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Withdraws this node: peers are told at once, then the announcement is
    /// taken out of the store.
    pub async fn leave(&self) {
        self.driver.leave().await;
        let (done, withdrawn) = oneshot::channel();
        if self.leave_sender.send(done).await.is_ok() {
            // Membership that has ended has nothing left to withdraw.
            let _ = withdrawn.await;
        }
    }
}

/// Starts membership of this node.
///
/// It runs until `shutdown`, so that peers learn of a [`Membership::leave`] and are
/// answered while the node finishes its work.
pub async fn start<C: Client>(
    settings: Settings,
    client: C,
    listener: TcpListener,
    gate_status: impl Fn() -> GateStatus + Send + Sync + 'static,
    shutdown: CancellationToken,
) -> Membership {
    let client = Arc::new(client);
    let (suspicion_sender, suspicion_receiver) = mpsc::channel(SUSPICION_QUEUE_LEN);
    let (leave_sender, leave_receiver) = mpsc::channel(1);
    let publisher = Publisher::new();
    let handle = publisher.handle(suspicion_sender);
    let clock = Clock::start();
    let core = Core::new(core_settings(&settings), clock.now());
    let driver = Arc::new(Driver::new(core, clock, publisher, settings.compile));
    let server = Server {
        driver: Arc::clone(&driver),
        gate_status: Arc::new(gate_status),
    };
    let announcer = Announcer::new(settings.clone(), Arc::clone(&driver), Arc::clone(&client));
    let follower = Follower::new(settings, Arc::clone(&driver), client);
    spawn_until(&shutdown, announcer.run(leave_receiver));
    spawn_until(&shutdown, follower.run());
    spawn_until(&shutdown, Arc::clone(&driver).run(suspicion_receiver));
    tokio::spawn(server::serve(listener, server, shutdown));
    Membership {
        handle,
        driver,
        leave_sender,
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
