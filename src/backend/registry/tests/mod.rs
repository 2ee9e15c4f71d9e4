//! Which process is taken for the backend server.

mod cold_time;
mod orders;
mod recall;

use std::net::SocketAddr;

use super::{Presence, Reaction, Report};
use crate::backend::Server;
use crate::dialect::HealthReport;
use crate::membership::direct::DepartedProcess;

const NOW_MS: u64 = 5_000;

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 8080).into()
}

fn report(process: &str, born_ms: u64, sequence: u64) -> Report {
    Report {
        process: process.into(),
        born_ms: Some(born_ms),
        sequence,
        service: "odber".into(),
        version: "v1".into(),
        address: address(),
        slots: 9,
        leaving: false,
        cold_for: None,
    }
}

fn leaving(process: &str, born_ms: u64, sequence: u64) -> Report {
    Report {
        leaving: true,
        ..report(process, born_ms, sequence)
    }
}

fn health(process: &str) -> HealthReport {
    HealthReport {
        process: Some(process.into()),
        healthy: true,
        ..HealthReport::default()
    }
}

fn with(reports: &[Report]) -> Presence {
    let mut presence = Presence::new(address());
    for report in reports {
        presence.report(report);
    }
    presence
}

fn process(presence: &Presence) -> String {
    let process = presence.server().and_then(|server: Server| server.process);
    process.unwrap_or_default()
}

fn left_stays_left() {
    let mut presence = with(&[report("a", 1_000, 4)]);
    assert_eq!(presence.leave("a", None, NOW_MS), Reaction::Accepted);
    assert_eq!(presence.report(&report("a", 1_000, 5)), Reaction::Outdated);
    assert_eq!(process(&presence), "");
}

fn name_used_again() {
    let mut presence = with(&[report("a", 1_000, 4)]);
    presence.leave("a", None, NOW_MS);
    assert_eq!(presence.report(&report("a", 1_001, 1)), Reaction::Accepted);
    assert_eq!(process(&presence), "a");
}

fn late_report_of_a_dead_process() {
    let mut presence = with(&[report("a", 1_000, 4), report("b", 2_000, 1)]);
    assert_eq!(presence.report(&report("a", 1_000, 5)), Reaction::Outdated);
    assert_eq!(process(&presence), "b");
}

fn leave_of_an_earlier_start() {
    let mut presence = with(&[report("a", 2_000, 1)]);
    let reaction = presence.leave("a", Some(1_000), NOW_MS);
    assert_eq!(reaction, Reaction::Outdated);
    assert_eq!(process(&presence), "a");
}

/// A start whose time is earlier than that of the one before, since the time of day was set back.
fn after_a_step_back() -> Presence {
    with(&[report("a", 5_000, 7), report("a", 2_600, 1)])
}

fn drain_after_a_step_back() {
    let mut presence = after_a_step_back();
    assert_eq!(process(&presence), "a");
    assert_eq!(presence.report(&report("a", 2_600, 2)), Reaction::Accepted);
    assert_eq!(presence.report(&leaving("a", 2_600, 3)), Reaction::Accepted);
    assert_eq!(process(&presence), "");
}

fn drain_at_once_after_a_step_back() {
    let mut presence = with(&[report("a", 5_000, 7)]);
    assert_eq!(presence.report(&leaving("a", 2_600, 1)), Reaction::Outdated);
    assert_eq!(presence.report(&leaving("a", 2_600, 2)), Reaction::Accepted);
    assert_eq!(process(&presence), "");
}

fn leave_after_a_step_back() {
    let mut presence = after_a_step_back();
    assert_eq!(presence.leave("a", Some(2_600), NOW_MS), Reaction::Accepted);
    assert_eq!(process(&presence), "");
    assert_eq!(presence.report(&report("a", 5_000, 8)), Reaction::Outdated);
    assert_eq!(presence.report(&report("a", 2_600, 9)), Reaction::Outdated);
    assert_eq!(process(&presence), "");
}

fn late_words_in_turn() {
    let mut presence = with(&[report("a", 5_000, 7), report("a", 2_600, 40)]);
    presence.report(&report("a", 5_000, 8));
    assert_eq!(
        presence.report(&leaving("a", 2_600, 41)),
        Reaction::Outdated
    );
    assert_eq!(process(&presence), "a");
}

fn word_that_comes_twice() {
    let mut presence = with(&[report("a", 5_000, 7)]);
    for _ in 0..2 {
        assert_eq!(
            presence.report(&leaving("a", 2_600, 41)),
            Reaction::Outdated
        );
    }
    assert_eq!(process(&presence), "a");
}

fn drain_of_another_name() {
    let mut presence = with(&[report("b", 5_000, 1)]);
    assert_eq!(presence.report(&leaving("a", 2_600, 4)), Reaction::Accepted);
    assert_eq!(process(&presence), "b");
    presence.misdirected();
    assert_eq!(presence.report(&report("a", 2_600, 3)), Reaction::Outdated);
    assert_eq!(process(&presence), "");
}

