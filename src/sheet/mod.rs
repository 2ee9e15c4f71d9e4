//! The sheet: the routing plan as operators write it.
//!
//! A sheet is one CSV table (RFC 4180) as spreadsheets export it. Each row
//! declares a region, an availability zone, a service, a tenant or a route;
//! docs/SHEET.md describes the columns. [`parse`] either returns the whole
//! sheet or everything that is wrong with it. [`Sheet::to_csv`] is canonical:
//! two sheets that say the same have the same text and the same digest.

mod check;
pub mod column;
mod compile;
mod decode;
pub mod delta;
pub mod example;
mod fault;
mod read;
pub mod row;
#[cfg(test)]
mod tests;
mod write;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::plan::{Plan, Version};

pub use delta::{Change, Delta};
pub use fault::Fault;
pub use read::SHEET_BYTES_MAX;

use decode::Heading;
use row::{Key, Row};

/// A sheet without faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sheet {
    rows: BTreeMap<Key, Row>,
}

/// Reads a sheet.
///
/// # Errors
///
/// Returns every fault, in the order of rows and columns.
pub fn parse(bytes: &[u8]) -> Result<Sheet, Vec<Fault>> {
    let mut faults = Vec::new();
    let rows = read::rows(bytes, &mut faults);
    let Some((first, rest)) = rows.split_first() else {
        if faults.is_empty() {
            let remedy = "fill the sheet; monsooncove-sheet example prints one";
            faults.push(Fault::new(1, 1, "", "", remedy));
        }
        return Err(faults);
    };
    let heading = Heading::read(first, &mut faults);
    let decoded: Vec<_> = rest
        .iter()
        .map(|cells| decode::decode(&heading, cells, &mut faults))
        .collect();
    check::check(&heading, &decoded, &mut faults);
    if !faults.is_empty() {
        faults.sort_by_key(|fault| (fault.row, fault.column));
        drop_repeated(&mut faults);
        return Err(faults);
    }
    let rows = decoded.into_iter();
    let rows = rows.filter_map(|decoded| decoded.key.zip(decoded.value));
    Ok(Sheet {
        rows: rows.collect(),
    })
}

/// A cell that is not UTF-8 is not a name either; one fault says enough.
fn drop_repeated(faults: &mut Vec<Fault>) {
    faults.dedup_by(|fault, earlier| {
        let same_cell = fault.row == earlier.row && fault.column == earlier.column;
        same_cell && earlier.remedy == read::UTF8_REMEDY
    });
}

impl Sheet {
    /// All rows in canonical order.
    pub fn rows(&self) -> impl Iterator<Item = (&Key, &Row)> {
        self.rows.iter()
    }

    /// Number of rows below the heading.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the sheet declares nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The canonical text.
    #[must_use]
    pub fn to_csv(&self) -> String {
        write::to_csv(self)
    }

    /// Hash of the canonical text.
    #[must_use]
    pub fn digest(&self) -> u64 {
        xxh3_64(self.to_csv().as_bytes())
    }

    /// The plan that nodes follow once the sheet is accepted as `version`.
    #[must_use]
    pub fn plan(&self, version: Version) -> Plan {
        compile::plan(self, version)
    }

    /// What turns this sheet into `after`.
    #[must_use]
    pub fn diff(&self, after: &Self) -> Delta {
        Delta::between(self, after)
    }

    /// The sheet that `delta` leads to.
    ///
    /// # Errors
    ///
    /// Fails when `delta` was made for another sheet or leads to one with faults.
    pub fn apply(&self, delta: &Delta) -> Result<Self, delta::Error> {
        delta.apply(self)
    }
}
