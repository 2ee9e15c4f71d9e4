//! Packed news of peers that are damaged or lie about their size.

use std::io::Write;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::plan_replica::record;
use crate::membership::direct::{PackedRecords, RosterChanges, unpack};
use crate::store::Record;

fn config() -> Config {
    Config {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x7061_636b),
        ..Config::default()
    }
}

fn records() -> Vec<Record> {
    vec![record("plan/text", "1", 1), record("plan/zone", "out", 2)]
}

fn packed() -> PackedRecords {
    PackedRecords::pack(&records()).expect("records are JSON")
}

fn records_survive() {
    assert_eq!(packed().unpack(), Some(records()));
}

fn json_of_earlier_versions_is_taken() {
    let json = serde_json::to_vec(&records()).expect("records are JSON");
    let packed = PackedRecords::from_json(&json).expect("bytes");
    assert_eq!(packed.unpack(), Some(records()));
}

/// A few kilobytes that unpack to more than any configuration.
fn bomb_is_refused() {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    let spaces = vec![b' '; 1024 * 1024];
    for _ in 0..64 {
        encoder.write_all(&spaces).expect("memory");
    }
    let bytes = encoder.finish().expect("memory");
    assert!(bytes.len() < 128 * 1024, "{}", bytes.len());
    assert_eq!(unpack::<Vec<Record>>(&bytes), None);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack::<Vec<Record>>(&bytes);
        let _ = unpack::<RosterChanges>(&bytes);
    }

    #[test]
    fn cut_records_are_refused(length in 0..60_usize) {
        let whole = packed();
        let cut = &whole.bytes()[..length.min(whole.bytes().len() - 1)];
        prop_assert_eq!(PackedRecords::from_bytes(cut).unpack(), None);
    }
}

cases! {
    packed_records_are_unpacked: records_survive();
    json_is_packed: json_of_earlier_versions_is_taken();
    too_long_records_are_refused: bomb_is_refused();
}
