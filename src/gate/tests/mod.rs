mod admission;
mod allowance;
mod failures;
mod harness;
mod invariants;
mod returning;
mod speed;
mod waiting;
