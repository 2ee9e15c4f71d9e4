use std::collections::BTreeSet;

use crate::bench::traffic::{kinds, upstreams};
use crate::plan::{Plan, Version};
use crate::sheet::example;

fn farm() -> Plan {
    example::farm().plan(Version(1))
}

fn driven_routes() -> usize {
    let kinds = kinds(&farm());
    let routes: BTreeSet<_> = kinds.iter().map(|kind| kind.route.as_str()).collect();
    routes.len()
}

fn found(plan: &Plan) -> bool {
    kinds(plan).iter().all(|kind| {
        let service = plan.service_names[&kind.service];
        let route = plan.find_route(service, &kind.method, &kind.path);
        route.is_some_and(|route| kind.route.ends_with(&plan.route(route).name))
    })
}

cases! {
    every_route_is_driven:
        assert_eq!(driven_routes(), farm().routes.len());
    both_idempotent_and_non_idempotent_calls_are_made: {
        assert!(kinds(&farm()).iter().any(|kind| kind.idempotent));
        assert!(kinds(&farm()).iter().any(|kind| !kind.idempotent));
    };
    requests_match_the_route_they_are_for:
        assert!(found(&farm()));
    requests_of_the_society_match_the_route_they_are_for:
        assert!(found(&example::society().plan(Version(1))));
    the_farm_has_twelve_upstreams:
        assert_eq!(upstreams(&farm(), 1).len(), 12);
}
