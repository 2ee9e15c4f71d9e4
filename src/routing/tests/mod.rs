mod choice;
mod failures;
mod harness;
