//! Coordinators, their record in the store, and what a node keeps, without a network.

mod coordinator;
mod local;
mod record;
