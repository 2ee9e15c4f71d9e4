mod choice;
mod failures;
mod harness;
mod objective;
mod room;
mod subset;
