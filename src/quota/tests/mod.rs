//! Rate limits over a fleet in virtual time, without a network.

mod fleet;
mod limits;
