//! Performs what the core decides.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::control::{GateStatus, Status};
use super::core::{Action, Core};
use super::handle::Publisher;
use super::links::{Links, TrafficMeter};
use super::message::{Heartbeat, News};
use super::text::{SheetText, TextId};
use super::{Compile, InstanceId};
use crate::clock::{Clock, Time};

/// How often the core is told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time a heartbeat may take.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time any other call between nodes may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time the word of a leave may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs one core.
pub(super) struct Driver {
    core: Mutex<Core>,
    clock: Clock,
    compile: Compile,
    links: Links,
    meter: Arc<TrafficMeter>,
    publisher: Publisher,
    /// Raised when the announcement in the store is out of date.
    pub(super) reannounce: Notify,
    follow_sender: watch::Sender<bool>,
    in_force_since_us: AtomicU64,
    changed_us: AtomicU64,
}

impl Driver {
    pub(super) fn new(core: Core, clock: Clock, publisher: Publisher, compile: Compile) -> Self {
        let meter = Arc::<TrafficMeter>::default();
        Self {
            core: Mutex::new(core),
            clock,
            compile,
            links: Links::new(Arc::clone(&meter)),
            meter,
            publisher,
            reannounce: Notify::new(),
            follow_sender: watch::Sender::new(true),
            in_force_since_us: AtomicU64::new(0),
            changed_us: AtomicU64::new(0),
        }
    }

    pub(super) fn meter(&self) -> Arc<TrafficMeter> {
        Arc::clone(&self.meter)
    }

    /// Counts a call of another node.
    pub(super) fn count_message(&self) {
        self.meter.count_message();
    }

    /// Tells whether the store is to be followed.
    pub(super) fn subscribe_follow(&self) -> watch::Receiver<bool> {
        self.follow_sender.subscribe()
    }

    /// Lets the core take in an event, and does what it decides.
    pub(super) fn apply<T>(
        self: &Arc<Self>,
        event: impl FnOnce(&mut Core, Time, &mut Vec<Action>) -> T,
    ) -> T {
        let (result, actions) = self.run_event(event);
        for action in actions {
            self.perform(action);
        }
        result
    }

    /// Reads the core without an event.
    pub(super) fn read<T>(&self, query: impl FnOnce(&Core) -> T) -> T {
        query(&self.lock())
    }

    /// Withdraws this node and waits until its word has gone out.
    pub(super) async fn leave(self: &Arc<Self>) {
        let ((), actions) = self.run_event(Core::leave);
        let tasks: Vec<JoinHandle<()>> = actions
            .into_iter()
            .filter_map(|action| self.perform(action))
            .collect();
        // Those that could not be told learn it from the others.
        let _ = timeout(LEAVE_TIMEOUT, join_all(tasks)).await;
    }

    /// Ticks, and takes in the suspicions of calls.
    pub(super) async fn run(self: Arc<Self>, mut suspicions: mpsc::Receiver<String>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.apply(Core::tick);
                    self.links.close_idle();
                }
                Some(name) = suspicions.recv() => {
                    self.apply(|core, now, actions| core.suspect(now, &name, actions));
                }
            }
        }
    }

    pub(super) fn status(&self, condition: GateStatus) -> Status {
        let core = self.lock();
        let instance = core.instance();
        Status {
            instance: instance.name.clone(),
            epoch: instance.epoch,
            service: instance.service.clone(),
            region: instance.region.clone(),
            zone: instance.zone.clone(),
            plan_version: core.version(),
            in_force_since_us: self.in_force_since_us.load(Ordering::Relaxed),
            instances: u32::try_from(core.fleet_size()).unwrap_or(u32::MAX),
            changed_us: self.changed_us.load(Ordering::Relaxed),
            roster: core.digest(),
            relay: core.is_relay(),
            traffic: self.meter.traffic(),
            condition,
        }
    }

    fn run_event<T>(
        &self,
        event: impl FnOnce(&mut Core, Time, &mut Vec<Action>) -> T,
    ) -> (T, Vec<Action>) {
        let mut actions = Vec::new();
        let mut core = self.lock();
        let now = self.clock.now();
        let before = core.in_force();
        let result = event(&mut core, now, &mut actions);
        if core.in_force() != before {
            self.in_force_since_us.store(unix_us(), Ordering::Relaxed);
        }
        if let Some(snapshot) = core.take_snapshot() {
            self.publisher.publish(snapshot);
            self.changed_us.store(unix_us(), Ordering::Relaxed);
        }
        let follow = core.follows_store(now);
        self.follow_sender
            .send_if_modified(|current| std::mem::replace(current, follow) != follow);
        (result, actions)
    }

    fn perform(self: &Arc<Self>, action: Action) -> Option<JoinHandle<()>> {
        let driver = Arc::clone(self);
        let task = match action {
            Action::Reannounce => {
                self.reannounce.notify_one();
                return None;
            }
            Action::SendHeartbeat {
                to,
                address,
                heartbeat,
            } => tokio::spawn(driver.send_heartbeat(to, address, heartbeat)),
            Action::Push { address, news } => tokio::spawn(driver.send_news(address, news)),
            Action::Pull { address, buckets } => tokio::spawn(driver.send_pull(address, buckets)),
            Action::Compile(text) => tokio::spawn(driver.compile(text)),
            Action::Fetch { address, have } => tokio::spawn(driver.send_fetch(address, have)),
        };
        Some(task)
    }

    async fn compile(self: Arc<Self>, text: Arc<SheetText>) {
        // What was decided before this is sent first.
        tokio::task::yield_now().await;
        let stamp = text.stamp();
        let plan = (self.compile)(stamp.version, text.as_str());
        self.apply(|core, now, actions| core.on_compiled(now, stamp, plan, actions));
    }

    async fn send_heartbeat(
        self: Arc<Self>,
        to: InstanceId,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) {
        let answer = self
            .links
            .call(address, HEARTBEAT_TIMEOUT, |client, context| async move {
                client.heartbeat(context, heartbeat).await
            })
            .await;
        self.apply(|core, now, actions| match answer {
            Ok(answer) => core.on_heartbeat_answer(now, to, &answer, actions),
            Err(failure) => core.on_heartbeat_failed(now, to, failure, actions),
        });
    }

    async fn send_news(self: Arc<Self>, address: SocketAddr, news: Arc<News>) {
        // What is lost here, the digests reveal.
        let _ = self
            .links
            .call(address, CALL_TIMEOUT, |client, context| {
                let news = News::clone(&news);
                async move { client.news(context, news).await }
            })
            .await;
    }

    async fn send_pull(self: Arc<Self>, address: SocketAddr, buckets: Vec<u64>) {
        let entries = self
            .links
            .call(address, CALL_TIMEOUT, |client, context| {
                let buckets = buckets.clone();
                async move { client.pull(context, buckets).await }
            })
            .await;
        self.apply(|core, now, actions| match entries {
            Ok(entries) => core.on_pulled(now, entries, actions),
            Err(_) => core.on_request_failed(now),
        });
    }

    async fn send_fetch(self: Arc<Self>, address: SocketAddr, have: TextId) {
        let update = self
            .links
            .call(address, CALL_TIMEOUT, |client, context| async move {
                client.fetch(context, have).await
            })
            .await;
        self.apply(|core, now, actions| match update {
            Ok(update) => core.on_fetched(now, update, actions),
            Err(_) => core.on_request_failed(now),
        });
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since.map_or(0, |since| since.as_micros());
    u64::try_from(micros).unwrap_or(u64::MAX)
}
