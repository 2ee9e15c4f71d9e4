//! What a coordinator knows of the status of one roll-out in the store. No I/O.
//!
//! A coordinator writes the status once before it acts on it. Each write is conditional on the
//! revision that was read, so the write of a coordinator that another one has succeeded fails, and
//! it learns what its successor recorded.

use std::time::Duration;

use super::{Saved, StoredStatus};
use crate::clock::Time;
use crate::plan::Rollout;
use crate::rollout::{State, Status};
use crate::store::Revision;

/// Pause after a call of the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Next call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads the status.
    Load,
    /// Writes a status if the record is at the revision.
    Save(Status, Option<Revision>),
}

/// The status of one roll-out as the store is known to hold it.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The record that was read or written last; `None` if it is not known.
    known: Option<StoredStatus>,
    /// Whether this coordinator has written it.
    is_own: bool,
    is_calling: bool,
    paused_until: Time,
}

impl Record {
    /// State that the store holds for `order`; `None` if it is not known.
    #[must_use]
    pub fn state(&self, order: &Rollout) -> Option<State> {
        let known = self.known.as_ref()?;
        let status = known.status.as_ref();
        let of_order = status.filter(|status| status.target_version == order.target_version);
        Some(of_order.map_or(State::Running, |status| status.state))
    }

    /// Whether the store has confirmed a write of this coordinator.
    #[must_use]
    pub const fn is_own(&self) -> bool {
        self.is_own
    }

    /// Returns the call to make so that the store holds `wanted`, and counts it as running.
    pub fn next_call(&mut self, now: Time, order: &Rollout, wanted: State) -> Option<Call> {
        if self.is_calling || now < self.paused_until {
            return None;
        }
        let call = match &self.known {
            None => Call::Load,
            Some(known) => {
                let status = Status {
                    service: order.service.clone(),
                    target_version: order.target_version.clone(),
                    state: wanted,
                };
                let is_stored = known.status.as_ref() == Some(&status);
                let is_settled = self.is_own || wanted != State::Running;
                if is_stored && is_settled {
                    return None;
                }
                Call::Save(status, known.revision)
            }
        };
        self.is_calling = true;
        Some(call)
    }

    /// Takes in the result of [`Call::Load`]; `None` if the store did not answer.
    pub fn on_loaded(&mut self, now: Time, loaded: Option<StoredStatus>) {
        self.is_calling = false;
        if loaded.is_none() {
            self.paused_until = now + RETRY_PAUSE;
        }
        self.known = loaded;
    }

    /// Takes in the result of [`Call::Save`]; `None` if the store did not answer.
    pub fn on_saved(&mut self, now: Time, status: Status, saved: Option<Saved>) {
        self.is_calling = false;
        match saved {
            Some(Saved::Yes(revision)) => {
                self.is_own = true;
                self.known = Some(StoredStatus {
                    status: Some(status),
                    revision: Some(revision),
                });
            }
            Some(Saved::Conflict(other)) => {
                self.is_own = false;
                self.known = Some(other);
            }
            Some(Saved::Unknown) | None => {
                self.known = None;
                self.paused_until = now + RETRY_PAUSE;
            }
        }
    }
}
