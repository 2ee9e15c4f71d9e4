//! Versions of a service under a roll-out.

use std::sync::Arc;
use std::time::Duration;

use super::harness::{Harness, instance, plan, request};
use crate::membership::{ClusterSnapshot, Instance, View};
use crate::plan::{Plan, Rollout, Version};
use crate::reason::Reason;
use crate::rollout::{Directive, Phase};
use crate::routing::SelectionRequest;

fn ordered_plan() -> Plan {
    let order = Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: Duration::from_secs(12),
    };
    Plan {
        version: Version(2),
        rollouts: [("odber".to_owned(), order)].into(),
        ..plan(&[])
    }
}

/// A router that knows one server of each of these versions, under an order for `v2`.
fn router(versions: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    let mut view = View::default();
    for version in versions {
        view.merge(Instance {
            version: (*version).into(),
            ..instance(&format!("odber-{version}"), "morava-a")
        });
    }
    let snapshot = ClusterSnapshot {
        plan: Arc::new(ordered_plan()),
        view: Arc::new(view),
    };
    harness.router.update(harness.now, &snapshot);
    harness
}

fn tell(harness: &mut Harness, phase: Phase, share: f64) {
    let directive = Directive {
        service: "odber".into(),
        target_version: "v2".into(),
        phase,
        share,
        idempotent_only: false,
        is_urgent: false,
    };
    harness.router.on_rollout(harness.now, &directive);
}

/// Servers that a hundred calls go to.
fn chosen(harness: &mut Harness, request: &SelectionRequest) -> Vec<String> {
    let mut names: Vec<String> = (0..100)
        .filter_map(|_| harness.router.choose(harness.now, request).ok())
        .map(|choice| choice.instance)
        .collect();
    names.sort();
    names.dedup();
    names
}

fn check(versions: &[&str], phase: Option<(Phase, f64)>, expected: &[&str]) {
    let mut harness = router(versions);
    if let Some((phase, share)) = phase {
        tell(&mut harness, phase, share);
    }
    assert_eq!(chosen(&mut harness, &request()), expected);
}

/// Guards against a bad version that gets the calls which it failed once more.
fn retries_go_to_the_old_version() {
    let mut harness = router(&["v1", "v2"]);
    tell(&mut harness, Phase::Canary, 1.0);
    let choice = harness
        .router
        .choose(harness.now, &request())
        .expect("a choice");
    assert_eq!(choice.instance, "odber-v2");
    let mut retry = request();
    retry.tried.insert(choice.backend);
    assert_eq!(chosen(&mut harness, &retry), ["odber-v1"]);
}

fn rolled_back_version_does_not_stand_in() {
    let mut harness = router(&["v2"]);
    tell(&mut harness, Phase::RolledBack, 0.0);
    let refused = harness.router.choose(harness.now, &request());
    assert_eq!(
        refused.map(|choice| choice.instance),
        Err(Reason::NoBackendServer)
    );
}

cases! {
    order_alone_moves_no_call: check(&["v1", "v2"], None, &["odber-v1"]);
    canary_gets_a_share: check(&["v1", "v2"], Some((Phase::Canary, 0.3)), &["odber-v1", "odber-v2"]);
    cutover_moves_all_calls: check(&["v1", "v2"], Some((Phase::Cutover, 1.0)), &["odber-v2"]);
    done_uses_the_target_version: check(&["v1", "v2"], Some((Phase::Done, 1.0)), &["odber-v2"]);
    rollback_uses_the_old_version: check(&["v1", "v2"], Some((Phase::RolledBack, 0.0)), &["odber-v1"]);
    target_version_stands_in_when_no_other_is_left: check(&["v2"], None, &["odber-v2"]);
    old_version_stands_in_when_the_target_is_gone:
        check(&["v1"], Some((Phase::Cutover, 1.0)), &["odber-v1"]);
    retry_avoids_the_target_version: retries_go_to_the_old_version();
    rolled_back_version_never_stands_in: rolled_back_version_does_not_stand_in();
}
