//! The cases: what is played, and how the rule is judged.

mod cold;
mod empty_store;
mod extra_refusal;
mod killed_while_cold;
mod late_check_in;
mod new_coordinator;

use crate::record::Record;

/// What came of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub lines: Vec<String>,
}

/// Plays a case by its name.
pub fn play(case: &str, has_trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    match case {
        "empty-store" => empty_store::play(has_trouble, record),
        "extra-refusal" => extra_refusal::play(has_trouble, record),
        "killed-while-cold" => killed_while_cold::play(has_trouble, record),
        "late-check-in" => late_check_in::play(has_trouble, record),
        "new-coordinator" => new_coordinator::play(has_trouble, record),
        _ => Err(std::io::Error::other("there is no such case")),
    }
}
