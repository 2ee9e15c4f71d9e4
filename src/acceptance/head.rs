//! How the accepted sheet is kept in the store.
//!
//! One key, [`HEAD_KEY`], says which sheet is in force. A sheet that fits
//! stands in the head itself; a larger one stands in parts that are written
//! before the head names them and never change.

use serde::{Deserialize, Serialize};

use crate::sheet::{Delta, Sheet};
use crate::store::{self, Client, Expect, Outcome, Record, Revision, WriteId};

use crate::plan::Version;

/// Key of the head.
pub const HEAD_KEY: &str = "/monsooncove/plan/head";
/// Start of the keys of parts.
pub const PART_PREFIX: &str = "/monsooncove/plan/part/";
/// Longest text of one part, so that a value stays under a megabyte.
pub const PART_BYTES_MAX: usize = 900_000;
/// Longest text inside the head, which grows when JSON escapes it.
pub const INLINE_BYTES_MAX: usize = 400_000;
/// Acceptances that the head remembers.
pub const PAST_LEN_MAX: usize = 32;
/// Size of the deltas that the head remembers, as JSON.
pub const PAST_BYTES_MAX: usize = 65_536;
/// Acceptances before the one in force whose parts may still be being read.
pub const PAST_PARTS_LEN: usize = 1;

/// What the head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Version in force.
    pub version: Version,
    /// Write that put it in force.
    pub write_id: WriteId,
    /// Digest of the sheet.
    pub digest: u64,
    /// Canonical text, unless it is kept in parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Keys whose values make up the text, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// Acceptances before this one, newest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub past: Vec<Past>,
}

/// An earlier acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Past {
    /// Version that was in force.
    pub version: Version,
    /// Write that put it in force.
    pub write_id: WriteId,
    /// Digest of the sheet.
    pub digest: u64,
    /// Keys of its parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// What the acceptance after it changed; absent when that was too much.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
}

/// A head with the revision it was read at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// What the head says.
    pub head: Head,
    /// Revision of the head key.
    pub revision: Revision,
}

/// Where the text of a sheet stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Text {
    /// In the head.
    Inline(String),
    /// Under these keys.
    Parts(Vec<String>),
}

impl Head {
    /// The head that puts a sheet in force after this one.
    #[must_use]
    pub fn successor(
        &self,
        version: Version,
        write_id: WriteId,
        digest: u64,
        text: Text,
        delta: Delta,
    ) -> Self {
        let (text, parts) = match text {
            Text::Inline(text) => (Some(text), Vec::new()),
            Text::Parts(keys) => (None, keys),
        };
        Self {
            version,
            write_id,
            digest,
            text,
            parts,
            past: self.past_with(delta),
        }
    }

    fn past_with(&self, delta: Delta) -> Vec<Past> {
        if self.version == Version(0) {
            return Vec::new();
        }
        let own = Past {
            version: self.version,
            write_id: self.write_id,
            digest: self.digest,
            parts: self.parts.clone(),
            delta: Some(delta),
        };
        let all = std::iter::once(own).chain(self.past.iter().cloned());
        let mut past: Vec<Past> = all.take(PAST_LEN_MAX).collect();
        forget_large(&mut past);
        past
    }

    /// The version that `write_id` put in force, as far as remembered.
    #[must_use]
    pub fn version_of(&self, write_id: WriteId) -> Option<Version> {
        if self.write_id == write_id {
            return Some(self.version);
        }
        let past = self.past.iter().find(|past| past.write_id == write_id);
        past.map(|past| past.version)
    }

    /// Whether every acceptance after `version` is remembered.
    #[must_use]
    pub fn remembers_since(&self, version: Version) -> bool {
        let oldest = self.past.last().map_or(self.version, |past| past.version);
        oldest.0 <= version.0 + 1
    }

    /// The sheet that was in force as `version`, given the one in force now;
    /// absent when it is no longer remembered.
    #[must_use]
    pub fn past_sheet(&self, version: Version, now: &Sheet) -> Option<Sheet> {
        let mut sheet = now.clone();
        if version == self.version {
            return Some(sheet);
        }
        for past in &self.past {
            let back = past.delta.as_ref()?.reversed();
            sheet = sheet.apply(&back).ok()?;
            if past.version == version {
                return Some(sheet);
            }
        }
        None
    }

