//! The first row: where the columns of one sheet stand.

use super::column::Column;
use super::fault::Fault;
use super::read::Cells;

/// Where the columns of one sheet stand.
#[derive(Debug)]
pub(super) struct Heading {
    pub(super) positions: [Option<usize>; Column::ALL.len()],
    pub(super) width: usize,
}

impl Heading {
    /// Whether every column is there that must be.
    pub fn is_complete(&self) -> bool {
        Column::ALL.into_iter().all(|column| !self.lacks(column))
    }

    fn lacks(&self, column: Column) -> bool {
        self.positions[column.index()].is_none() && !column.is_optional()
    }

    /// Reads the first row.
    pub fn read(cells: &Cells, faults: &mut Vec<Fault>) -> Self {
        let mut positions = [None; Column::ALL.len()];
        let used = cells.cells.iter().rposition(|cell| !cell.is_empty());
        let width = used.map_or(0, |last| last + 1);
        for (index, text) in cells.cells.iter().take(width).enumerate() {
            let mut fault = |remedy: &str| {
                faults.push(Fault::new(cells.row, index + 1, text, text, remedy));
            };
            match Column::from_heading(text) {
                None => fault(&format!("use one of the headings {}", headings())),
                Some(column) => match positions[column.index()] {
                    Some(_) => fault("keep one column of this heading"),
                    None => positions[column.index()] = Some(index),
                },
            }
        }
        let heading = Self { positions, width };
        heading.reject_missing(cells.row, faults);
        heading
    }

    fn reject_missing(&self, row: usize, faults: &mut Vec<Fault>) {
        for column in Column::ALL {
            if self.lacks(column) {
                let remedy = format!("add the column {column}");
                faults.push(Fault::new(
                    row,
                    self.width + 1,
                    column.as_str(),
                    "",
                    &remedy,
                ));
            }
        }
    }
}

fn headings() -> String {
    Column::ALL.map(Column::as_str).join(", ")
}

/// Position of `column` as faults count it.
pub(super) fn fault_at(
    heading: &Heading,
    row: usize,
    column: Column,
    value: &str,
    remedy: &str,
) -> Option<Fault> {
    let index = heading.positions[column.index()]?;
    Some(Fault::new(row, index + 1, column.as_str(), value, remedy))
}
