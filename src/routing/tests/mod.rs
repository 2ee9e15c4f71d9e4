mod choice;
mod harness;
