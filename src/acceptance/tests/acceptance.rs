use std::time::Duration;

use crate::acceptance::head::PART_PREFIX;
use crate::acceptance::{Acceptance, Conflict, Error, Settings, accept, accept_with, current};
use crate::plan::Version;
use crate::sheet::{Sheet, example, parse};
use crate::store::WriteId;

use super::fake::{Fault, Store};

fn farm_with(zone: &str, state: &str) -> Sheet {
    let (region, _) = zone.split_once('-').expect("zones are named after regions");
    let from = format!("{zone},{region},in");
    let to = format!("{zone},{region},{state}");
    parse(example::FARM.replace(&from, &to).as_bytes()).expect("the edit keeps the sheet valid")
}

/// Runs in virtual time: pauses between follow-ups pass at once.
pub fn run<T>(session: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(session)
}

fn settings(write_id: u64) -> Settings {
    Settings {
        write_id: WriteId(write_id),
        ..Settings::default()
    }
}

/// A sheet whose text needs several values, told apart by `worth`.
fn large(worth: u32) -> Sheet {
    let mut text = example::FARM.to_owned();
    for number in 0..4_000 {
        let path = format!("/large/{number}/{}", "x".repeat(200));
        let row = format!("route,r{number},,,,,,,odber,GET,{path},all,{worth},,800,yes\n");
        text.push_str(&row);
    }
    parse(text.as_bytes()).expect("the large sheet is valid")
}

fn parts(store: &Store) -> usize {
    let keys = store.keys();
    keys.iter()
        .filter(|key| key.starts_with(PART_PREFIX))
        .count()
}

async fn store_with_farm() -> Store {
    let store = Store::default();
    let accepted = accept(&store, &example::farm()).await;
    assert!(matches!(
        accepted,
        Ok(Acceptance::Accepted {
            version: Version(1),
            ..
        })
    ));
    store
}

async fn in_force(store: &Store) -> (Version, Sheet) {
    let current = current(store).await.expect("the store answers");
    (current.version, current.sheet)
}

fn accepted(outcome: Result<Acceptance, Error>) -> Version {
    match outcome {
        Ok(Acceptance::Accepted { version, .. }) => version,
        other => panic!("not accepted: {other:?}"),
    }
}

fn conflict(outcome: Result<Acceptance, Error>) -> Conflict {
    match outcome {
        Ok(Acceptance::Conflict(conflict)) => conflict,
        other => panic!("no conflict: {other:?}"),
    }
}

