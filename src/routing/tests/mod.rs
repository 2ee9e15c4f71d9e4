mod choice;
mod failures;
mod harness;
mod hedges;
mod objective;
mod room;
mod subset;
mod versions;
