mod acceptance;
mod fake;
mod lookup;
