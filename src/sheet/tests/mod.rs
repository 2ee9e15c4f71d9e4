mod delta;
mod documentation;
mod examples;
mod faults;
mod formats;
mod properties;
mod terms;
