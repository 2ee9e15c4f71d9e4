//! Boot ids seen of one backend server.

/// Boot ids remembered, so that a late sign of an earlier process is known as such.
const BOOT_IDS_MAX: usize = 8;

/// The most recent boot ids, newest last.
#[derive(Debug, Default)]
pub(super) struct BootIds {
    seen: Vec<u64>,
}

impl BootIds {
    /// Notes `boot`. Tells whether it is a start after an earlier one.
    pub(super) fn record(&mut self, boot: u64) -> bool {
        if self.seen.contains(&boot) {
            return false;
        }
        if self.seen.len() == BOOT_IDS_MAX {
            self.seen.remove(0);
        }
        self.seen.push(boot);
        self.seen.len() > 1
    }
}
