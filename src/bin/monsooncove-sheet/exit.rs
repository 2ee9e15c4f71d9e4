//! How the tool ends.

use std::process::ExitCode;

/// Exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused, with the reasons on standard error.
    Refused = 1,
    /// The command line or a file cannot be used.
    Usage = 2,
    /// The outcome is unknown, or the store or the nodes are out of reach.
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// An end other than [`Exit::Done`].
#[derive(Debug)]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// What went wrong, and what to do about it.
    pub message: String,
}

impl Failure {
    /// A failure that `error` explains.
    pub fn new(exit: Exit, error: &impl ToString) -> Self {
        Self {
            exit,
            message: error.to_string(),
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Failure>;
