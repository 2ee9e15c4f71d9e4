//! Keys into the arenas of one [`Plan`](super::Plan).
//!
//! A key is an index. It is valid only for the plan version that issued it, so
//! keys never travel between processes; names do.

macro_rules! key {
    ($name:ident, $what:literal) => {
        #[doc = concat!("Index of ", $what, ".")]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u16);

        impl $name {
            /// Position in the arena.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key!(Region, "a region");
key!(Zone, "an availability zone");
key!(Service, "a service");
key!(Tenant, "a tenant");
key!(Route, "a route");
