mod admission;
mod allowance;
mod failures;
mod harness;
mod invariants;
mod speed;
mod waiting;
