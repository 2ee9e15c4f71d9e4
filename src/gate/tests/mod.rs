mod admission;
mod harness;
