//! Membership of one node, from its start to its leave.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::control::Condition;
use super::head::{HEAD_KEY, Head, INSTANCE_PREFIX, ROOT, Text};
use super::server::{self, Server};
use super::{Handle, Instance, Settings, Situation, View};
use crate::plan::{Plan, Version};
use crate::store::{
    self, Change, Client, Expect, Lease, Outcome, Revision, Watched, Write, WriteId,
};

use super::handle::Publisher;

/// Suspicions that may wait to be looked at.
const SUSPICION_QUEUE: usize = 256;
/// Pause after a failed call of the store.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// A started membership.
#[derive(Debug)]
pub struct Member {
    handle: Handle,
    departures: mpsc::Sender<oneshot::Sender<()>>,
}

impl Member {
    /// Access for the other slices.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Withdraws the announcement, so that no new work is sent here.
    pub async fn leave(&self) {
        let (done, finished) = oneshot::channel();
        if self.departures.send(done).await.is_ok() {
            // Membership that has ended has nothing left to withdraw.
            let _ = finished.await;
        }
    }
}

/// Starts membership of this node.
pub async fn start<C: Client>(
    settings: Settings,
    client: C,
    listener: TcpListener,
    report: impl Fn() -> Condition + Send + Sync + 'static,
    shutdown: CancellationToken,
) -> Member {
    let client = Arc::new(client);
    let (suspicions, _suspected) = mpsc::channel(SUSPICION_QUEUE);
    let (departures, departed) = mpsc::channel(1);
    let publisher = Publisher::new();
    let handle = publisher.handle(suspicions);
    let server = Server {
        instance: Arc::new(settings.instance.clone()),
        handle: handle.clone(),
        report: Arc::new(report),
    };
    let announcer = Announcer {
        settings: settings.clone(),
        client: Arc::clone(&client),
        lease: None,
    };
    let follower = Follower {
        settings,
        client,
        publisher,
        plan: Arc::default(),
        view: View::default(),
    };
    spawn_until(&shutdown, announcer.run(departed));
    spawn_until(&shutdown, follower.run());
    tokio::spawn(server::serve(listener, server, shutdown));
    Member { handle, departures }
}

fn spawn_until(shutdown: &CancellationToken, work: impl Future<Output = ()> + Send + 'static) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = work => {}
            () = shutdown.cancelled() => {}
        }
    });
}

/// Keeps the announcement in the store.
struct Announcer<C> {
    settings: Settings,
    client: Arc<C>,
    lease: Option<Lease>,
}

impl<C: Client> Announcer<C> {
    async fn run(mut self, mut departures: mpsc::Receiver<oneshot::Sender<()>>) {
        loop {
            let pause = self.refresh().await;
            tokio::select! {
                () = sleep(pause) => {}
                departure = departures.recv() => {
                    self.withdraw().await;
                    if let Some(done) = departure {
                        // The caller may have stopped waiting.
                        let _ = done.send(());
                    }
                    return;
                }
            }
        }
    }

    /// Renews the lease or takes a new one. Returns the pause to the next time.
    async fn refresh(&mut self) -> Duration {
        let interval = self.settings.renewal_interval(1);
        if let Some(lease) = self.lease
            && let Ok(false) = self.client.renew(lease).await
        {
            self.lease = None;
        }
        if self.lease.is_none() {
            let ttl = interval * self.settings.renewals_per_lease;
            let written = write_announcement(&self.settings.instance, &*self.client, ttl);
            self.lease = written.await.ok();
        }
        if self.lease.is_some() {
            interval
        } else {
            STORE_RETRY
        }
    }

    async fn withdraw(&mut self) {
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.client.revoke(lease).await
        {
            log::warn!("the announcement stays until its lease lapses: {error}");
        }
    }
}

async fn write_announcement<C: Client>(
    instance: &Instance,
    client: &C,
    ttl: Duration,
) -> store::Result<Lease> {
    let lease = client.grant(ttl).await?;
    let write = Write {
        key: format!("{INSTANCE_PREFIX}{}", instance.name),
        value: serde_json::to_string(instance).ok(),
        expect: Expect::Anything,
        lease: Some(lease),
        id: WriteId(instance.epoch.0),
    };
    match client.write(write).await? {
        Outcome::Applied(_) | Outcome::Unknown => Ok(lease),
        Outcome::NotApplied(_) => Err(store::Error::Refused {
            cause: "the lease lapsed before it was used".into(),
        }),
    }
}

/// Follows the store.
struct Follower<C> {
    settings: Settings,
    client: Arc<C>,
    publisher: Publisher,
    plan: Arc<Plan>,
    view: View,
}

impl<C: Client> Follower<C> {
    async fn run(mut self) {
        loop {
            if let Err(error) = self.follow().await {
                log::debug!("cannot follow the store: {error}");
            }
            sleep(STORE_RETRY).await;
        }
    }

    async fn follow(&mut self) -> store::Result<()> {
        let listing = self.client.list(ROOT).await?;
        let mut revision = listing.revision;
        for record in listing.records {
            self.take(&record.key, &record.value).await?;
        }
        self.publish();
        loop {
            match self.watch(revision).await? {
                Watched::Compacted => return Ok(()),
                Watched::Changes {
                    revision: seen,
                    changes,
                } => {
                    revision = seen;
                    self.apply(changes).await?;
                }
            }
        }
    }

    async fn watch(&self, after: Revision) -> store::Result<Watched> {
        sleep(self.settings.watch_spacing).await;
        self.client
            .watch(ROOT, after, self.settings.watch_wait)
            .await
    }

    async fn apply(&mut self, changes: Vec<Change>) -> store::Result<()> {
        for change in changes {
            match change {
                Change::Put(record) => self.take(&record.key, &record.value).await?,
                Change::Delete { key, .. } => {
                    if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
                        self.view.remove(name);
                    }
                }
            }
        }
        self.publish();
        Ok(())
    }

    async fn take(&mut self, key: &str, value: &str) -> store::Result<()> {
        if key == HEAD_KEY {
            if let Ok(head) = serde_json::from_str::<Head>(value) {
                let text = read_text(&*self.client, head).await?;
                self.compile(&text);
            }
        } else if key.starts_with(INSTANCE_PREFIX)
            && let Ok(instance) = serde_json::from_str(value)
        {
            self.view.merge(instance);
        }
        Ok(())
    }

    fn compile(&mut self, text: &Text) {
        if text.version <= self.plan.version || text.version == Version(0) {
            return;
        }
        match (self.settings.compile)(text.version, &text.text) {
            Ok(plan) => self.plan = Arc::new(plan),
            Err(error) => log::error!("plan {} cannot be compiled: {error}", text.version),
        }
    }

    fn publish(&self) {
        self.publisher.publish(Situation {
            plan: Arc::clone(&self.plan),
            view: Arc::new(self.view.clone()),
        });
    }
}

/// The text of `head`, with its parts read.
async fn read_text<C: Client>(client: &C, head: Head) -> store::Result<Text> {
    let mut text = head.text.unwrap_or_default();
    for key in head.parts {
        let Some(part) = client.get(&key).await? else {
            return Err(store::Error::Refused {
                cause: format!("part {key} of the plan is missing"),
            });
        };
        text.push_str(&part.value);
    }
    Ok(Text {
        version: head.version,
        text,
    })
}
