mod delta;
mod examples;
mod faults;
mod formats;
