//! Tables of plain text.

use std::fmt;

/// A table with a heading. Columns of numbers are aligned right.
#[derive(Clone, Debug)]
pub struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// A table with only its heading.
    pub fn new(heading: [&str; N]) -> Self {
        Self {
            rows: vec![heading.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: [String; N]) {
        self.rows.push(cells);
    }

    fn is_number(&self, column: usize) -> bool {
        let mut cells = self.rows.iter().skip(1).map(|row| &row[column]);
        cells.all(|cell| {
            cell.trim_start()
                .starts_with(|first: char| first.is_ascii_digit())
        })
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or_default()
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let mut line = Vec::new();
            for (column, (cell, &width)) in row.iter().zip(&widths).enumerate() {
                line.push(if self.is_number(column) {
                    format!("{cell:>width$}")
                } else {
                    format!("{cell:<width$}")
                });
            }
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
