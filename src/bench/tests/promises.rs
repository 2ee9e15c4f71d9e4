use std::net::SocketAddr;
use std::time::Duration;

use http::Method;

use crate::bench::promises::{Ledger, Promise, Versions};
use crate::clock::Time;
use crate::plan::Version;
use crate::standin::backend::{Checks, Executions};
use crate::standin::caller::{Books, Ending, Entry, Kind};

const SECOND: Duration = Duration::from_secs(1);

fn books(ending: Ending) -> Books {
    let kind = Kind {
        route: "payment".into(),
        service: "odber".into(),
        tenant: None,
        method: Method::POST,
        path: "/payments".into(),
        idempotent: false,
        keyed: false,
        home: Vec::new(),
        request_bytes: 0,
        answer_bytes: 0,
        patience: SECOND,
    };
    let mut books = Books::new(vec![kind]);
    books.add(Entry {
        id: "1".into(),
        kind: 0,
        target: None,
        due: SECOND,
        elapsed: SECOND,
        ending,
    });
    books
}

fn calls(promise: Promise, ending: Ending, executed: usize) -> u64 {
    let mut executions = Executions::default();
    for _ in 0..executed {
        executions.count("1");
    }
    let mut ledger = Ledger::default();
    ledger.check_calls(&books(ending), &executions);
    ledger.tally(promise).violated
}

fn answers(ending: Ending) -> u64 {
    let mut ledger = Ledger::default();
    ledger.check_answers(&books(ending));
    ledger.violations()
}

fn backends(promise: Promise, checks: Checks) -> u64 {
    let mut ledger = Ledger::default();
    ledger.check_backends(&[checks], SECOND);
    ledger.tally(promise).violated
}

fn stop(ending: Ending, from_secs: u64, to_secs: u64) -> u64 {
    let mut ledger = Ledger::default();
    let from = Duration::from_secs(from_secs);
    ledger.check_stop(&books(ending), from, Duration::from_secs(to_secs));
    ledger.violations()
}

/// Feeds reports of a node that started at once to a sheet accepted at 1 s.
fn versions(reports: &[(u64, u64)]) -> u64 {
    let node = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut versions = Versions::default();
    let mut ledger = Ledger::default();
    versions.resume(Time::ZERO, node);
    versions.accept(Time::from_millis(1_000), Version(2));
    for (millis, version) in reports {
        versions.observe(
            Time::from_millis(*millis),
            node,
            Version(*version),
            &mut ledger,
        );
    }
    ledger.violations()
}

fn refused() -> Ending {
    Ending::Refused("overloaded".into())
}

fn unknown() -> Ending {
    Ending::Unknown("broken".into())
}

cases! {
    answer_that_was_executed_once_is_fine:
        assert_eq!(calls(Promise::WholeAnswers, Ending::Answered, 1), 0);
    answer_without_execution_is_a_violation:
        assert_eq!(calls(Promise::WholeAnswers, Ending::Answered, 0), 1);
    mixed_answer_is_a_violation:
        assert_eq!(calls(Promise::WholeAnswers, Ending::Mixed, 1), 1);
    cut_answer_is_a_violation:
        assert_eq!(calls(Promise::WholeAnswers, Ending::Cut, 1), 1);
    mixed_answer_is_a_violation_without_books_of_backend_servers:
        assert_eq!(answers(Ending::Mixed), 1);
    refusal_without_execution_is_fine:
        assert_eq!(calls(Promise::NotRun, refused(), 0), 0);
    refusal_of_an_executed_call_is_a_violation:
        assert_eq!(calls(Promise::NotRun, refused(), 1), 1);
    second_execution_is_a_violation_whatever_the_caller_saw:
        assert_eq!(calls(Promise::AtMostOnce, Ending::Lost, 2), 1);
    one_execution_is_fine:
        assert_eq!(calls(Promise::AtMostOnce, Ending::Lost, 1), 0);
    work_above_the_cold_allowance_is_a_violation:
        assert_eq!(backends(Promise::ColdStart, Checks { cold_over: 1, ..Checks::default() }), 1);
    late_work_for_a_zone_that_is_out_is_a_violation:
        assert_eq!(backends(Promise::ZoneOut, Checks { zone_out_late: 1, ..Checks::default() }), 1);
    early_work_for_a_zone_that_is_out_is_fine:
        assert_eq!(backends(Promise::ZoneOut, Checks { zone_out_within: 1, ..Checks::default() }), 0);
    late_work_for_a_leaving_backend_server_is_a_violation:
        assert_eq!(backends(Promise::Leaving, Checks { leaving_late: 1, ..Checks::default() }), 1);
    work_abroad_is_a_violation:
        assert_eq!(backends(Promise::HomeRegions, Checks { abroad: 1, ..Checks::default() }), 1);
    measuring_above_the_budget_is_a_violation:
        assert_eq!(backends(Promise::Measuring, Checks { measured: 67, ..Checks::default() }), 1);
    measuring_within_the_budget_is_fine:
        assert_eq!(backends(Promise::Measuring, Checks { measured: 66, ..Checks::default() }), 0);
    call_cut_during_a_planned_stop_is_a_violation:
        assert_eq!(stop(unknown(), 0, 1), 1);
    call_lost_during_a_planned_stop_is_a_violation:
        assert_eq!(stop(Ending::Lost, 2, 3), 1);
    call_cut_at_another_time_is_no_violation_of_the_stop:
        assert_eq!(stop(unknown(), 3, 4), 0);
    refusal_during_a_planned_stop_is_fine:
        assert_eq!(stop(refused(), 0, 3), 0);
    version_may_be_old_within_the_time_allowed:
        assert_eq!(versions(&[(3_999, 0)]), 0);
    version_that_is_old_after_the_time_allowed_is_a_violation:
        assert_eq!(versions(&[(4_000, 1)]), 1);
    version_that_reverts_is_a_violation:
        assert_eq!(versions(&[(1_500, 2), (1_600, 1)]), 1);
    version_that_arrives_in_time_is_fine:
        assert_eq!(versions(&[(1_500, 2), (9_000, 2)]), 0);
}
