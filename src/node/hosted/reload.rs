//! Settings that change while a node runs.

use std::fmt;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Time after which a change is noticed that no signal told of.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings again and tells what changed.
pub struct Reload(Box<dyn FnMut() -> Reloaded + Send>);

/// What came of reading the settings again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reloaded {
    /// They are what they were.
    Unchanged,
    /// They were taken; this changed.
    Taken(String),
    /// They were refused for this reason, and the settings before stay.
    Refused(String),
}

impl fmt::Debug for Reload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reload").finish_non_exhaustive()
    }
}

impl Reload {
    /// Reads by `read`, which must not block for long.
    pub fn new(read: impl FnMut() -> Reloaded + Send + 'static) -> Self {
        Self(Box::new(read))
    }

    /// Reads at every signal, and now and then without one, until dropped.
    pub(super) async fn run(mut self) {
        let mut hangups = match signal(SignalKind::hangup()) {
            Ok(hangups) => hangups,
            Err(error) => {
                log::error!("settings cannot be read again: {error}; restart to change them");
                return;
            }
        };
        loop {
            let told = tokio::select! {
                _ = hangups.recv() => true,
                () = sleep(LOOK_INTERVAL) => false,
            };
            match (self.0)() {
                Reloaded::Unchanged if told => log::info!("settings read again: nothing changed"),
                Reloaded::Unchanged => {}
                Reloaded::Taken(change) => log::info!("settings read again: {change}"),
                Reloaded::Refused(cause) => {
                    log::warn!("settings refused: {cause}; those before stay in force");
                }
            }
        }
    }
}
