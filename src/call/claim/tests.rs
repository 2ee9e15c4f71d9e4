use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::table::MAX_CLAIMS;
use super::{
    CLAIM_RETENTION, ClaimAction, ClaimRequest, ClaimStatus, Claims, Digest, HOLDER_NODES,
    rank_nodes,
};
use crate::clock::Time;
use crate::membership::{Epoch, Instance, State, View};

const KEY: Digest = Digest(77);

fn instance(name: &str, region: &str, zone: &str) -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Instance {
        name: name.into(),
        epoch: Epoch(1),
        service: "desk".into(),
        region: region.into(),
        zone: zone.into(),
        caller: address,
        peer: address,
        control: address,
        state: State::Present,
        version: String::new(),
    }
}

fn view() -> View {
    let mut view = View::default();
    for index in 0..12 {
        let region = ["north", "south"][index % 2];
        let zone = format!("{region}-{}", index % 4);
        view.merge(instance(&format!("node-{index}"), region, &zone));
    }
    view
}

fn question(call: u64, intent: ClaimAction) -> ClaimRequest<'static> {
    ClaimRequest {
        digest: KEY,
        call,
        regions: &[],
        intent,
        keep: CLAIM_RETENTION,
    }
}

fn ask(claims: &Claims, at: u64, call: u64, intent: ClaimAction) -> ClaimStatus {
    claims.handle(Time::from_millis(at * 1000), &question(call, intent))
}

fn holders_are_in_two_zones() {
    for key in 0..100 {
        let view = view();
        let ranked = rank_nodes(&view, &[], Digest(key));
        assert_ne!(ranked[0].zone, ranked[1].zone);
    }
}

fn holders_are_in_the_home_regions() {
    for key in 0..100 {
        let view = view();
        let ranked = rank_nodes(&view, &["south".into()], Digest(key));
        assert!(ranked.iter().all(|node| node.region == "south"));
    }
}

fn another_node_moves_few_keys() {
    let before = view();
    let mut after = before.clone();
    after.merge(instance("node-new", "north", "north-0"));
    let moved = (0..1000).filter(|&key| {
        let old = rank_nodes(&before, &[], Digest(key));
        let new = rank_nodes(&after, &[], Digest(key));
        old[0].name != new[0].name
    });
    let moved = moved.count();
    assert!(
        (40..160).contains(&moved),
        "{moved} of 1000 moved to one of 13"
    );
}

fn only_the_claiming_call_releases_a_key() {
    let claims = Claims::default();
    assert_eq!(ask(&claims, 0, 1, ClaimAction::Claim), ClaimStatus::Free);
    assert_eq!(ask(&claims, 1, 1, ClaimAction::Claim), ClaimStatus::Free);
    assert_eq!(ask(&claims, 1, 2, ClaimAction::Claim), ClaimStatus::Held);
    assert_eq!(ask(&claims, 1, 2, ClaimAction::Query), ClaimStatus::Held);
    ask(&claims, 2, 2, ClaimAction::Release);
    assert_eq!(ask(&claims, 2, 2, ClaimAction::Query), ClaimStatus::Held);
    ask(&claims, 2, 1, ClaimAction::Release);
    assert_eq!(ask(&claims, 2, 2, ClaimAction::Claim), ClaimStatus::Free);
}

fn claims_expire() {
    let claims = Claims::default();
    let seconds = CLAIM_RETENTION.as_secs();
    ask(&claims, 0, 1, ClaimAction::Claim);
    assert_eq!(
        ask(&claims, seconds - 1, 2, ClaimAction::Claim),
        ClaimStatus::Held
    );
    assert_eq!(
        ask(&claims, seconds, 2, ClaimAction::Claim),
        ClaimStatus::Free
    );
}

fn a_full_table_is_unknown() {
    let claims = Claims::default();
    for key in 0..MAX_CLAIMS as u128 {
        let question = ClaimRequest {
            digest: Digest(key + 100),
            ..question(1, ClaimAction::Claim)
        };
        claims.handle(Time::ZERO, &question);
    }
    assert_eq!(ask(&claims, 1, 1, ClaimAction::Claim), ClaimStatus::Unknown);
}

