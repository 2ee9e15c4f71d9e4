//! Boot ids seen of one backend server.

/// Boot ids remembered, so that a late sign of an earlier process is known as such.
const REMEMBERED: usize = 8;

/// The most recent boot ids, newest last.
#[derive(Debug, Default)]
pub(super) struct Boots {
    seen: Vec<u64>,
}

impl Boots {
    /// Notes `boot`. Tells whether it is a start after an earlier one.
    pub(super) fn note(&mut self, boot: u64) -> bool {
        if self.seen.contains(&boot) {
            return false;
        }
        if self.seen.len() == REMEMBERED {
            self.seen.remove(0);
        }
        self.seen.push(boot);
        self.seen.len() > 1
    }
}
