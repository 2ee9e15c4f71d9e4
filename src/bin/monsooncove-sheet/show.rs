//! `monsooncove-sheet show` and `history`

use std::fmt::Write;

use monsooncove::acceptance::{self, Entry};
use monsooncove::plan::Version;
use monsooncove::store::Client;

use crate::check::count;
use crate::exit::{Exit, Failure, Result};
use crate::paint;

/// Prints the sheet in force, or the one that was in force as `at`.
pub async fn run(client: &impl Client, at: Option<Version>) -> Result<Exit> {
    let current = acceptance::current(client).await?;
    if current.version == Version(0) {
        let message = "no sheet has been accepted; put one in force with apply";
        return Err(Failure::new(Exit::Refused, &message));
    }
    let version = at.unwrap_or(current.version);
    let Some(sheet) = current.at(version) else {
        let message =
            format!("version {version} is no longer kept; run history for those that are");
        return Err(Failure::new(Exit::Refused, &message));
    };
    eprintln!("version {version}, {}", count(sheet.len(), "row"));
    paint::text(&sheet.to_csv());
    Ok(Exit::Done)
}

/// Lists the versions that the store remembers.
pub async fn history(client: &impl Client, json: bool) -> Result<Exit> {
    let history = acceptance::current(client).await?.history();
    if json {
        paint::json(&history);
    } else {
        paint::text(&lines(&history));
    }
    Ok(Exit::Done)
}

fn lines(history: &[Entry]) -> String {
    let mut text = String::new();
    for entry in history {
        let changed = match (entry.version, entry.changes) {
            (Version(1), _) => "the first sheet".to_owned(),
            (_, Some(changes)) => format!("{} changed", count(changes, "row")),
            (_, None) => "changes no longer kept".to_owned(),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "version {}: {changed}", entry.version);
    }
    text
}
