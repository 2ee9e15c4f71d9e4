//! When a roll-out closes the gate of a node.

use std::time::Duration;

use crate::clock::Time;
use crate::coordination::{Directives, Local};
use crate::plan::{Plan, Rollout};
use crate::rollout::{Directive, Phase};

fn plan() -> Plan {
    let order = Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: Duration::from_secs(12),
    };
    Plan {
        rollouts: [("odber".to_owned(), order)].into(),
        ..Plan::default()
    }
}

fn local(version: &str, phase: Phase) -> Local {
    let local = Local::default();
    local.set_backend_server("odber", version);
    local.set_plan(Time::ZERO, &plan());
    tell(&local, phase);
    local
}

fn tell(local: &Local, phase: Phase) {
    let directive = Directive {
        service: "odber".into(),
        target_version: "v2".into(),
        phase,
        share: 0.0,
        idempotent_only: false,
        is_urgent: false,
    };
    let directives = Directives {
        rollouts: vec![directive],
        ..Directives::default()
    };
    local.on_directives(Time::ZERO, &directives);
}

fn is_closed(version: &str, phase: Phase) -> bool {
    local(version, phase).is_closed(Time::ZERO)
}

fn is_closed_later(version: &str, phase: Phase) -> bool {
    local(version, phase).is_closed(Time::from_millis(5_000))
}

cases! {
    canary_closes_nothing: assert!(!is_closed("v1", Phase::Canary) && !is_closed("v2", Phase::Canary));
    cutover_closes_the_old_version:
        assert!(is_closed("v1", Phase::Cutover) && !is_closed("v2", Phase::Cutover));
    rollback_closes_the_target_version:
        assert!(is_closed("v2", Phase::RolledBack) && !is_closed("v1", Phase::RolledBack));
    cutover_of_a_silent_coordinator_opens_the_old_version:
        assert!(!is_closed_later("v1", Phase::Cutover));
    rollback_holds_though_the_coordinator_is_silent:
        assert!(is_closed_later("v2", Phase::RolledBack));
    rollback_is_never_taken_back: {
        let local = local("v2", Phase::RolledBack);
        tell(&local, Phase::Cutover);
        assert!(local.is_closed(Time::ZERO));
    };
    withdrawn_order_opens_every_version: {
        let local = local("v2", Phase::RolledBack);
        local.set_plan(Time::ZERO, &Plan::default());
        assert!(!local.is_closed(Time::ZERO));
    };
    answers_are_reported_only_under_an_order: {
        let local = Local::default();
        local.record("order", true, Duration::ZERO, false);
        assert_eq!(local.version_report(Time::ZERO, true, 0), None);
    };
}
