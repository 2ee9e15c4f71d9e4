mod acceptance;
mod fake;
mod lookup;
mod races;
