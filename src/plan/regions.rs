//! A small set of regions.

use super::key;

/// Set of region keys of one plan, at most [`Regions::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Regions(u64);

impl Regions {
    /// Number of regions that a plan can hold.
    pub const CAPACITY: usize = 64;

    /// The set with every region.
    pub const ALL: Self = Self(u64::MAX);

    /// The set with no region.
    pub const NONE: Self = Self(0);

    /// Adds `region`.
    pub fn insert(&mut self, region: key::Region) {
        self.0 |= 1 << region.0;
    }

    /// Whether `region` is in the set.
    #[must_use]
    pub const fn contains(self, region: key::Region) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Regions that are in both sets.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Whether the set is empty.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }
}
