//! Keys of the router's arena.

/// Key of one backend server while the router knows it. A reused slot gets a new generation, so
/// events for a removed backend server are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Backend {
    pub(super) slot: u32,
    pub(super) generation: u32,
}

impl Backend {
    pub(super) const fn index(self) -> usize {
        self.slot as usize
    }
}
