//! Errors of the library and the function that prints them.

use std::io::{IsTerminal, Write};

use displaydoc::Display;

/// Result with the library's error type.
pub type Result<T> = std::result::Result<T, Error>;

/// Error with its cause and a remedy.
#[derive(Debug)]
#[derive(Display)]
pub enum Error {
    /// cannot listen on {address}: {source}; choose a free address
    Listen {
        /// Address that could not be bound.
        address: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// logging cannot start: {0}; please report this as a bug
    Logging(String),
    /// metrics cannot be sent: {0}; check --statsd
    Metrics(String),
    /// traces cannot be sent: {0}; check --otlp
    Traces(String),
    /// {0}
    Store(crate::store::Error),
    /// {0}; see the log for the cause
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

/// Prints `error` to standard error; coloured only on a terminal without `NO_COLOR`.
pub fn print(error: &dyn std::fmt::Display) {
    let mut stderr = std::io::stderr();
    let coloured = stderr.is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let label = if coloured {
        "\u{1b}[31merror\u{1b}[0m"
    } else {
        "error"
    };
    // If standard error is closed, there is nowhere to report the failure.
    let _ = writeln!(stderr, "{label}: {error}");
}
