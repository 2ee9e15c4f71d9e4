//! Roll-outs in virtual time, without a network.

mod controller;
mod fleet;
mod judge;
mod split;
