//! Accepting a sheet: one compare-and-swap on the head key.
//!
//! The write is conditional on the revision that was read, so of two racing
//! operators one loses and is told what changed. When the answer to the write
//! is lost, the head is read back and searched for the write id. Only when the
//! head is certainly untouched is the same conditional write sent again: since
//! both copies expect the same revision, at most one can take effect.

use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;

use crate::sheet::{self, Delta, Sheet};
use crate::store::{self, Client, Expect, Outcome, Record, Write, WriteId};

use super::Version;
use super::head::{self, HEAD_KEY, Head, Stored};

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
#[derive(Clone, Debug, PartialEq, Eq, Display)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
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

/// How a write ended for certain.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Settled {
    /// It took effect.
    InForce,
    /// The head was another by then, or gone.
    Lost(Option<Stored>),
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

/// One conditional write of a new head.
struct Attempt<'a> {
    settings: &'a Settings,
    base: Option<&'a Stored>,
    head: Head,
    value: String,
}

impl<'a> Attempt<'a> {
    async fn prepare(
        client: &impl Client,
        sheet: &Sheet,
        settings: &'a Settings,
        current: &'a Current,
    ) -> Result<Self, Error> {
        let digest = sheet.digest();
        let write_id = settings.write_id;
        let text = head::place(client, write_id, digest, sheet.to_csv()).await?;
        let base = current.stored.as_ref();
        let before = base.map(|stored| stored.head.clone()).unwrap_or_default();
        let delta = current.sheet.diff(sheet);
        let version = Version(before.version.max(settings.after).0 + 1);
        let head = before.successor(version, write_id, digest, text, delta);
        let value = serde_json::to_string(&head).map_err(|error| store::Error::Refused {
            cause: error.to_string(),
        })?;
        Ok(Self {
            settings,
            base,
            head,
            value,
        })
    }

    /// Writes the head and follows a lost answer up.
    async fn write(&self, client: &impl Client) -> Result<Settled, Error> {
        let mut pause = self.settings.settle_pause;
        let mut lost = match self.send(client).await? {
            Sent::Settled(settled) => return Ok(settled),
            Sent::Unknown(cause) => cause,
        };
        for _ in 0..self.settings.settle_attempts {
            tokio::time::sleep(pause).await;
            pause *= 2;
            match self.follow_up(client).await {
                Ok(Sent::Settled(settled)) => return Ok(settled),
                Ok(Sent::Unknown(cause)) => lost = cause,
                Err(error) => lost = error,
            }
        }
        Err(Error::Unknown(lost))
    }

    async fn send(&self, client: &impl Client) -> store::Result<Sent> {
        let expect = self
            .base
            .map_or(Expect::Absent, |stored| Expect::Revision(stored.revision));
        let write = Write {
            key: HEAD_KEY.to_owned(),
            value: Some(self.value.clone()),
            expect,
            lease: None,
            id: self.settings.write_id,
        };
        Ok(match client.write(write).await? {
            Outcome::Applied(_) => Sent::Settled(Settled::InForce),
            Outcome::NotApplied(found) => self.judge(found.as_ref())?,
            Outcome::Unknown => Sent::unknown("the answer to the write was lost"),
        })
    }

    /// Reads the head back, and sends the same conditional write again only
    /// when the head is the one that the write expects.
    async fn follow_up(&self, client: &impl Client) -> store::Result<Sent> {
        let found = client.get(HEAD_KEY).await?;
        let revision = found.as_ref().map(|record| record.revision);
        let expected = self.base.map(|stored| stored.revision);
        if revision == expected {
            return self.send(client).await;
        }
        if revision < expected {
            return Ok(Sent::unknown("the store answers with an older head"));
        }
        self.judge(found.as_ref())
    }

    /// Looks for the write in a head that is not the expected one.
    fn judge(&self, found: Option<&Record>) -> store::Result<Sent> {
        let Some(record) = found else {
            return Ok(Sent::Settled(Settled::Lost(None)));
        };
        let stored = head::decode(record)?;
        let head = &stored.head;
        if head.version_of(self.settings.write_id).is_some() {
            return Ok(Sent::Settled(Settled::InForce));
        }
        if head.remembers_since(self.base_version()) {
            Ok(Sent::Settled(Settled::Lost(Some(stored))))
        } else {
            Ok(Sent::unknown("too many sheets were accepted since"))
        }
    }

    fn base_version(&self) -> Version {
        self.base.map_or(Version(0), |stored| stored.head.version)
    }

    /// Removes parts that no reader can still need. What stays behind after a
    /// failure takes room and does no harm.
    async fn tidy(&self, client: &impl Client) {
        for key in self.head.stale_parts() {
            let write = Write {
                key,
                value: None,
                expect: Expect::Anything,
                lease: None,
                id: self.settings.write_id,
            };
            if client.write(write).await.is_err() {
                return;
            }
        }
    }
}

/// What one exchange with the store told of a write.
enum Sent {
    Settled(Settled),
    Unknown(store::Error),
}

impl Sent {
    fn unknown(cause: &str) -> Self {
        Self::Unknown(store::Error::Refused {
            cause: cause.to_owned(),
        })
    }
}
