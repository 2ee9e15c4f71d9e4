//! Decides what the word of a report on a cold backend server is worth. Pure.
//!
//! A report may come seconds late and tell how things were when it was sent. An answer of the health
//! endpoint is of this moment, and is asked for many times a second. While it tells whether the
//! backend server is cold, a report may only lengthen the cold time, until the next answer.

use std::time::Duration;

use crate::clock::Time;
use crate::gate::Signal;

/// Time without word of the health endpoint after which reports are believed. It is longer than a
/// report is late.
const HEALTH_SILENCE_MAX: Duration = Duration::from_secs(5);

/// Who has told whether the backend server is cold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdTime {
    process: String,
    /// When the health endpoint told it last, or else when the process was heard of.
    told_at: Time,
}

impl ColdTime {
    /// Takes in the cold time that the health endpoint tells.
    pub fn on_health(&mut self, now: Time, process: &str, cold_for: Duration) -> Signal {
        self.follow(now, process);
        self.told_at = now;
        Signal::ColdFor(cold_for)
    }

    /// Takes in the cold time that a report tells.
    pub fn on_report(&mut self, now: Time, process: &str, cold_for: Duration) -> Signal {
        self.follow(now, process);
        if now.since(self.told_at) < HEALTH_SILENCE_MAX {
            Signal::ColdAtLeast(cold_for)
        } else {
            Signal::ColdFor(cold_for)
        }
    }

    fn follow(&mut self, now: Time, process: &str) {
        if self.process != process {
            process.clone_into(&mut self.process);
            self.told_at = now;
        }
    }
}
