mod admission;
mod failures;
mod harness;
mod invariants;