fn without(view: &View, names: &[&str]) -> Arc<View> {
    let mut view = view.clone();
    for name in names {
        view.remove(name);
    }
    Arc::new(view)
}

fn holder_names(view: &View) -> Vec<String> {
    let ranked = rank_nodes(view, &[], KEY);
    let holders = ranked.iter().take(HOLDER_NODES);
    holders.map(|node| node.name.clone()).collect()
}

fn after_losses(lost: usize, seconds: u64) -> ClaimStatus {
    let claims = Claims::default();
    let full = Arc::new(view());
    let holders = holder_names(&full);
    let lost: Vec<&str> = holders.iter().take(lost).map(String::as_str).collect();
    claims.on_view(Time::ZERO, &full);
    claims.on_view(Time::from_millis(1000), &without(&full, &lost));
    ask(&claims, seconds, 1, ClaimAction::Query)
}

fn restarted_holders_know_nothing() {
    let claims = Claims::default();
    let full = Arc::new(view());
    let mut restarted = (*full).clone();
    for name in holder_names(&full) {
        let known = full.get(&name).cloned().expect("in the view");
        restarted.merge(Instance {
            epoch: Epoch(2),
            ..known
        });
    }
    claims.on_view(Time::ZERO, &full);
    claims.on_view(Time::from_millis(1000), &Arc::new(restarted));
    assert_eq!(ask(&claims, 2, 1, ClaimAction::Query), ClaimStatus::Unknown);
}

/// Nodes that rank above both holders push them out of what is asked.
fn outranked_holders_are_unknown() {
    let claims = Claims::default();
    let full = Arc::new(view());
    let holders = holder_names(&full);
    let mut grown = (*full).clone();
    let outranks = |view: &View| {
        let asked = rank_nodes(view, &[], KEY);
        asked.iter().all(|node| !holders.contains(&node.name))
    };
    for at in 0..10_000 {
        if outranks(&grown) {
            break;
        }
        grown.merge(instance(&format!("guest-{at}"), "north", "north-0"));
        grown.merge(instance(&format!("guest-south-{at}"), "south", "south-1"));
    }
    claims.on_view(Time::ZERO, &full);
    claims.on_view(Time::from_millis(1000), &Arc::new(grown));
    assert_eq!(ask(&claims, 2, 1, ClaimAction::Query), ClaimStatus::Unknown);
}

fn too_many_views_are_unknown() {
    let claims = Claims::default();
    let full = view();
    for at in 0..70 {
        let mut view = full.clone();
        view.merge(instance(&format!("guest-{at}"), "north", "north-0"));
        claims.on_view(Time::from_millis(at), &Arc::new(view));
    }
    assert_eq!(ask(&claims, 1, 1, ClaimAction::Query), ClaimStatus::Unknown);
    let later = CLAIM_RETENTION + Duration::from_secs(2);
    let later = later.as_secs();
    assert_eq!(
        ask(&claims, later, 1, ClaimAction::Query),
        ClaimStatus::Free
    );
}

cases! {
    holders_differ_in_zone: holders_are_in_two_zones();
    holders_stay_in_the_home_regions: holders_are_in_the_home_regions();
    joining_node_takes_its_share_only: another_node_moves_few_keys();
    key_belongs_to_the_call_that_claimed_it: only_the_claiming_call_releases_a_key();
    claims_expire_after_their_retention: claims_expire();
    full_table_cannot_tell: a_full_table_is_unknown();
    one_holder_is_enough: assert_eq!(after_losses(1, 2), ClaimStatus::Free);
    loss_of_both_holders_is_seen: assert_eq!(after_losses(2, 2), ClaimStatus::Unknown);
    loss_is_forgotten_with_the_claims:
        assert_eq!(after_losses(2, CLAIM_RETENTION.as_secs() + 3), ClaimStatus::Free);
    restarted_holder_counts_as_lost: restarted_holders_know_nothing();
    outranked_holders_cannot_be_asked: outranked_holders_are_unknown();
    history_over_its_bound_cannot_tell: too_many_views_are_unknown();
    tenants_do_not_share_keys:
        assert_ne!(Digest::of("desk", "a", b"k"), Digest::of("desk", "b", b"k"));
}
