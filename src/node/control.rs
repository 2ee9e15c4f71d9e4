//! The thread that carries control: membership, the store, metrics of control.
//!
//! It has a runtime of its own, so that its processor time can be told from
//! that of calls, and so that calls never wait behind it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use nix::time::ClockId;
use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

/// Time between two readings of the thread's processor time.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// A running control thread.
#[derive(Debug)]
pub struct Control {
    runtime: Handle,
    cpu_micros: Arc<AtomicU64>,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the runtime or the thread cannot be made.
    pub fn start() -> crate::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let cpu_micros = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let meter = read_until(stop.clone(), Arc::clone(&cpu_micros));
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(meter))?;
        Ok(Self {
            runtime: handle,
            cpu_micros,
            stop,
            thread: Some(thread),
        })
    }

    /// Runtime of the thread.
    #[must_use]
    pub const fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Access to the thread's processor time.
    #[must_use]
    pub fn reading(&self) -> Reading {
        Reading(Arc::clone(&self.cpu_micros))
    }

    /// Ends the thread and all that runs on it.
    pub fn stop(mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

/// Processor time of the control thread.
#[derive(Clone, Debug, Default)]
pub struct Reading(Arc<AtomicU64>);

impl Reading {
    /// Time spent since the thread was started.
    #[must_use]
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

async fn read_until(stop: CancellationToken, cpu_micros: Arc<AtomicU64>) {
    let mut interval = tokio::time::interval(READING_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => cpu_micros.store(thread_cpu_micros(), Ordering::Relaxed),
            () = stop.cancelled() => return,
        }
    }
}

fn thread_cpu_micros() -> u64 {
    let Ok(time) = ClockId::CLOCK_THREAD_CPUTIME_ID.now() else {
        return 0;
    };
    u64::try_from(Duration::from(time).as_micros()).unwrap_or(u64::MAX)
}
