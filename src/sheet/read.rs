//! From bytes to cells: encoding, separators, quoting and blank rows.

use csv::{ByteRecord, ReaderBuilder};

use super::fault::Fault;

/// Largest sheet that is read.
pub const SHEET_BYTES_MAX: usize = 8 * 1024 * 1024;

/// What to do about cells in another encoding.
pub(super) const UTF8_REMEDY: &str = "export the sheet as CSV in UTF-8";

const UTF8_BOM: &[u8] = b"\xef\xbb\xbf";
const UTF16_BOMS: [&[u8]; 2] = [b"\xff\xfe", b"\xfe\xff"];

/// A row of cells with its number.
#[derive(Debug)]
pub(super) struct Cells {
    /// Row as a spreadsheet counts it, from 1.
    pub row: usize,
    /// Cells without surrounding blanks.
    pub cells: Vec<String>,
}

impl Cells {
    fn is_blank(&self) -> bool {
        self.cells.iter().all(String::is_empty)
    }
}

/// Splits a sheet into rows. Trailing blank rows are dropped.
pub(super) fn rows(bytes: &[u8], faults: &mut Vec<Fault>) -> Vec<Cells> {
    if let Some(fault) = unreadable(bytes) {
        faults.push(fault);
        return Vec::new();
    }
    let bytes = bytes.strip_prefix(UTF8_BOM).unwrap_or(bytes);
    let mut rows = split(bytes, faults);
    while rows.last().is_some_and(Cells::is_blank) {
        rows.pop();
    }
    reject_inner_blanks(&rows, faults);
    rows.retain(|row| !row.is_blank());
    rows
}

fn unreadable(bytes: &[u8]) -> Option<Fault> {
    if bytes.len() > SHEET_BYTES_MAX {
        let found = format!("{} bytes", bytes.len());
        let remedy = format!("keep the sheet under {SHEET_BYTES_MAX} bytes");
        return Some(Fault::new(1, 1, "", &found, &remedy));
    }
    let is_utf16 = UTF16_BOMS.iter().any(|bom| bytes.starts_with(bom));
    is_utf16.then(|| Fault::new(1, 1, "", "UTF-16", UTF8_REMEDY))
}

fn split(bytes: &[u8], faults: &mut Vec<Fault>) -> Vec<Cells> {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .delimiter(separator(bytes))
        .from_reader(bytes);
    let mut rows = Vec::new();
    let mut record = ByteRecord::new();
    let mut row = 0;
    // Reading from memory cannot fail once lengths are flexible.
    while reader.read_byte_record(&mut record).unwrap_or(false) {
        let start = record.position().map_or(0, csv::Position::byte);
        let skipped = blank_lines(bytes, start);
        rows.extend((1..=skipped).map(|offset| blank(row + offset)));
        row += skipped + 1;
        rows.push(cells(row, &record, faults));
    }
    rows
}

/// Planners' spreadsheets separate with commas or, in locales where the comma
/// is the decimal sign, with semicolons. No heading holds either.
fn separator(bytes: &[u8]) -> u8 {
    let heading = bytes
        .split(|&byte| byte == b'\n' || byte == b'\r')
        .find(|line| !line.is_empty())
        .unwrap_or_default();
    let cells = |separator: u8| heading.split(move |&byte| byte == separator).count();
    if cells(b';') > cells(b',') {
        b';'
    } else {
        b','
    }
}

/// Empty lines that the reader skips before the record that starts at `start`.
///
/// The reader ends a record at `\r`, so a `\n` may be left over from it.
fn blank_lines(bytes: &[u8], start: u64) -> usize {
    let start = usize::try_from(start).unwrap_or(bytes.len());
    let rest = bytes.get(start..).unwrap_or_default();
    let after_return = start > 0 && bytes[start - 1] == b'\r';
    let rest = match rest {
        [b'\n', tail @ ..] if after_return => tail,
        _ => rest,
    };
    let mut lines = 0;
    let mut rest = rest;
    loop {
        rest = match rest {
            [b'\r', b'\n', tail @ ..] | [b'\r' | b'\n', tail @ ..] => tail,
            _ => return lines,
        };
        lines += 1;
    }
}

fn blank(row: usize) -> Cells {
    Cells {
        row,
        cells: Vec::new(),
    }
}

fn cells(row: usize, record: &ByteRecord, faults: &mut Vec<Fault>) -> Cells {
    let mut cells = Vec::with_capacity(record.len());
    for (index, bytes) in record.iter().enumerate() {
        let text = String::from_utf8_lossy(bytes);
        if std::str::from_utf8(bytes).is_err() {
            faults.push(Fault::new(row, index + 1, "", &text, UTF8_REMEDY));
        }
        cells.push(text.trim().to_owned());
    }
    Cells { row, cells }
}

fn reject_inner_blanks(rows: &[Cells], faults: &mut Vec<Fault>) {
    let remedy = "delete the blank row; only rows after the last may be blank";
    let blanks = rows.iter().filter(|row| row.is_blank());
    faults.extend(blanks.map(|row| Fault::new(row.row, 1, "", "", remedy)));
}
