mod acceptance;
mod fake;
mod races;
