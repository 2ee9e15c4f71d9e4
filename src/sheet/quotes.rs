//! Quoting by the letter of RFC 4180, which the `csv` crate reads more freely:
//! it takes a file that ends inside a quoted cell, as one cut short does.

use super::fault::Fault;

/// What to do about a misplaced quote.
pub(super) const STRAY: &str =
    "put the whole cell in double quotes, and double each quote inside it";
const OPEN: &str = "close the quotes; the file ends inside this cell and may be cut short";

/// Where in a cell the scan is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Start,
    Plain,
    Quoted,
    Closed,
}

/// Reports quotes that are misplaced or never closed. Tells whether the rows
/// can be told apart all the same.
pub(super) fn check(bytes: &[u8], separator: u8, faults: &mut Vec<Fault>) -> bool {
    let mut scan = Scan {
        state: State::Start,
        row: 1,
        column: 1,
        stray: false,
    };
    for (index, &byte) in bytes.iter().enumerate() {
        let follows_return = index > 0 && bytes[index - 1] == b'\r';
        if scan.state != State::Quoted && byte == b'\n' && follows_return {
            continue;
        }
        scan.step(byte, separator, faults);
    }
    let open = scan.state == State::Quoted;
    if open {
        faults.push(scan.fault(OPEN));
    }
    !open
}

struct Scan {
    state: State,
    row: usize,
    column: usize,
    /// Whether the cell has been reported.
    stray: bool,
}

impl Scan {
    fn step(&mut self, byte: u8, separator: u8, faults: &mut Vec<Fault>) {
        match (self.state, byte) {
            (State::Quoted, b'"') => self.state = State::Closed,
            (State::Quoted, _) => {}
            (State::Start | State::Closed, b'"') => self.state = State::Quoted,
            (_, b'\r' | b'\n') => self.end_row(),
            (_, byte) if byte == separator => self.end_cell(),
            (State::Plain, b'"') | (State::Closed, _) => self.report(faults),
            _ => self.state = State::Plain,
        }
    }

    fn report(&mut self, faults: &mut Vec<Fault>) {
        if !self.stray {
            faults.push(self.fault(STRAY));
        }
        self.stray = true;
        self.state = State::Plain;
    }

    fn end_cell(&mut self) {
        self.column += 1;
        self.stray = false;
        self.state = State::Start;
    }

    fn end_row(&mut self) {
        self.end_cell();
        self.row += 1;
        self.column = 1;
    }

    fn fault(&self, remedy: &str) -> Fault {
        Fault::new(self.row, self.column, "", "\"", remedy)
    }
}
