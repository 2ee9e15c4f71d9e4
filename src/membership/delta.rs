//! Differences between two texts, by lines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::text::{SheetText, TextId};

/// How to make one text of another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Text it applies to.
    pub base: TextId,
    /// Text it makes.
    pub stamp: TextId,
    /// Steps from the first line to the last.
    pub edits: Vec<Edit>,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Edit {
    /// Takes over so many lines.
    Keep(u32),
    /// Leaves out so many lines.
    Drop(u32),
    /// Puts in lines.
    Insert(String),
}

impl Delta {
    /// The difference from `base` to `text`.
    #[must_use]
    pub fn between(base: &SheetText, text: &SheetText) -> Self {
        Self {
            base: base.stamp(),
            stamp: text.stamp(),
            edits: edits(&lines(base.as_str()), &lines(text.as_str())),
        }
    }

    /// The text that this makes of `base`; nothing when it does not fit.
    #[must_use]
    pub fn apply(&self, base: &SheetText) -> Option<SheetText> {
        if base.stamp() != self.base {
            return None;
        }
        let old = lines(base.as_str());
        let mut rest = old.as_slice();
        let mut new = String::with_capacity(base.as_str().len());
        for edit in &self.edits {
            match edit {
                Edit::Keep(count) => {
                    let (kept, after) = rest.split_at_checked(*count as usize)?;
                    new.extend(kept.iter().copied());
                    rest = after;
                }
                Edit::Drop(count) => rest = rest.get(*count as usize..)?,
                Edit::Insert(lines) => new.push_str(lines),
            }
        }
        let text = SheetText::new(self.stamp.version, new);
        (text.stamp() == self.stamp).then_some(text)
    }

    /// Approximate size on the wire, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let size = |edit: &Edit| match edit {
            Edit::Keep(_) | Edit::Drop(_) => 4,
            Edit::Insert(lines) => 4 + lines.len(),
        };
        self.edits.iter().map(size).sum()
    }
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn edits(old: &[&str], new: &[&str]) -> Vec<Edit> {
    let positions = positions(new);
    let old_positions = self::positions(old);
    let mut edit_script = EditScript::default();
    let (mut i, mut j) = (0, 0);
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            edit_script.keep();
            i += 1;
            j += 1;
            continue;
        }
        let inserted = next_position(&positions, old[i], j).map(|found| found - j);
        let dropped = next_position(&old_positions, new[j], i).map(|found| found - i);
        match (inserted, dropped) {
            (Some(inserted_lines), dropped_lines)
                if dropped_lines.is_none_or(|dropped_lines| inserted_lines <= dropped_lines) =>
            {
                edit_script.insert(new[j]);
                j += 1;
            }
            (_, Some(_)) => {
                edit_script.drop();
                i += 1;
            }
            _ => {
                edit_script.drop();
                edit_script.insert(new[j]);
                i += 1;
                j += 1;
            }
        }
    }
    for _ in &old[i..] {
        edit_script.drop();
    }
    for line in &new[j..] {
        edit_script.insert(line);
    }
    edit_script.edits
}

fn positions<'a>(lines: &[&'a str]) -> BTreeMap<&'a str, Vec<usize>> {
    let mut positions: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (position, line) in lines.iter().enumerate() {
        positions.entry(line).or_default().push(position);
    }
    positions
}

fn next_position(
    positions: &BTreeMap<&str, Vec<usize>>,
    line: &str,
    after: usize,
) -> Option<usize> {
    let found = positions.get(line)?;
    found
        .get(found.partition_point(|position| *position < after))
        .copied()
}

#[derive(Default)]
struct EditScript {
    edits: Vec<Edit>,
}

impl EditScript {
    fn keep(&mut self) {
        if let Some(Edit::Keep(count)) = self.edits.last_mut() {
            *count += 1;
        } else {
            self.edits.push(Edit::Keep(1));
        }
    }

    fn drop(&mut self) {
        if let Some(Edit::Drop(count)) = self.edits.last_mut() {
            *count += 1;
        } else {
            self.edits.push(Edit::Drop(1));
        }
    }

    fn insert(&mut self, line: &str) {
        if let Some(Edit::Insert(lines)) = self.edits.last_mut() {
            lines.push_str(line);
        } else {
            self.edits.push(Edit::Insert(line.to_owned()));
        }
    }
}
