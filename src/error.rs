//! Errors of the library and the one place that prints them.

use std::io::{IsTerminal, Write};

use displaydoc::Display;

/// Result of the library.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, and what to do about it.
#[derive(Debug)]
#[derive(Display)]
pub enum Error {
    /// cannot listen on {address}: {source}; choose a free address
    Listen {
        /// Address that was to be bound.
        address: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// logging cannot start: {0}; report this as a fault
    Logging(String),
    /// metrics cannot be sent: {0}; check --statsd
    Metrics(String),
    /// traces cannot be sent: {0}; check --otlp
    Traces(String),
    /// {0}
    Store(crate::store::Error),
    /// {0}; see the log for what led to it
    Io(std::io::Error),
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<crate::store::Error> for Error {
    fn from(error: crate::store::Error) -> Self {
        Self::Store(error)
    }
}

/// Prints `error` to standard error, with colour on a terminal only.
pub fn print(error: &dyn std::fmt::Display) {
    let mut stderr = std::io::stderr();
    let coloured = stderr.is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let label = if coloured {
        "\u{1b}[31merror\u{1b}[0m"
    } else {
        "error"
    };
    // Nothing is left to report to when standard error is closed.
    let _ = writeln!(stderr, "{label}: {error}");
}
