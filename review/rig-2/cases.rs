//! The cases.

mod birth;
mod body;
mod departure;
mod keys;
mod pipeline;

use crate::world::Record;

/// What came of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

pub fn play(case: &str, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    match case {
        "pipeline" => pipeline::play(record, has_trouble),
        "birth" => birth::play(record, has_trouble),
        "body" => body::play(record, has_trouble),
        "keys" => keys::play(record, has_trouble),
        "departure" => departure::play(record, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}
