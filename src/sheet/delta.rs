//! The difference between two sheets, by rows.

use std::fmt;

use displaydoc::Display as Describe;
use serde::{Deserialize, Serialize};

use super::column::Column;
use super::row::{Key, Row};
use super::{Fault, Sheet, parse, write};

/// What turns one sheet into another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Differences in the order of their keys.
    pub changes: Vec<Change>,
}

/// One row that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Which row.
    pub key: Key,
    /// The row before; absent when it is new.
    pub before: Option<Row>,
    /// The row after; absent when it is gone.
    pub after: Option<Row>,
}

/// Why a delta does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Describe)]
pub enum Error {
    /// the delta was made for another sheet, in which {0} is different; fetch the whole sheet
    Base(Key),
    /// the delta leads to a sheet with {0:?}; fetch the whole sheet
    Invalid(Vec<Fault>),
}

impl std::error::Error for Error {}

impl Delta {
    /// Whether both sheets are the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The delta that leads back.
    #[must_use]
    pub fn reversed(&self) -> Self {
        let back = |change: &Change| Change {
            key: change.key.clone(),
            before: change.after.clone(),
            after: change.before.clone(),
        };
        Self {
            changes: self.changes.iter().map(back).collect(),
        }
    }

    pub(super) fn apply(&self, before: &Sheet) -> Result<Sheet, Error> {
        let mut after = before.clone();
        for change in &self.changes {
            if after.rows.get(&change.key) != change.before.as_ref() {
                return Err(Error::Base(change.key.clone()));
            }
            match &change.after {
                Some(row) => after.rows.insert(change.key.clone(), row.clone()),
                None => after.rows.remove(&change.key),
            };
        }
        let sheet = parse(after.to_csv().as_bytes()).map_err(Error::Invalid)?;
        if sheet == after {
            Ok(sheet)
        } else {
            Err(Error::Invalid(Vec::new()))
        }
    }

    pub(super) fn between(before: &Sheet, after: &Sheet) -> Self {
        let mut keys: Vec<&Key> = before.rows.keys().chain(after.rows.keys()).collect();
        keys.sort();
        keys.dedup();
        let differs = |key: &&Key| before.rows.get(*key) != after.rows.get(*key);
        let changes = keys.into_iter().filter(differs);
        Self {
            changes: changes
                .map(|key| Change {
                    key: key.clone(),
                    before: before.rows.get(key).cloned(),
                    after: after.rows.get(key).cloned(),
                })
                .collect(),
        }
    }
}

impl fmt::Display for Delta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            change.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                let cells = differing_cells(&self.key, before, after);
                writeln!(f, "~ {}: {}", self.key, cells.join(", "))
            }
            (Some(row), None) => writeln!(f, "- {}", write::line(&self.key, row)),
            (None, Some(row)) => writeln!(f, "+ {}", write::line(&self.key, row)),
            (None, None) => Ok(()),
        }
    }
}

fn differing_cells(key: &Key, before: &Row, after: &Row) -> Vec<String> {
    let before = write::cells(key, before);
    let after = write::cells(key, after);
    let pairs = Column::ALL.into_iter().zip(before.into_iter().zip(after));
    pairs
        .filter(|(_, (before, after))| before != after)
        .map(|(column, (before, after))| {
            format!("{column} {} -> {}", shown(&before), shown(&after))
        })
        .collect()
}

fn shown(cell: &str) -> &str {
    if cell.is_empty() { "(blank)" } else { cell }
}
