//! Faults that tests switch on and off.

use serde::{Deserialize, Serialize};

/// Faults in force, set by `POST /-/faults`. Fields left out are off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections end without an answer, and nothing takes effect.
    pub down: bool,
    /// Calls hang until the fault is cleared, and nothing takes effect.
    pub hang: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Reads and watches are answered as of the moment this was switched on.
    pub older: bool,
}
