//! What is wrong with one cell of a sheet.

use std::fmt;

use serde::Serialize;

/// Characters of a cell that a fault repeats.
const VALUE_CHARS_MAX: usize = 60;

/// One reason to refuse a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Fault {
    /// Row as a spreadsheet counts it, from 1.
    pub row: usize,
    /// Column as a spreadsheet counts it, from 1.
    pub column: usize,
    /// Heading of the column, when it has one.
    pub heading: String,
    /// The cell as it was found, cut when it is long.
    pub value: String,
    /// What to write instead.
    pub remedy: String,
}

impl Fault {
    pub(super) fn new(row: usize, column: usize, heading: &str, value: &str, remedy: &str) -> Self {
        Self {
            row,
            column,
            heading: heading.to_owned(),
            value: shorten(value),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}, column {}", self.row, letters(self.column))?;
        if !self.heading.is_empty() {
            write!(f, " ({})", self.heading)?;
        }
        write!(f, ", value {:?}: {}", self.value, self.remedy)
    }
}

impl std::error::Error for Fault {}

fn shorten(value: &str) -> String {
    match value.char_indices().nth(VALUE_CHARS_MAX) {
        Some((end, _)) => format!("{}…", &value[..end]),
        None => value.to_owned(),
    }
}

/// Column number in the letters of a spreadsheet: 1 is A, 27 is AA.
fn letters(column: usize) -> String {
    let mut rest = column;
    let mut letters = Vec::new();
    while rest > 0 {
        rest -= 1;
        let offset = u8::try_from(rest % 26).unwrap_or_default();
        letters.push(char::from(b'A' + offset));
        rest /= 26;
    }
    letters.iter().rev().collect()
}
