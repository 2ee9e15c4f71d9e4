//! Background tasks that end on shutdown.

use tokio_util::sync::CancellationToken;

/// Spawns `work` as a task and drops it when `shutdown` is cancelled.
pub(crate) fn spawn_until(
    shutdown: &CancellationToken,
    work: impl Future<Output = ()> + Send + 'static,
) {
    tokio::spawn(shutdown.clone().run_until_cancelled_owned(work));
}
