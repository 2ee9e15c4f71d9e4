//! One conditional write of a new head, followed up until its outcome is known.

use crate::acceptance::head::{self, HEAD_KEY, Head, Stored};
use crate::plan::Version;
use crate::sheet::Sheet;
use crate::store::{self, Client, Expect, Outcome, Record, Write};

use super::{Current, Error, Settings};

/// How a write ended for certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settled {
    /// It took effect.
    InForce,
    /// The head was another by then, or gone.
    Lost(Option<Stored>),
}

/// One conditional write of a new head.
pub(super) struct Attempt<'a> {
    settings: &'a Settings,
    base: Option<&'a Stored>,
    pub(super) head: Head,
    value: String,
}

impl<'a> Attempt<'a> {
    pub(super) async fn prepare(
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
    pub(super) async fn write(&self, client: &impl Client) -> Result<Settled, Error> {
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
    pub(super) async fn tidy(&self, client: &impl Client) {
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
