//! `monsooncove-sheet diff`

use std::fmt::Write;

use monsooncove::acceptance;
use monsooncove::plan::Version;
use monsooncove::sheet::{Change, Delta};
use monsooncove::store::Client;
use serde::Serialize;

use crate::check::count;
use crate::exit::{Exit, Result};
use crate::file;
use crate::paint::{self, Colour, Painter};

/// What `--json` prints.
#[derive(Serialize)]
struct Report<'a> {
    version: Version,
    changes: &'a [Change],
}

/// Compares the sheet in `path` with the one in force.
pub async fn run(client: &impl Client, path: &str, json: bool) -> Result<Exit> {
    let sheet = file::sheet(path)?;
    let current = acceptance::current(client).await?;
    let delta = current.sheet.diff(&sheet);
    if json {
        paint::json(&Report {
            version: current.version,
            changes: &delta.changes,
        });
    } else {
        let summary = summary(&delta);
        paint::text(&format!("against version {}: {summary}\n", current.version));
        paint::text(&lines(&delta, Painter::stdout(), usize::MAX));
    }
    Ok(Exit::Done)
}

/// Counts the rows that differ.
pub fn summary(delta: &Delta) -> String {
    if delta.is_empty() {
        return "no difference".to_owned();
    }
    let is = |change: &&Change, before, after| {
        change.before.is_some() == before && change.after.is_some() == after
    };
    let rows = |before, after| {
        let of_kind = delta
            .changes
            .iter()
            .filter(|change| is(change, before, after));
        of_kind.count()
    };
    format!(
        "{} changed, {} added, {} removed",
        count(rows(true, true), "row"),
        rows(false, true),
        rows(true, false)
    )
}

/// One line for each row that differs, `most` at most.
pub fn lines(delta: &Delta, painter: Painter, most: usize) -> String {
    let mut text = String::new();
    for change in delta.changes.iter().take(most) {
        let colour = match (&change.before, &change.after) {
            (None, _) => Colour::Green,
            (_, None) => Colour::Red,
            _ => Colour::Yellow,
        };
        let line = change.to_string();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", painter.paint(colour, line.trim_end()));
    }
    let rest = delta.changes.len().saturating_sub(most);
    if rest > 0 {
        let _ = writeln!(text, "and {} more", count(rest, "row"));
    }
    text
}
