//! `monsooncove-sheet apply`

use std::time::Duration;

use monsooncove::acceptance::{self, Acceptance, Conflict};
use monsooncove::plan::Version;
use monsooncove::sheet::Change;
use monsooncove::store::Client;
use serde::Serialize;

use crate::exit::{Exit, Failure, Result};
use crate::paint::{self, Painter};
use crate::wait::{self, Spread};
use crate::{diff, file};

/// Changes that are listed after an acceptance.
const LINES_MAX: usize = 20;

/// What to apply, and how.
#[derive(Debug)]
pub struct Settings<'a> {
    /// Path of the sheet.
    pub file: &'a str,
    /// Version that has to be in force.
    pub base: Option<Version>,
    /// Newest version that nodes follow, when the store has lost it.
    pub after: Option<Version>,
    /// Longest time to wait for the nodes; not at all when absent.
    pub wait: Option<Duration>,
    /// Whether to print JSON.
    pub json: bool,
}

/// What `--json` prints.
#[derive(Serialize)]
struct Report<'a> {
    outcome: &'static str,
    version: Version,
    changes: Option<&'a [Change]>,
    spread: Option<&'a Spread>,
}

/// Puts a sheet in force.
pub async fn run(client: &impl Client, settings: &Settings<'_>) -> Result<Exit> {
    let sheet = file::sheet(settings.file)?;
    let asked = acceptance::Settings {
        base: settings.base,
        after: settings.after.unwrap_or_default(),
        ..acceptance::Settings::default()
    };
    let acceptance = acceptance::accept_with(client, &sheet, &asked)
        .await
        .map_err(|error| failure(&error))?;
    let version = match &acceptance {
        Acceptance::Accepted { version, .. } | Acceptance::Same { version } => *version,
        Acceptance::Conflict(conflict) => return Err(refused(conflict, settings.json)),
    };
    if !settings.json {
        paint::text(&words(&acceptance));
    }
    let spread = match settings.wait {
        Some(limit) => Some(wait::run(client, version, limit, !settings.json).await?),
        None => None,
    };
    if settings.json {
        report(&acceptance, version, spread.as_ref());
    }
    Ok(match spread {
        Some(spread) if !spread.complete => Exit::Unknown,
        _ => Exit::Done,
    })
}

fn failure(error: &acceptance::Error) -> Failure {
    match error {
        acceptance::Error::Store(error) => {
            Failure::new(Exit::Unknown, &format!("{error}; nothing was changed"))
        }
        _ => Failure::new(Exit::Unknown, error),
    }
}

fn report(acceptance: &Acceptance, version: Version, spread: Option<&Spread>) {
    let (outcome, changes) = match acceptance {
        Acceptance::Accepted { delta, .. } => ("accepted", delta.changes.as_slice()),
        _ => ("same", [].as_slice()),
    };
    paint::json(&Report {
        outcome,
        version,
        changes: Some(changes),
        spread,
    });
}

fn words(acceptance: &Acceptance) -> String {
    match acceptance {
        Acceptance::Accepted { version, delta } => {
            let lines = diff::lines(delta, Painter::stdout(), LINES_MAX);
            format!(
                "accepted as version {version}: {}\n{lines}",
                diff::summary(delta)
            )
        }
        Acceptance::Same { version } => {
            format!("in force already as version {version}; nothing was changed\n")
        }
        Acceptance::Conflict(_) => String::new(),
    }
}

fn refused(conflict: &Conflict, json: bool) -> Failure {
    let Conflict {
        base,
        version,
        delta,
    } = conflict;
    if json {
        paint::json(&Report {
            outcome: "conflict",
            version: *version,
            changes: delta.as_ref().map(|delta| delta.changes.as_slice()),
            spread: None,
        });
    } else if let Some(delta) = delta {
        eprint!("{}", diff::lines(delta, Painter::plain(), LINES_MAX));
    }
    let changed = match delta {
        Some(delta) => format!("changed the rows above ({})", diff::summary(delta)),
        None => "changed more than is kept".to_owned(),
    };
    let message = format!(
        "version {version} came before this sheet, which was made for version {base}, and \
         {changed}; nothing was changed: take these changes into the sheet, check with diff, \
         and apply it with --base {version}"
    );
    Failure::new(Exit::Refused, &message)
}
