use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::acceptance::head::{HEAD_KEY, Head};
use crate::acceptance::{Acceptance, Error, Settings, accept_with};
use crate::plan::Version;
use crate::sheet::{Sheet, example, parse};
use crate::store::WriteId;

use super::acceptance::run;
use super::fake::{Fault, Store};

const CASES: u32 = 96;
const OPERATORS: u64 = 3;

/// What one operator was told.
struct Told {
    write_id: WriteId,
    digest: u64,
    outcome: Result<Acceptance, Error>,
}

fn sheet(worth: u64) -> Sheet {
    let text = example::FARM.replace(",all,20,,800", &format!(",all,{worth},,800"));
    parse(text.as_bytes()).expect("the edit keeps the sheet valid")
}

fn fault() -> impl Strategy<Value = Option<Fault>> {
    prop_oneof![
        4 => Just(None),
        1 => Just(Some(Fault::Down)),
        1 => Just(Some(Fault::AnswerLost)),
        1 => Just(Some(Fault::WriteLost)),
        1 => Just(Some(Fault::WriteHeld)),
        1 => Just(Some(Fault::Stale)),
        1 => Just(Some(Fault::Oldest)),
    ]
}

fn script() -> impl Strategy<Value = Vec<Option<Fault>>> {
    prop::collection::vec(fault(), 0..24)
}

async fn operate(store: &Store, number: u64) -> Told {
    let settings = Settings {
        write_id: WriteId(number),
        ..Settings::default()
    };
    let sheet = sheet(number);
    let outcome = accept_with(store, &sheet, &settings).await;
    Told {
        write_id: settings.write_id,
        digest: sheet.digest(),
        outcome,
    }
}

async fn rounds(store: &Store, scripts: Vec<Vec<Option<Fault>>>) -> Vec<Told> {
    let mut told = Vec::new();
    for (round, script) in scripts.into_iter().enumerate() {
        let first = 1 + round as u64 * OPERATORS;
        let (reads, writes) = script.split_at(script.len() / 2);
        store.reads(reads.iter().cloned());
        store.writes(writes.iter().cloned());
        let operators = (first..first + OPERATORS).map(|number| operate(store, number));
        told.extend(futures::future::join_all(operators).await);
        if round % 2 == 0 {
            store.release();
        }
    }
    store.release();
    told
}

fn heads(store: &Store) -> Vec<Head> {
    let writes = store.applied().into_iter();
    let values = writes.filter(|write| write.key == HEAD_KEY);
    values
        .filter_map(|write| serde_json::from_str(&write.value?).ok())
        .collect()
}

fn check(told: &Told, heads: &[Head]) -> Result<(), TestCaseError> {
    let own: Vec<&Head> = heads
        .iter()
        .filter(|head| head.write_id == told.write_id)
        .collect();
    prop_assert!(own.len() <= 1, "a sheet took effect twice");
    match &told.outcome {
        Ok(Acceptance::Accepted { version, .. }) => {
            prop_assert_eq!(own.len(), 1);
            prop_assert_eq!((own[0].version, own[0].digest), (*version, told.digest));
        }
        Ok(_) | Err(Error::Store(_) | Error::Busy | Error::Damaged { .. }) => {
            prop_assert!(own.is_empty(), "a sheet that was refused took effect");
        }
        Err(Error::Unknown(_)) => {}
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0063_6173),
        ..Config::default()
    })]

    #[test]
    fn operators_are_told_the_truth(scripts in prop::collection::vec(script(), 1..4)) {
        let store = Store::default();
        let told = run(rounds(&store, scripts));
        let heads = heads(&store);
        for told in &told {
            check(told, &heads)?;
        }
        let versions = heads.iter().map(|head| head.version);
        prop_assert!(versions.eq((1..).map(Version).take(heads.len())), "a version went back");
    }
}
