//! Accepting a sheet: one compare-and-swap on the head key.
//!
//! The write is conditional on the revision that was read, so of two racing
//! operators one loses and is told what changed. When the answer to the write
//! is lost, the head is read back and searched for the write id. Only when the
//! head is certainly untouched is the same conditional write sent again: since
//! both copies expect the same revision, at most one can take effect.

mod attempt;
pub mod head;
#[cfg(test)]
mod tests;

use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;

use crate::sheet::{self, Delta, Sheet};
use crate::store::{self, Client, WriteId};

use crate::plan::Version;

use head::Stored;

use attempt::{Attempt, Settled};

/// How a sheet is to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Fresh for every attempt to accept a sheet.
    pub write_id: WriteId,
    /// Version the operator's change was made for; any when absent.
    pub base: Option<Version>,
    /// Newest version that nodes are known to follow, in case the store has
    /// lost it. Nodes never go back, so the sheet must get a higher one.
    pub after: Version,
    /// How often a lost answer is followed up.
    pub settle_attempts: u32,
    /// Pause before the first follow-up; doubles with each.
    pub settle_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            write_id: WriteId(rand::random()),
            base: None,
            after: Version(0),
            settle_attempts: 6,
            settle_pause: Duration::from_millis(50),
        }
    }
}

/// What became of a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The sheet is in force.
    Accepted {
        /// Its version.
        version: Version,
        /// What it changed.
        delta: Delta,
    },
    /// The sheet was in force already.
    Same {
        /// Its version.
        version: Version,
    },
    /// Another sheet came first; nothing was changed.
    Conflict(Conflict),
}

/// The change that came first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version the refused sheet was to follow.
    pub base: Version,
    /// Version in force.
    pub version: Version,
    /// What changed between the two; absent when the older is no longer kept.
    pub delta: Option<Delta>,
}

/// Why nothing is known to have been accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Error {
    /// {0}
    Store(store::Error),
    /// it is not known whether the sheet took effect ({0}); run diff, which tells, before applying again
    Unknown(store::Error),
    /// the sheet of version {version} in the store has faults, the first: {fault}; nothing was changed, use the release of this tool that the nodes run
    Damaged {
        /// Version that cannot be read.
        version: Version,
        /// First fault.
        fault: String,
    },
    /// other sheets are accepted faster than this one can be compared; nothing was changed, try again
    Busy,
}

impl std::error::Error for Error {}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

/// The sheet in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Current {
    /// Its version; zero when none has been accepted.
    pub version: Version,
    /// The sheet; empty when none has been accepted.
    pub sheet: Sheet,
    stored: Option<Stored>,
}

/// How often parts that vanish while they are read are looked for anew.
const READ_ATTEMPTS: u32 = 4;

/// Reads the sheet in force.
///
/// # Errors
///
/// Fails when the store is out of reach or holds a sheet with faults.
pub async fn current(client: &impl Client) -> Result<Current, Error> {
    for _ in 0..READ_ATTEMPTS {
        let Some(stored) = head::read(client).await? else {
            return Ok(Current::default());
        };
        if let Some(text) = head::read_text(client, &stored.head).await? {
            return read_current(stored, &text);
        }
    }
    Err(Error::Busy)
}

fn read_current(stored: Stored, text: &str) -> Result<Current, Error> {
    let version = stored.head.version;
    let sheet = sheet::parse(text.as_bytes()).map_err(|faults| Error::Damaged {
        version,
        fault: faults.first().map(ToString::to_string).unwrap_or_default(),
    })?;
    Ok(Current {
        version,
        sheet,
        stored: Some(stored),
    })
}

/// Accepts `sheet` in place of whatever is in force.
///
/// # Errors
///
/// See [`Error`] for what is known of the outcome.
pub async fn accept(client: &impl Client, sheet: &Sheet) -> Result<Acceptance, Error> {
    accept_with(client, sheet, &Settings::default()).await
}

/// Accepts `sheet` as `settings` say.
///
/// # Errors
///
/// See [`Error`] for what is known of the outcome.
pub async fn accept_with(
    client: &impl Client,
    sheet: &Sheet,
    settings: &Settings,
) -> Result<Acceptance, Error> {
    let current = current(client).await?;
    let known = current.stored.is_some() && current.version >= settings.after;
    if known && current.sheet == *sheet {
        return Ok(Acceptance::Same {
            version: current.version,
        });
    }
    let base = settings.base.unwrap_or(current.version);
    if base != current.version {
        return Ok(Acceptance::Conflict(current.conflict(base, None)));
    }
    let attempt = Attempt::prepare(client, sheet, settings, &current).await?;
    match attempt.write(client).await? {
        Settled::InForce => {
            attempt.tidy(client).await;
            Ok(Acceptance::Accepted {
                version: attempt.head.version,
                delta: current.sheet.diff(sheet),
            })
        }
        Settled::Lost(winner) => {
            let winner = read_winner(client, winner).await?;
            let conflict = winner.conflict(base, Some(&current.sheet));
            Ok(Acceptance::Conflict(conflict))
        }
    }
}

/// One remembered acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Entry {
    /// Version that was put in force.
    pub version: Version,
    /// Rows that differ from the version before, when still kept.
    pub changes: Option<usize>,
}

impl Current {
    /// The sheet that was in force as `version`, when it is still kept.
    #[must_use]
    pub fn at(&self, version: Version) -> Option<Sheet> {
        let stored = self.stored.as_ref()?;
        stored.head.past_sheet(version, &self.sheet)
    }

    /// Remembered acceptances, newest first.
    #[must_use]
    pub fn history(&self) -> Vec<Entry> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let past = &stored.head.past;
        let versions = std::iter::once(self.version).chain(past.iter().map(|past| past.version));
        let deltas = past.iter().map(|past| past.delta.as_ref());
        let changes = deltas.map(|delta| delta.map(|delta| delta.changes.len()));
        versions
            .zip(changes.chain(std::iter::once(None)))
            .map(|(version, changes)| Entry { version, changes })
            .collect()
    }

    fn conflict(&self, base: Version, before: Option<&Sheet>) -> Conflict {
        let before = before.cloned().or_else(|| self.at(base));
        Conflict {
            base,
            version: self.version,
            delta: before.map(|sheet| sheet.diff(&self.sheet)),
        }
    }
}

/// The head that refused a write is newer than any that is read later from a
/// store with old answers.
async fn read_winner(client: &impl Client, winner: Option<Stored>) -> Result<Current, Error> {
    if let Some(stored) = winner
        && let Some(text) = head::read_text(client, &stored.head).await?
    {
        return read_current(stored, &text);
    }
    current(client).await
}
