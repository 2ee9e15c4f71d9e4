//! How a node ends.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Everything in hand was finished.
    Graceful,
    /// Calls were cut, by order or because the grace ran out.
    Cut,
}

impl Stop {
    /// Exit code of the process.
    #[must_use]
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Graceful => 0,
            Self::Cut => 3,
        }
    }
}

/// Orders to stop, from the operator's terminal or the platform.
#[derive(Debug)]
pub struct Orders {
    terminate: Signal,
    interrupt: Signal,
}

impl Orders {
    /// Listens for `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// Fails when a handler cannot be installed.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next order.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
