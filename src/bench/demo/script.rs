//! What goes wrong during a run, and when.

use std::io;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::bench::fleet::Fleet;
use crate::bench::monitor::Monitor;
use crate::bench::operator::Operator;
use crate::standin::backend::Control;

/// When work for a zone that was taken out counts as late.
const ZONE_OUT_GRACE_MS: u64 = 3_000;
/// When work for a backend server that is leaving counts as late.
const LEAVING_GRACE_MS: u64 = 2_000;
/// Shorter than any caller's patience, so that no frozen call counts as lost.
const FREEZE: Duration = Duration::from_millis(1_500);

const ZONE_OUT_PERCENT: u32 = 8;
const DRAIN_PERCENT: u32 = 20;
const ZONE_IN_PERCENT: u32 = 45;
const STOP_PERCENT: u32 = 55;
const COLD_PERCENT: u32 = 65;
const KILL_PERCENT: u32 = 72;
const FREEZE_PERCENT: u32 = 80;

/// The planned stop of a node, on the clock of the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When it was asked for.
    pub from: Duration,
    /// When the node had ended.
    pub to: Duration,
    /// Whether it ended with success.
    pub succeeded: bool,
}

/// Disturbs a fleet.
pub struct Script<'a> {
    fleet: &'a mut Fleet,
    monitor: &'a Monitor,
    operator: Operator,
    origin: Instant,
    duration: Duration,
}

impl<'a> Script<'a> {
    /// A script for calls made for `duration` from `origin`.
    pub fn new(
        fleet: &'a mut Fleet,
        monitor: &'a Monitor,
        operator: Operator,
        origin: Instant,
        duration: Duration,
    ) -> Self {
        Self {
            fleet,
            monitor,
            operator,
            origin,
            duration,
        }
    }

    /// Plays everything in turn. Each victim is another upstream.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be controlled.
    pub async fn play(mut self) -> io::Result<Stop> {
        let count = self.fleet.upstreams().len();
        let zone = self.fleet.upstreams()[0].place.zone.clone();
        self.until(ZONE_OUT_PERCENT).await;
        self.set_zone(&zone, false).await?;
        self.until(DRAIN_PERCENT).await;
        self.drain(1 % count).await?;
        self.until(ZONE_IN_PERCENT).await;
        self.set_zone(&zone, true).await?;
        self.until(STOP_PERCENT).await;
        let stop = self.restart(2 % count).await?;
        self.until(COLD_PERCENT).await;
        self.fall_back_into_cold_start(1 % count).await?;
        self.until(KILL_PERCENT).await;
        self.kill(3 % count).await?;
        self.until(FREEZE_PERCENT).await;
        self.freeze(4 % count).await?;
        Ok(stop)
    }

    async fn until(&self, percent: u32) {
        let due = self.origin + self.duration * percent / 100;
        tokio::time::sleep_until(due.into()).await;
    }

    async fn set_zone(&mut self, zone: &str, in_service: bool) -> io::Result<()> {
        let control = if in_service {
            Control {
                zone_in: true,
                ..Control::default()
            }
        } else {
            Control {
                zone_out_after_ms: Some(ZONE_OUT_GRACE_MS),
                ..Control::default()
            }
        };
        // Backend servers learn that work may come before anyone sends it, and
        // that none may come once the sheet is accepted.
        if in_service {
            self.control_zone(zone, &control).await?;
        }
        let version = self.operator.set_zone(zone, in_service).await?;
        self.monitor.expect(version);
        if !in_service {
            self.control_zone(zone, &control).await?;
        }
        Ok(())
    }

    async fn control_zone(&self, zone: &str, control: &Control) -> io::Result<()> {
        for index in self.fleet.in_zone(zone) {
            self.fleet.control(index, control).await?;
        }
        Ok(())
    }

    async fn drain(&self, index: usize) -> io::Result<()> {
        let control = Control {
            drain_grace_ms: Some(LEAVING_GRACE_MS),
            ..Control::default()
        };
        self.fleet.control(index, &control).await
    }

    async fn fall_back_into_cold_start(&self, index: usize) -> io::Result<()> {
        let control = Control {
            restart: true,
            ..Control::default()
        };
        self.fleet.control(index, &control).await
    }

    async fn restart(&mut self, index: usize) -> io::Result<Stop> {
        self.ignore(index);
        let from = self.origin.elapsed();
        let succeeded = self.fleet.stop_node(index).await?;
        let to = self.origin.elapsed();
        self.fleet.start_node(index).await?;
        self.watch(index);
        Ok(Stop {
            from,
            to,
            succeeded,
        })
    }

    async fn kill(&mut self, index: usize) -> io::Result<()> {
        self.ignore(index);
        self.fleet.kill_node(index).await?;
        self.fleet.start_node(index).await?;
        self.watch(index);
        Ok(())
    }

    async fn freeze(&self, index: usize) -> io::Result<()> {
        self.ignore(index);
        let upstream = &self.fleet.upstreams()[index];
        upstream.signal(Signal::SIGSTOP)?;
        tokio::time::sleep(FREEZE).await;
        upstream.signal(Signal::SIGCONT)?;
        self.watch(index);
        Ok(())
    }

    fn watch(&self, index: usize) {
        if let Some(node) = self.fleet.upstreams()[index].ready.control {
            self.monitor.watch(node);
        }
    }

    fn ignore(&self, index: usize) {
        if let Some(node) = self.fleet.upstreams()[index].ready.control {
            self.monitor.ignore(node);
        }
    }
}