cases! {
    first_sheet_becomes_version_one: run(async {
        let store = store_with_farm().await;
        assert_eq!(in_force(&store).await, (Version(1), example::farm()));
    });
    same_sheet_again_writes_nothing: run(async {
        let store = store_with_farm().await;
        let writes = store.written().len();
        let again = accept(&store, &example::farm()).await;
        assert_eq!(again, Ok(Acceptance::Same { version: Version(1) }));
        assert_eq!(store.written().len(), writes);
    });
    lost_answer_is_settled_by_reading_back: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::AnswerLost)]);
        let out = farm_with("morava-a", "out");
        assert_eq!(accepted(accept(&store, &out).await), Version(2));
        assert_eq!(in_force(&store).await, (Version(2), out));
    });
    lost_answer_is_not_written_twice: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::AnswerLost)]);
        let writes = store.written().len();
        accepted(accept(&store, &farm_with("morava-a", "out")).await);
        assert_eq!(store.written().len(), writes + 1);
    });
    lost_answer_is_found_under_a_later_sheet: run(async {
        let store = store_with_farm().await;
        let first = farm_with("morava-a", "out");
        let second = farm_with("cechy-a", "out");
        store.writes([Some(Fault::AnswerLost)]);
        let own = settings(7);
        let slow = accept_with(&store, &first, &own);
        let quick = async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            accept(&store, &second).await
        };
        let (slow, quick) = tokio::join!(slow, quick);
        assert_eq!((accepted(slow), accepted(quick)), (Version(2), Version(3)));
    });
    write_lost_on_its_way_is_sent_again_under_the_same_condition: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::WriteLost)]);
        let out = farm_with("morava-a", "out");
        assert_eq!(accepted(accept(&store, &out).await), Version(2));
    });
    held_write_that_arrives_late_changes_nothing: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::WriteHeld)]);
        let out = farm_with("morava-a", "out");
        accepted(accept(&store, &out).await);
        accepted(accept(&store, &example::farm()).await);
        store.release();
        assert_eq!(in_force(&store).await, (Version(3), example::farm()));
    });
    outcome_is_unknown_while_the_store_stays_silent: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::AnswerLost)]);
        store.reads(std::iter::once(None).chain((0..20).map(|_| Some(Fault::Down))));
        let outcome = accept(&store, &farm_with("morava-a", "out")).await;
        assert!(matches!(outcome, Err(Error::Unknown(_))));
    });
    store_down_changes_nothing: run(async {
        let store = store_with_farm().await;
        store.down(true);
        let outcome = accept(&store, &farm_with("morava-a", "out")).await;
        assert!(matches!(outcome, Err(Error::Store(_))));
        store.down(false);
        assert_eq!(in_force(&store).await, (Version(1), example::farm()));
    });
    store_that_fails_between_read_and_write_changes_nothing: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::Down)]);
        let outcome = accept(&store, &farm_with("morava-a", "out")).await;
        assert!(matches!(outcome, Err(Error::Store(_))));
        assert_eq!(in_force(&store).await, (Version(1), example::farm()));
    });
    older_head_is_not_built_upon: run(async {
        let store = store_with_farm().await;
        let out = farm_with("morava-a", "out");
        accepted(accept(&store, &out).await);
        store.reads([Some(Fault::Stale)]);
        let conflict = conflict(accept(&store, &farm_with("cechy-a", "out")).await);
        assert_eq!((conflict.base, conflict.version), (Version(1), Version(2)));
        assert_eq!(in_force(&store).await, (Version(2), out));
    });
    older_head_after_a_lost_answer_is_not_believed: run(async {
        let store = store_with_farm().await;
        accepted(accept(&store, &farm_with("morava-a", "out")).await);
        store.writes([Some(Fault::AnswerLost)]);
        store.reads([None, Some(Fault::Stale)]);
        assert_eq!(accepted(accept(&store, &example::farm()).await), Version(3));
    });
    much_older_head_after_a_lost_answer_is_not_believed: run(async {
        let store = store_with_farm().await;
        accepted(accept(&store, &farm_with("morava-a", "out")).await);
        store.writes([Some(Fault::AnswerLost)]);
        store.reads([None, Some(Fault::Oldest)]);
        assert_eq!(accepted(accept(&store, &example::farm()).await), Version(3));
    });
    sheet_is_numbered_after_versions_that_the_store_has_lost: run(async {
        let store = store_with_farm().await;
        let known_to_nodes = Settings { after: Version(40), ..settings(9) };
        let same = accept_with(&store, &example::farm(), &known_to_nodes).await;
        assert_eq!(accepted(same), Version(41));
        let next = accept(&store, &farm_with("morava-a", "out")).await;
        assert_eq!(accepted(next), Version(42));
    });
    version_that_the_store_knows_changes_no_number: run(async {
        let store = store_with_farm().await;
        let known_to_nodes = Settings { after: Version(1), ..settings(9) };
        let next = accept_with(&store, &farm_with("morava-a", "out"), &known_to_nodes).await;
        assert_eq!(accepted(next), Version(2));
    });
    of_zones_taken_out_at_the_same_time_one_stays_in: run(async {
        let store = store_with_farm().await;
        let a = farm_with("morava-a", "out");
        let b = farm_with("morava-b", "out");
        let (first, second) = tokio::join!(accept(&store, &a), accept(&store, &b));
        assert_eq!(accepted(first), Version(2));
        let conflict = conflict(second);
        assert_eq!((conflict.base, conflict.version), (Version(1), Version(2)));
        insta::assert_snapshot!(conflict.delta.expect("both are known"), @r"~ zone morava-a: state in -> out");
        assert_eq!(in_force(&store).await, (Version(2), a));
    });
    zone_ordered_out_and_in_at_the_same_time_ends_as_one_of_both: run(async {
        let store = store_with_farm().await;
        let out = farm_with("morava-a", "out");
        accepted(accept(&store, &out).await);
        let back = farm_with("morava-a", "in");
        let stays = parse(out.to_csv().replace(",all,20,,800", ",all,25,,800").as_bytes())
            .expect("the edit keeps the sheet valid");
        let (first, second) = tokio::join!(accept(&store, &stays), accept(&store, &back));
        assert_eq!(accepted(first), Version(3));
        assert_eq!(conflict(second).version, Version(3));
        assert_eq!(in_force(&store).await, (Version(3), stays));
    });
    change_made_for_an_older_version_is_told_what_came_between: run(async {
        let store = store_with_farm().await;
        accepted(accept(&store, &farm_with("morava-a", "out")).await);
        accepted(accept(&store, &farm_with("cechy-a", "out")).await);
        let for_first = Settings { base: Some(Version(1)), ..settings(9) };
        let outcome = accept_with(&store, &farm_with("slezsko-a", "out"), &for_first).await;
        let conflict = conflict(outcome);
        assert_eq!((conflict.base, conflict.version), (Version(1), Version(3)));
        insta::assert_snapshot!(conflict.delta.expect("still remembered"), @r"~ zone cechy-a: state in -> out");
    });
    large_sheet_stands_in_values_under_a_megabyte: run(async {
        let store = Store::default();
        accepted(accept(&store, &large(1)).await);
        let values = store.written().into_iter().filter_map(|write| write.value);
        assert!(values.map(|value| value.len()).all(|length| length < 1_000_000));
        assert_eq!((parts(&store), in_force(&store).await), (2, (Version(1), large(1))));
    });
    parts_of_the_sheet_before_the_last_are_removed: run(async {
        let store = Store::default();
        for worth in 1..=4 {
            accepted(accept(&store, &large(worth)).await);
        }
        assert_eq!((parts(&store), in_force(&store).await.1), (4, large(4)));
    });
    return_to_an_earlier_large_sheet_keeps_its_parts: run(async {
        let store = Store::default();
        for worth in [1, 2, 1, 3, 1] {
            accepted(accept(&store, &large(worth)).await);
        }
        assert_eq!(in_force(&store).await, (Version(5), large(1)));
    });
    part_that_is_not_confirmed_stops_the_sheet: run(async {
        let store = store_with_farm().await;
        store.writes([Some(Fault::WriteLost)]);
        let outcome = accept(&store, &large(1)).await;
        assert!(matches!(outcome, Err(Error::Store(_))));
        assert_eq!(in_force(&store).await.0, Version(1));
    });
}
