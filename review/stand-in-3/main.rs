//! Plays one case of the review: a small fleet of the project's program between stand-ins of the
//! store, the servers and the clients, as pages of the users describe them.
//!
//! `stand-in CASE FOLDER` writes `record.txt` into FOLDER. It exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod caller;
mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// The case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let verdict = cases::play(&case, has_trouble, &record);
    let verdict = verdict.inspect(|verdict| {
        for line in &verdict.lines {
            println!("{line}");
            record.note(line.clone());
        }
    });
    let written = record.write(&PathBuf::from(folder).join("record.txt"));
    match (verdict, written) {
        (Ok(verdict), Ok(())) => ExitCode::from(u8::from(verdict.is_broken)),
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
