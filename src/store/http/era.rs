//! Eras of a store that may come back from an older copy. Pure, but for the newest era known.
//!
//! A revision is a position in an era, see [`Revision::in_era`]. The store itself counts within an
//! era, so requests carry the lower part only, and answers are lifted into the era that they name.

use std::sync::atomic::{AtomicU32, Ordering};

use super::protocol::{Answer, Call, Page};
use crate::store::{Change, Expect, Listing, Outcome, Record, Revision, Watched, Write};

/// Newest era that any answer has named.
#[derive(Debug, Default)]
pub(super) struct KnownEra(AtomicU32);

/// An answer from an era before the newest one known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WentBack {
    pub(super) known: u32,
    pub(super) told: u32,
}

impl KnownEra {
    pub(super) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes in the era that an answer names; `None` if it names none, which leaves the newest one.
    pub(super) fn observe(&self, told: Option<u32>) -> Result<u32, WentBack> {
        let known = self.get();
        let told = told.unwrap_or(known);
        if told < known {
            return Err(WentBack { known, told });
        }
        let before = self.0.fetch_max(told, Ordering::Relaxed);
        if told > before {
            log::warn!(
                "the store came back in era {told}, after era {before}; what was written last may be \
                 missing there and is written again"
            );
        }
        Ok(told)
    }
}

/// The answer to a call that belongs to an era before `era`, which the store need not be asked for.
pub(super) fn outdated_answer(call: &Call<'_>, era: u32) -> Option<Answer> {
    match call {
        Call::Watch { after, .. } if after.era() < era => Some(Answer::Watched(Watched::Compacted)),
        Call::Write(Write {
            expect: Expect::Revision(revision),
            ..
        }) if revision.era() < era => Some(Answer::Written(Outcome::NotApplied(None))),
        _ => None,
    }
}

/// The write with its condition as the store counts.
pub(super) fn lower_write(write: &Write) -> Write {
    let expect = match write.expect {
        Expect::Revision(revision) => Expect::Revision(Revision(revision.within_era())),
        other => other,
    };
    Write {
        expect,
        ..write.clone()
    }
}

/// Lifts the revisions of an answer into its era.
pub(super) fn lift(call: &Call<'_>, era: u32, answer: Answer) -> Answer {
    match answer {
        Answer::Record(found) => Answer::Record(found.map(|found| record(era, found))),
        Answer::Page(page) => Answer::Page(Page {
            listing: Listing {
                revision: position(era, page.listing.revision),
                records: records(era, page.listing.records),
            },
            next: page.next,
        }),
        Answer::Written(Outcome::Applied(revision)) => {
            Answer::Written(Outcome::Applied(position(era, revision)))
        }
        Answer::Written(Outcome::NotApplied(found)) => {
            Answer::Written(Outcome::NotApplied(found.map(|found| record(era, found))))
        }
        Answer::Watched(watched) => Answer::Watched(lift_watched(call, era, watched)),
        other => other,
    }
}

/// A watch that began in an earlier era may have missed anything.
fn lift_watched(call: &Call<'_>, era: u32, watched: Watched) -> Watched {
    let is_outdated = matches!(call, Call::Watch { after, .. } if after.era() < era);
    match watched {
        Watched::Changes { revision, changes } if !is_outdated => Watched::Changes {
            revision: position(era, revision),
            changes: changes.into_iter().map(|one| change(era, one)).collect(),
        },
        _ => Watched::Compacted,
    }
}

fn change(era: u32, change: Change) -> Change {
    match change {
        Change::Put(written) => Change::Put(record(era, written)),
        Change::Delete { key, revision } => Change::Delete {
            key,
            revision: position(era, revision),
        },
    }
}

fn records(era: u32, records: Vec<Record>) -> Vec<Record> {
    records.into_iter().map(|one| record(era, one)).collect()
}

fn record(era: u32, record: Record) -> Record {
    Record {
        revision: position(era, record.revision),
        ..record
    }
}

const fn position(era: u32, revision: Revision) -> Revision {
    Revision::in_era(era, revision.0)
}
