use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::plan::Version;
use crate::sheet::{Sheet, example, parse};

const CASES: u32 = 256;

fn config() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x7368_6565),
        ..Config::default()
    }
}

/// Bytes that resemble a sheet closely enough to reach deep into the decoder.
fn scraps() -> impl Strategy<Value = Vec<u8>> {
    let scrap = prop_oneof![
        Just(b",".to_vec()),
        Just(b";".to_vec()),
        Just(b"\"".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\xef\xbb\xbf".to_vec()),
        Just(b"zone".to_vec()),
        Just(b"route".to_vec()),
        Just(b"99999999999".to_vec()),
        prop::sample::select(example::FARM.lines().collect::<Vec<_>>())
            .prop_map(|line| line.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..8),
    ];
    prop::collection::vec(scrap, 0..60).prop_map(|scraps| scraps.concat())
}

/// A farm sheet with some cells overwritten by cells from elsewhere in it.
fn shuffled() -> impl Strategy<Value = String> {
    let cells: Vec<&str> = example::FARM.split([',', '\n']).collect();
    let count = cells.len();
    let edits = prop::collection::vec((0..count, 0..count), 1..6);
    edits.prop_map(move |edits| {
        let edits: BTreeMap<usize, usize> = edits.into_iter().collect();
        let rows = example::FARM.lines().enumerate().map(|(row, line)| {
            let row_cells = line.split(',').enumerate();
            let edited = row_cells.map(|(column, cell)| {
                let source = edits.get(&(row * 16 + column));
                source.map_or(cell, |&source| cells[source])
            });
            edited.collect::<Vec<_>>().join(",")
        });
        rows.collect::<Vec<_>>().join("\n")
    })
}

/// A valid sheet made of a choice of zones, states, tenants and routes.
fn sheets() -> impl Strategy<Value = Sheet> {
    let zones = prop::collection::vec(any::<bool>(), 1..6);
    let routes = prop::collection::btree_map("[a-z]{1,6}", 1u32..1_000, 0..8);
    let tenants = prop::collection::btree_set("[a-z0-9]{1,6}", 0..5);
    (zones, routes, tenants).prop_map(|(zones, routes, tenants)| {
        let heading = example::FARM.lines().next().unwrap_or_default();
        let fixed = [heading, "region,morava", "service,odber,,,9,2,4,500"];
        let zones = zones.into_iter().enumerate().map(|(number, in_service)| {
            let state = if in_service { "in" } else { "out" };
            format!("zone,morava-{number},morava,{state}")
        });
        let routes = routes.into_iter().map(|(name, worth)| {
            format!("route,{name},,,,,,,odber,GET,/{name},morava,{worth},,800,yes")
        });
        let tenants = tenants
            .into_iter()
            .map(|name| format!("tenant,{name},,,,,,,,,,all"));
        let rows = fixed.into_iter().map(str::to_owned);
        let rows: Vec<String> = rows.chain(zones).chain(routes).chain(tenants).collect();
        let text = rows.join("\n");
        parse(text.as_bytes()).expect("the sheet is made to be valid")
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_give_a_sheet_or_faults(bytes in scraps()) {
        match parse(&bytes) {
            Ok(sheet) => prop_assert_eq!(parse(sheet.to_csv().as_bytes()), Ok(sheet)),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }

    #[test]
    fn each_fault_names_a_cell_of_the_sheet(text in shuffled()) {
        let lines = text.lines().count();
        for fault in parse(text.as_bytes()).err().unwrap_or_default() {
            prop_assert!((1..=lines).contains(&fault.row));
            prop_assert!((1..=17).contains(&fault.column));
            prop_assert!(!fault.remedy.is_empty());
            prop_assert!(fault.value.chars().count() <= 61);
        }
    }

    #[test]
    fn faults_are_bounded_by_the_cells(bytes in scraps()) {
        let faults = parse(&bytes).err().unwrap_or_default();
        let cells = bytes.len() + 1;
        prop_assert!(faults.len() <= 16 * (cells + 2));
    }

    #[test]
    fn canonical_text_is_read_back(sheet in sheets()) {
        let again = parse(sheet.to_csv().as_bytes()).expect("canonical text is valid");
        prop_assert_eq!(again.digest(), sheet.digest());
        prop_assert_eq!(again, sheet);
    }

    #[test]
    fn delta_leads_from_any_sheet_to_any_other((before, after) in (sheets(), sheets())) {
        let delta = before.diff(&after);
        prop_assert_eq!(before.apply(&delta), Ok(after.clone()));
        prop_assert_eq!(after.apply(&delta.reversed()), Ok(before));
    }

    #[test]
    fn plan_holds_every_row(sheet in sheets()) {
        let plan = sheet.plan(Version(1));
        let named = plan.region_names.len() + plan.zone_names.len()
            + plan.service_names.len() + plan.tenant_names.len() + plan.routes.len();
        prop_assert_eq!(named, sheet.len());
    }

    #[test]
    fn different_sheets_have_different_digests((one, other) in (sheets(), sheets())) {
        prop_assert_eq!(one == other, one.digest() == other.digest());
    }
}
