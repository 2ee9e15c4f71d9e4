mod admission;
mod cold_rate_limit;
mod cold_retries;
mod failures;
mod harness;
mod invariants;
mod queueing;
mod slowdown;
