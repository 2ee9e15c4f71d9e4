//! Texts of accepted sheets: the newest, and a few before it.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::delta::Delta;
use crate::plan::Version;

/// Texts kept to make deltas of.
const KEPT_TEXTS_MAX: usize = 8;

/// Names one text. Higher is newer; the digest decides between texts that a
/// store has given the same version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TextId {
    /// Number of the accepted sheet.
    pub version: Version,
    /// Digest of its text.
    pub digest: u64,
}

/// Text of an accepted sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SheetText {
    version: Version,
    text: String,
}

impl SheetText {
    /// The text of sheet number `version`.
    #[must_use]
    pub const fn new(version: Version, text: String) -> Self {
        Self { version, text }
    }

    /// The canonical sheet.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Name of this text.
    #[must_use]
    pub fn stamp(&self) -> TextId {
        TextId {
            version: self.version,
            digest: xxh3_64(self.text.as_bytes()),
        }
    }
}

/// What a node answers to a peer that asks for the newest text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Update {
    /// There is nothing newer.
    Current,
    /// The difference from the text that the peer has.
    Delta(Delta),
    /// The whole text.
    Full(SheetText),
}

/// The newest text and a few before it.
#[derive(Clone, Debug, Default)]
pub struct TextHistory {
    kept: VecDeque<KeptText>,
}

#[derive(Clone, Debug)]
struct KeptText {
    stamp: TextId,
    text: Arc<SheetText>,
}

impl TextHistory {
    /// Name of the newest text.
    #[must_use]
    pub fn stamp(&self) -> TextId {
        self.kept
            .back()
            .map_or_else(TextId::default, |kept| kept.stamp)
    }

    /// The newest text.
    #[must_use]
    pub fn newest(&self) -> Option<Arc<SheetText>> {
        self.kept.back().map(|kept| Arc::clone(&kept.text))
    }

    /// Takes in `text`, which must be newer than all before.
    pub fn push(&mut self, text: SheetText) {
        let stamp = text.stamp();
        debug_assert!(stamp > self.stamp(), "texts only move forward");
        let text = Arc::new(text);
        self.kept.push_back(KeptText { stamp, text });
        if self.kept.len() > KEPT_TEXTS_MAX {
            self.kept.pop_front();
        }
    }

    /// What a peer that has `have` must be told.
    #[must_use]
    pub fn update(&self, have: TextId) -> Update {
        let Some(newest) = self.kept.back() else {
            return Update::Current;
        };
        if have >= newest.stamp {
            return Update::Current;
        }
        self.delta_from(have)
            .map_or_else(|| Update::Full((*newest.text).clone()), Update::Delta)
    }

    /// The difference from the text before the newest.
    #[must_use]
    pub fn last_delta(&self) -> Option<Delta> {
        let before = self.kept.len().checked_sub(2)?;
        self.delta_from(self.kept.get(before)?.stamp)
    }

    /// The text that `delta` makes, if its base is kept.
    #[must_use]
    pub fn apply(&self, delta: &Delta) -> Option<SheetText> {
        let base = self.kept.iter().find(|kept| kept.stamp == delta.base)?;
        delta.apply(&base.text)
    }

    fn delta_from(&self, base: TextId) -> Option<Delta> {
        let newest = self.kept.back()?;
        let base = self.kept.iter().find(|kept| kept.stamp == base)?;
        let delta = Delta::between(&base.text, &newest.text);
        (delta.size_bytes() < newest.text.as_str().len()).then_some(delta)
    }
}
