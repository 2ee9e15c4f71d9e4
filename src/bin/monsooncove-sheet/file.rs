//! Reads sheets from files and standard input.

use std::fs::File;
use std::io::{self, Read};

use monsooncove::sheet::{self, SHEET_BYTES_MAX, Sheet};

use crate::check;
use crate::exit::{Exit, Failure, Result};

/// Name of standard input on the command line.
pub const STDIN: &str = "-";

/// Name of `path` in messages.
pub fn name(path: &str) -> &str {
    if path == STDIN {
        "standard input"
    } else {
        path
    }
}

/// Reads `path` up to just past the size limit of a sheet.
pub fn read(path: &str) -> Result<Vec<u8>> {
    open(path).map_err(|error| {
        let name = name(path);
        let message = format!("cannot read {name} ({error}); give the path of a sheet, or -");
        Failure::new(Exit::Usage, &message)
    })
}

fn open(path: &str) -> io::Result<Vec<u8>> {
    if path == STDIN {
        read_bounded(io::stdin().lock())
    } else {
        read_bounded(File::open(path)?)
    }
}

fn read_bounded(source: impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    source
        .take(SHEET_BYTES_MAX as u64 + 1)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads the sheet in `path`, or reports all of its faults.
pub fn sheet(path: &str) -> Result<Sheet> {
    sheet::parse(&read(path)?).map_err(|faults| check::refused(path, &faults))
}
