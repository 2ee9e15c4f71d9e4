//! Shares of tenants at a gate that is full.

use std::collections::BTreeMap;
use std::time::Duration;

use super::harness::{Harness, settings};
use crate::gate::{Action, Arrival, CallId, Outcome, Settings, TenantId};
use crate::reason::Reason;

const HOT: u64 = 1;
const QUIET: u64 = 2;
const NOBODY: u64 = 0;

/// A gate with all slots taken, and a queue of this capacity.
fn full(queue_capacity: usize) -> Harness {
    let mut harness = Harness::new(Settings {
        queue_capacity,
        slow_ratio: f64::INFINITY,
        ..settings()
    });
    harness.warm();
    for number in 0..8 {
        arrive(&mut harness, 10_000 + number, NOBODY, 1);
    }
    harness
}

fn arrive(harness: &mut Harness, call_id: u64, tenant: u64, worth: u32) -> CallId {
    let arrival = Arrival {
        call_id: CallId(call_id),
        worth,
        deadline: harness.now + Duration::from_mins(1),
        tenant: (tenant != NOBODY).then_some(TenantId(tenant)),
        ..Arrival::default()
    };
    let now = harness.now;
    harness.gate.on_arrival(now, arrival, &mut harness.actions);
    CallId(call_id)
}

/// Ends running calls one after the other; returns the calls in the order of their starts.
fn starts(harness: &mut Harness, count: usize) -> Vec<u64> {
    let mut running: Vec<CallId> = (0..8).map(|number| CallId(10_000 + number)).collect();
    let mut started = Vec::new();
    harness.actions.clear();
    while started.len() < count {
        let service_time = Duration::from_millis(5);
        harness.finish(running.remove(0), Outcome::Answered { service_time });
        for action in harness.actions.drain(..) {
            if let Action::Admit(call_id) = action {
                running.push(call_id);
                started.push(call_id.0);
            }
        }
    }
    started
}

/// Calls of a tenant have numbers of its hundred.
fn tenant_of(call_id: u64) -> u64 {
    call_id / 100
}

/// Load: one tenant sends ten times as much as the other. It may fill the queue, but not the turns.
fn hot_tenant_does_not_push_others_back() {
    let mut harness = full(64);
    for number in 0..20 {
        arrive(&mut harness, HOT * 100 + number, HOT, 1);
    }
    for number in 0..2 {
        arrive(&mut harness, QUIET * 100 + number, QUIET, 1);
    }
    let first: Vec<u64> = starts(&mut harness, 4).into_iter().map(tenant_of).collect();
    assert_eq!(
        first.iter().filter(|&&tenant| tenant == QUIET).count(),
        2,
        "{first:?}"
    );
}

/// Load: both tenants want more than there is; each gets half.
fn tenants_share_evenly() {
    let mut harness = full(64);
    for number in 0..30 {
        arrive(&mut harness, HOT * 100 + number, HOT, 1);
    }
    for number in 0..10 {
        arrive(&mut harness, QUIET * 100 + number, QUIET, 1);
    }
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for call_id in starts(&mut harness, 20) {
        *counts.entry(tenant_of(call_id)).or_default() += 1;
    }
    assert_eq!(counts, [(HOT, 10), (QUIET, 10)].into());
}

/// Load: the queue is full of one tenant's calls. Another one's first call must not be the one to go.
fn full_queue_sheds_the_hot_tenant() {
    let mut harness = full(4);
    for number in 0..4 {
        arrive(&mut harness, HOT * 100 + number, HOT, 1);
    }
    let quiet = arrive(&mut harness, QUIET * 100, QUIET, 1);
    assert_eq!(harness.refused(quiet), None);
    assert_eq!(
        harness.refused(CallId(HOT * 100 + 3)),
        Some(Reason::Overloaded)
    );
}

fn worth_goes_before_turns() {
    let mut harness = full(64);
    for number in 0..5 {
        arrive(&mut harness, HOT * 100 + number, HOT, 1);
    }
    arrive(&mut harness, QUIET * 100, QUIET, 1);
    arrive(&mut harness, HOT * 100 + 50, HOT, 2);
    assert_eq!(starts(&mut harness, 1), [HOT * 100 + 50]);
}

/// A call that is recalled must not cost its tenant a turn.
fn recalled_call_gives_its_turn_back() {
    let mut harness = full(64);
    let recalled = arrive(&mut harness, HOT * 100, HOT, 1);
    let now = harness.now;
    assert!(harness.gate.recall(now, recalled));
    arrive(&mut harness, QUIET * 100, QUIET, 1);
    arrive(&mut harness, QUIET * 100 + 1, QUIET, 1);
    arrive(&mut harness, HOT * 100 + 1, HOT, 1);
    let order: Vec<u64> = starts(&mut harness, 3).into_iter().map(tenant_of).collect();
    assert_eq!(order, [QUIET, HOT, QUIET]);
}

fn without_tenants_deadlines_decide() {
    let mut harness = full(64);
    let late = harness.now + Duration::from_secs(30);
    let soon = harness.now + Duration::from_secs(20);
    for (number, deadline) in [(1, late), (2, soon)] {
        let arrival = Arrival {
            call_id: CallId(number),
            worth: 1,
            deadline,
            ..Arrival::default()
        };
        let now = harness.now;
        harness.gate.on_arrival(now, arrival, &mut harness.actions);
    }
    assert_eq!(starts(&mut harness, 2), [2, 1]);
}

cases! {
    hot_tenant_waits_behind_a_quiet_one: hot_tenant_does_not_push_others_back();
    tenants_beyond_their_share_get_as_much_each: tenants_share_evenly();
    call_of_the_hot_tenant_is_shed_first: full_queue_sheds_the_hot_tenant();
    worth_is_compared_before_turns: worth_goes_before_turns();
    recalled_call_costs_no_turn: recalled_call_gives_its_turn_back();
    calls_without_a_tenant_go_by_deadline: without_tenants_deadlines_decide();
}
