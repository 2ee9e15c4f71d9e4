//! Keys into the router's arenas.

/// One backend server as long as the router knows it. A slot that is used again
/// gets a new generation, so events for a vanished backend server are ignored.
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
