//! Tasks that end with what they serve.

use tokio_util::sync::CancellationToken;

/// Starts `work`, which is dropped when `shutdown` is cancelled.
pub(crate) fn spawn_until(
    shutdown: &CancellationToken,
    work: impl Future<Output = ()> + Send + 'static,
) {
    tokio::spawn(shutdown.clone().run_until_cancelled_owned(work));
}
