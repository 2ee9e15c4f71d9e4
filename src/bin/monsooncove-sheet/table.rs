//! Tables of plain text.

use std::fmt;

/// A table with a heading; the first column is aligned left, others right.
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
                line.push(match column {
                    0 => format!("{cell:<width$}"),
                    _ => format!("{cell:>width$}"),
                });
            }
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