fn server_that_lives_after_all() {
    let mut presence = after_a_step_back();
    presence.leave("a", Some(2_600), NOW_MS);
    presence.report(&report("a", 5_000, 8));
    assert_eq!(presence.report(&report("a", 5_000, 9)), Reaction::Accepted);
    assert_eq!(process(&presence), "a");
}

fn promise_survives_a_restart() {
    let mut presence = Presence::new(address());
    presence.recall(DepartedProcess {
        process: "a".into(),
        born_ms: Some(1_000),
    });
    assert!(!presence.probed("odber", &health("a")));
    assert_eq!(presence.report(&report("a", 1_000, 9)), Reaction::Outdated);
    assert_eq!(process(&presence), "");
}

fn promise_is_recalled_late() {
    let mut presence = Presence::new(address());
    assert!(presence.probed("odber", &health("a")));
    presence.recall(DepartedProcess {
        process: "a".into(),
        born_ms: Some(1_000),
    });
    assert_eq!(process(&presence), "");
}

fn unknown_process_that_leaves() {
    let mut presence = Presence::new(address());
    presence.leave("a", None, NOW_MS);
    let late = report("a", 4_000, 3);
    let anew = report("a", 6_000, 1);
    assert_eq!(presence.report(&late), Reaction::Outdated);
    assert_eq!(presence.report(&anew), Reaction::Accepted);
}

fn foreign_address() {
    let mut presence = with(&[report("a", 1_000, 1)]);
    let foreign = Report {
        address: ([10, 0, 0, 2], 8080).into(),
        ..report("b", 9_000, 1)
    };
    assert_eq!(presence.report(&foreign), Reaction::Foreign);
    assert_eq!(process(&presence), "a");
}

fn other_process_at_the_address() {
    let mut presence = with(&[report("a", 1_000, 1)]);
    assert!(!presence.probed("odber", &health("b")));
    assert_eq!(process(&presence), "");
}

fn service_changes_with_the_process() {
    let other = Report {
        service: "snuska".into(),
        ..report("b", 2_000, 1)
    };
    let presence = with(&[report("a", 1_000, 1), other]);
    let service = presence.server().map(|server| server.service);
    assert_eq!(service.as_deref(), Some("snuska"));
}

cases! {
    first_report_is_taken: assert_eq!(process(&with(&[report("a", 1_000, 1)])), "a");
    older_report_changes_nothing: {
        let mut presence = with(&[report("a", 1_000, 2)]);
        assert_eq!(presence.report(&leaving("a", 1_000, 1)), Reaction::Outdated);
        assert_eq!(process(&presence), "a");
    };
    leaving_process_takes_no_work:
        assert_eq!(process(&with(&[report("a", 1_000, 1), leaving("a", 1_000, 2)])), "");
    process_that_left_is_never_used_again: left_stays_left();
    name_may_be_used_by_a_later_start: name_used_again();
    late_report_of_a_dead_process_is_outdated: late_report_of_a_dead_process();
    leave_of_an_earlier_start_is_outdated: leave_of_an_earlier_start();
    // These guard against a drain that is acknowledged and ignored.
    drain_holds_though_the_time_of_day_was_set_back: drain_after_a_step_back();
    drain_that_changes_nothing_is_not_accepted: drain_at_once_after_a_step_back();
    late_report_of_the_start_before_undoes_no_leave: leave_after_a_step_back();
    drain_of_another_name_is_remembered: drain_of_another_name();
    // And these against a late word that takes out a server at work.
    late_words_between_those_of_a_live_server_change_nothing: late_words_in_turn();
    late_word_that_comes_twice_changes_nothing: word_that_comes_twice();
    server_that_reports_again_and_again_takes_work: server_that_lives_after_all();
    acknowledged_leave_survives_a_restart: promise_survives_a_restart();
    acknowledged_leave_may_be_recalled_late: promise_is_recalled_late();
    late_report_after_an_unknown_leave_is_outdated: unknown_process_that_leaves();
    late_word_of_an_earlier_start_undoes_no_leave: {
        let mut presence = with(&[leaving("a", 2_000, 3)]);
        presence.leave("b", None, NOW_MS);
        presence.misdirected();
        presence.leave("a", Some(1_000), NOW_MS);
        assert_eq!(presence.report(&report("a", 2_000, 4)), Reaction::Outdated);
        assert_eq!(process(&presence), "");
    };
    report_of_another_address_is_foreign: foreign_address();
    health_endpoint_shows_another_process: other_process_at_the_address();
    address_may_change_its_service: service_changes_with_the_process();
    misdirected_call_shows_that_the_process_is_gone: {
        let mut presence = with(&[report("a", 1_000, 1)]);
        presence.misdirected();
        assert_eq!(process(&presence), "");
    };
}
