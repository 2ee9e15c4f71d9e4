//! Puts one node together, runs it and takes it down again.
//!
//! Calls run on the main thread, since a hand-over between threads costs more
//! than the work it would spread; control has its own thread. On an order
//! to stop, the node withdraws its announcement, refuses new work as not run,
//! lets callers move on, finishes what it has in hand, and ends.

mod control;
mod coordinate;
mod follow;
pub mod hosted;
mod listen;
mod nearby;
mod observe;
mod parts;
mod path;
mod ready;
mod report;
mod stop;

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::timeout;

use crate::telemetry::log::Identity;
use crate::telemetry::metric::Metrics;
use crate::telemetry::trace::Tracer;
use crate::{Result, Settings, telemetry};

use control::Control;
use listen::Listeners;
use parts::Running;

pub use path::Tuning;
pub use ready::Ready;
pub use stop::Stop;

/// Longest wait for the withdrawal of the announcement.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which callers with open connections are answered and sent elsewhere.
const LINGER: Duration = Duration::from_secs(1);

/// Runs a node until it is ordered to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or a runtime cannot be made.
pub fn run(settings: Settings) -> Result<Stop> {
    let identity = Identity::new(&settings.instance, &settings.zone);
    telemetry::log::init(identity.clone(), settings.log_level, settings.log_format)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let control = Control::start()?;
    let stop = runtime.block_on(serve(settings, identity, &control));
    control.stop();
    runtime.shutdown_background();
    stop
}

async fn serve(settings: Settings, identity: Identity, control: &Control) -> Result<Stop> {
    let mut orders = stop::Orders::listen()?;
    let metrics = match settings.statsd {
        Some(address) => Metrics::to(address, &identity)?,
        None => Metrics::none(),
    };
    let tracer = match settings.otlp {
        Some(address) => Tracer::to(address, &identity)?,
        None => Tracer::none(),
    };
    let listeners = Listeners::bind(&settings, control).await?;
    let ready = listeners.ready(&settings.instance);
    let grace = settings.shutdown_grace;
    let running = Running::start(
        settings,
        &identity,
        listeners,
        control,
        metrics,
        tracer.clone(),
    )
    .await?;
    ready.print()?;
    orders.next().await;
    let stop = shut_down(running, &mut orders, control, grace).await;
    tokio::task::spawn_blocking(move || tracer.shutdown())
        .await
        .ok();
    Ok(stop)
}

async fn shut_down(
    running: Running,
    orders: &mut stop::Orders,
    control: &Control,
    grace: Duration,
) -> Stop {
    log::info!(
        "stopping: {} connections of callers are open, {} calls are at the gate",
        running.path.entry.open_connections(),
        running.path.in_hand(),
    );
    running.path.admission.drain();
    let member = running.member.clone();
    let leaving = control.runtime().spawn(async move { member.leave().await });
    if timeout(LEAVE_TIMEOUT, leaving).await.is_err() {
        log::warn!("the announcement could not be withdrawn in time; its lease will lapse");
    }
    tokio::time::sleep(LINGER).await;
    let admission = running.path.admission.clone();
    let entry = Arc::clone(&running.path.entry);
    let mut finished = std::pin::pin!(timeout(grace, running.path.finish()));
    let mut warned = false;
    let stop = loop {
        tokio::select! {
            done = &mut finished => {
                break if done.is_ok() { Stop::Graceful } else { Stop::Cut };
            }
            () = orders.next() => {
                if warned {
                    break Stop::Cut;
                }
                warned = true;
                log::warn!(
                    "{} calls are in hand; one more signal stops now and cuts them",
                    admission.in_hand(),
                );
            }
        }
    };
    match stop {
        Stop::Graceful => log::info!("stopped: nothing was cut"),
        Stop::Cut => log::warn!(
            "stopped: {} connections of callers and {} calls at the gate were cut",
            entry.open_connections(),
            admission.in_hand(),
        ),
    }
    stop
}
