//! Memory of processes, as the kernel tells it.

use nix::unistd::{SysconfVar, sysconf};

/// Resident memory, in bytes, from the text of a `statm` file; `None` if it cannot be read.
#[must_use]
pub fn resident_bytes(statm: &str) -> Option<u64> {
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * page_bytes()?)
}

/// Size of a page of memory; it differs between processors.
fn page_bytes() -> Option<u64> {
    let bytes = sysconf(SysconfVar::PAGE_SIZE).ok()??;
    u64::try_from(bytes).ok()
}
