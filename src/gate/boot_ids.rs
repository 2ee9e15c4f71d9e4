//! Boot IDs seen from one backend server.

/// Number of boot IDs kept, to recognise late signals from an earlier process.
const BOOT_IDS_MAX: usize = 8;

/// The most recent boot IDs, newest last.
#[derive(Debug, Default)]
pub(super) struct BootIds {
    seen: Vec<u64>,
}

impl BootIds {
    /// Records `boot`. Returns whether it shows a restart after an earlier boot.
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