    /// Keys of parts that no reader can still need.
    #[must_use]
    pub fn stale_parts(&self) -> Vec<String> {
        let (recent, old) = self.past.split_at(self.past.len().min(PAST_PARTS_LEN));
        let needed = |key: &String| {
            self.parts.contains(key) || recent.iter().any(|past| past.parts.contains(key))
        };
        let keys = old.iter().flat_map(|past| &past.parts);
        keys.filter(|key| !needed(key)).cloned().collect()
    }
}

/// Drops deltas past the size limit, oldest first, and keys of parts that the
/// acceptance before this one has already removed.
fn forget_large(past: &mut [Past]) {
    let mut left = PAST_BYTES_MAX;
    for (index, past) in past.iter_mut().enumerate() {
        let size = serde_json::to_string(&past.delta).map_or(usize::MAX, |json| json.len());
        left = left.saturating_sub(size);
        if left == 0 {
            past.delta = None;
        }
        if index > PAST_PARTS_LEN {
            past.parts.clear();
        }
    }
}

/// Key of one part.
#[must_use]
pub fn part_key(digest: u64, index: usize) -> String {
    format!("{PART_PREFIX}{digest:016x}-{index}")
}

/// Decodes the head from its record.
///
/// # Errors
///
/// Fails when the value is not a head.
pub fn decode(record: &Record) -> store::Result<Stored> {
    let head = serde_json::from_str(&record.value).map_err(|error| store::Error::Refused {
        cause: format!("{HEAD_KEY} holds no plan head ({error})"),
    })?;
    Ok(Stored {
        head,
        revision: record.revision,
    })
}

/// Reads the head; absent when no sheet has been accepted.
///
/// # Errors
///
/// Fails when the store is out of reach or holds something else.
pub async fn read(client: &impl Client) -> store::Result<Option<Stored>> {
    let record = client.get(HEAD_KEY).await?;
    record.as_ref().map(decode).transpose()
}

/// Reads the text that `head` names; absent when a later acceptance has
/// already removed its parts.
///
/// # Errors
///
/// Fails when the store is out of reach.
pub async fn read_text(client: &impl Client, head: &Head) -> store::Result<Option<String>> {
    let mut text = head.text.clone().unwrap_or_default();
    for key in &head.parts {
        let Some(record) = client.get(key).await? else {
            return Ok(None);
        };
        text.push_str(&record.value);
    }
    Ok(Some(text))
}

/// Puts `text` where a head can name it. Parts are named by their content, so
/// writing one again changes nothing.
///
/// # Errors
///
/// Fails when the store is out of reach or does not confirm a part.
pub async fn place(
    client: &impl Client,
    write_id: WriteId,
    digest: u64,
    text: String,
) -> store::Result<Text> {
    if text.len() <= INLINE_BYTES_MAX {
        return Ok(Text::Inline(text));
    }
    let mut keys = Vec::new();
    for (index, part) in split(&text).into_iter().enumerate() {
        let key = part_key(digest, index);
        write_part(client, write_id, &key, part).await?;
        keys.push(key);
    }
    Ok(Text::Parts(keys))
}

async fn write_part(
    client: &impl Client,
    write_id: WriteId,
    key: &str,
    part: &str,
) -> store::Result<()> {
    let write = store::Write {
        key: key.to_owned(),
        value: Some(part.to_owned()),
        expect: Expect::Anything,
        lease: None,
        id: write_id,
    };
    if let Outcome::Applied(_) = client.write(write).await? {
        return Ok(());
    }
    let found = client.get(key).await?;
    if found.is_some_and(|record| record.value == part) {
        return Ok(());
    }
    Err(store::Error::Refused {
        cause: format!("it did not confirm {key}"),
    })
}

/// Cuts at line ends, or inside a line that is longer than a part.
fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > PART_BYTES_MAX {
        let most = rest.floor_char_boundary(PART_BYTES_MAX);
        let cut = rest[..most].rfind('\n').map_or(most, |end| end + 1);
        let (part, tail) = rest.split_at(cut);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}
