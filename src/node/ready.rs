//! The line a node prints once it listens.

use std::io::Write;
use std::net::SocketAddr;

use serde::Serialize;

/// Addresses of a node that listens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Ready {
    /// Always true; tells this line from others.
    pub ready: bool,
    /// Name of the instance.
    pub instance: String,
    /// Bound address for callers.
    pub caller: SocketAddr,
    /// Bound address for calls from other nodes.
    pub peer: SocketAddr,
    /// Bound address of the control service.
    pub control: SocketAddr,
}

impl Ready {
    /// Prints the line on standard output.
    ///
    /// # Errors
    ///
    /// Fails when standard output is closed.
    pub fn print(&self) -> std::io::Result<()> {
        let line = serde_json::to_string(self)?;
        let mut stdout = std::io::stdout().lock();
        writeln!(stdout, "{line}")?;
        stdout.flush()
    }
}
