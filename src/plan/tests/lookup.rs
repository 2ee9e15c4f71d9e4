use std::time::Duration;

use http::Method;

use crate::plan::{Cold, Plan, Regions, Route, Service, key};

fn route(path: &str, method: Option<Method>) -> Route {
    Route {
        name: path.into(),
        service: key::Service(0),
        method,
        path: path.into(),
        regions: Regions::ALL,
        worth: 1,
        idempotent: None,
        deadline: Duration::from_secs(1),
        second_copy: false,
    }
}

fn plan() -> Plan {
    Plan {
        services: vec![Service {
            name: "odber".into(),
            slots: 9,
            cold: Cold {
                allowance: 1,
                steps: 4,
                step_time: Duration::from_secs(1),
            },
            routes: vec![key::Route(0), key::Route(1)],
        }],
        routes: vec![
            route("/orders/drafts", Some(Method::POST)),
            route("/orders", None),
        ],
        ..Plan::default()
    }
}

fn found(method: &Method, path: &str) -> Option<key::Route> {
    plan().find_route(key::Service(0), method, path)
}

cases! {
    longest_path_is_found_first:
        assert_eq!(found(&Method::POST, "/orders/drafts/7"), Some(key::Route(0)));
    other_method_falls_through_to_the_shorter_path:
        assert_eq!(found(&Method::GET, "/orders/drafts/7"), Some(key::Route(1)));
    prefix_matches_whole_segments_only:
        assert_eq!(found(&Method::GET, "/ordersheet"), None);
    query_is_not_part_of_the_path:
        assert_eq!(found(&Method::GET, "/orders?day=3"), Some(key::Route(1)));
}
