//! `monsooncove-sheet check`

use monsooncove::sheet::row::{Kind, Row};
use monsooncove::sheet::{self, Fault, Sheet};
use serde::Serialize;

use crate::exit::{Exit, Failure, Result};
use crate::{file, paint};

/// What `--json` prints.
#[derive(Serialize)]
struct Report<'a> {
    valid: bool,
    rows: usize,
    faults: &'a [Fault],
}

/// Checks the sheet in `path`.
pub fn run(path: &str, json: bool) -> Result<Exit> {
    let parsed = sheet::parse(&file::read(path)?);
    if json {
        return Ok(report(&parsed));
    }
    let sheet = parsed.map_err(|faults| refused(path, &faults))?;
    println!("{}: {}", file::name(path), summary(&sheet));
    Ok(Exit::Done)
}

fn report(parsed: &std::result::Result<Sheet, Vec<Fault>>) -> Exit {
    let report = match parsed {
        Ok(sheet) => Report {
            valid: true,
            rows: sheet.len(),
            faults: &[],
        },
        Err(faults) => Report {
            valid: false,
            rows: 0,
            faults,
        },
    };
    paint::json(&report);
    if report.valid {
        Exit::Done
    } else {
        Exit::Refused
    }
}

/// Prints every fault and ends the command.
pub fn refused(path: &str, faults: &[Fault]) -> Failure {
    let name = file::name(path);
    for fault in faults {
        eprintln!("{name}: {fault}");
    }
    let count = count(faults.len(), "fault");
    let message = format!("{name} is refused for {count}; nothing was changed");
    Failure::new(Exit::Refused, &message)
}

fn summary(sheet: &Sheet) -> String {
    let of_kind = |kind: Kind| sheet.rows().filter(|(key, _)| key.kind == kind).count();
    let kinds = Kind::ALL.map(|kind| count(of_kind(kind), kind.as_str()));
    let out = sheet.rows().filter(|(_, row)| is_out(row)).count();
    format!(
        "valid, {}; {} out of service",
        kinds.join(", "),
        count(out, "zone")
    )
}

fn is_out(row: &Row) -> bool {
    matches!(row, Row::Zone(zone) if !zone.in_service)
}

/// Number with its noun.
pub fn count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        _ => format!("{number} {noun}s"),
    }
}
