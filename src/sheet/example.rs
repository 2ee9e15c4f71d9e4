//! Complete sheets of two deployments.

use super::{Sheet, parse};

/// Text of the farm's sheet.
pub const FARM: &str = include_str!("example/farm.csv");
/// Text of the Society's sheet.
pub const SOCIETY: &str = include_str!("example/society.csv");

/// The farm: duck eggs by subscription, in morava, cechy and slezsko.
#[must_use]
pub fn farm() -> Sheet {
    read(FARM)
}

/// The Society: jute sacks, in kisumu, kakamega and nakuru.
#[must_use]
pub fn society() -> Sheet {
    read(SOCIETY)
}

fn read(text: &str) -> Sheet {
    parse(text.as_bytes()).expect("the examples are part of the program and tested")
}
