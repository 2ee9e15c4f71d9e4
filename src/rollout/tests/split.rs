//! Which version a call may go to.

use std::time::Duration;

use crate::clock::Time;
use crate::rollout::{Directive, Lane, Phase, Split};

const OLD: Lane = Lane::Old { is_final: false };

fn directive(phase: Phase, share: f64) -> Directive {
    Directive {
        service: "odber".into(),
        target_version: "v2".into(),
        phase,
        share,
        idempotent_only: false,
        is_urgent: false,
    }
}

fn split(phase: Phase, share: f64) -> Split {
    let mut split = Split::new("v2".into());
    split.on_directive(Time::ZERO, &directive(phase, share));
    split
}

fn check_stale(phase: Phase, expected: Lane) {
    let later = Time::ZERO + Duration::from_secs(3);
    assert_eq!(split(phase, 1.0).lane(later, true, false, 0.0), expected);
}

cases! {
    without_a_directive_calls_go_to_the_old_version:
        assert_eq!(Split::new("v2".into()).lane(Time::ZERO, true, false, 0.0), OLD);
    share_of_the_calls_goes_to_the_target: {
        let split = split(Phase::Canary, 0.1);
        assert_eq!(split.lane(Time::ZERO, true, false, 0.09), Lane::Target);
        assert_eq!(split.lane(Time::ZERO, true, false, 0.11), OLD);
    };
    first_calls_are_idempotent: {
        let mut split = Split::new("v2".into());
        let careful = Directive { idempotent_only: true, ..directive(Phase::Canary, 1.0) };
        split.on_directive(Time::ZERO, &careful);
        assert_eq!(split.lane(Time::ZERO, false, false, 0.0), OLD);
        assert_eq!(split.lane(Time::ZERO, true, false, 0.0), Lane::Target);
    };
    canary_ends_when_the_coordinator_falls_silent: check_stale(Phase::Canary, OLD);
    cutover_ends_when_the_coordinator_falls_silent: check_stale(Phase::Cutover, OLD);
    done_holds_without_a_coordinator: check_stale(Phase::Done, Lane::Target);
    rollback_holds_without_a_coordinator:
        check_stale(Phase::RolledBack, Lane::Old { is_final: true });
    rollback_is_never_taken_back: {
        let mut split = split(Phase::RolledBack, 0.0);
        split.on_directive(Time::ZERO, &directive(Phase::Canary, 1.0));
        assert_eq!(split.phase(), Some(Phase::RolledBack));
    };
    directive_of_another_order_is_ignored: {
        let mut split = Split::new("v3".into());
        split.on_directive(Time::ZERO, &directive(Phase::Done, 1.0));
        assert_eq!(split.phase(), None);
    };
    server_of_unknown_version_may_be_of_the_target: {
        assert!(!OLD.admits("", "v2"));
        assert!(!Lane::Target.admits("", "v2"));
        assert!(OLD.admits("v1", "v2"));
    };
}
