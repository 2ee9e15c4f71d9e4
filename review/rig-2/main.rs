//! Plays one case of the second review: `rig CASE RECORD`, in the repository root.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod http;
mod json;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

use world::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    match cases::play(case, &record, has_trouble) {
        Ok(verdict) => {
            record.line(&verdict.text);
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
